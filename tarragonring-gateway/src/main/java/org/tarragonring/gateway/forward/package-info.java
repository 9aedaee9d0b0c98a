/** Forwards calls from callers to replicas and responses back to callers, with retries and stream resumption. */
package org.tarragonring.gateway.forward;
