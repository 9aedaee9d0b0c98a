/** Order leases and the orders given under them. */
package org.tarragonring.gateway.orders;
