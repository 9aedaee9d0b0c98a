/** Order leases, which entitle one entry at a time to send orders to a replica, and the execution of these orders. */
package org.tarragonring.gateway.orders;
