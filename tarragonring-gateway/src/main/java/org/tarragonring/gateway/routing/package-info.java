/** Exchanges the load and speed of replicas with the other entries, and observes how long responses take. */
package org.tarragonring.gateway.routing;
