/** Watches the configuration and the replica list in the store. */
package org.tarragonring.gateway.follow;
