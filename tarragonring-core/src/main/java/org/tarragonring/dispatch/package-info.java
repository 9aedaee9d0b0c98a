/** Brings each accepted call to a replica of its model, waiting for a load where there is none. */
package org.tarragonring.dispatch;
