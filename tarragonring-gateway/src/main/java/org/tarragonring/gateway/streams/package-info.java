/** Knows which version of the replicas' software began a stream that a caller takes up again. */
package org.tarragonring.gateway.streams;
