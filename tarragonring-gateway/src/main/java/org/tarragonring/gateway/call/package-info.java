/** Parsed calls, orders to replicas, and the interfaces that the platform adapter implements for their wire formats. */
package org.tarragonring.gateway.call;
