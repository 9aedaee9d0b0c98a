/** Assigns each accepted call to a replica of its model and queues the call while the model is being loaded. */
package org.tarragonring.dispatch;
