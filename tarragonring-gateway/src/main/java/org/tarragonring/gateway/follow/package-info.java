/** Watches the configuration and the list of replicas in the store. */
package org.tarragonring.gateway.follow;
