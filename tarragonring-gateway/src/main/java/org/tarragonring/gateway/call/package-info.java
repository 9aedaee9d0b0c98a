/** What a call says of itself, and the seams to the wire forms of calls and replicas. */
package org.tarragonring.gateway.call;
