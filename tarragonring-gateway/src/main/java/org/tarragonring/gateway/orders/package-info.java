/** Order leases, which entitle one entry at a time to order a replica, and the execution of loads under them. */
package org.tarragonring.gateway.orders;
