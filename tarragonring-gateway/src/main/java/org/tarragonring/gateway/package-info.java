/**
 * The gateway: accepts calls, queues them until their model is loaded, forwards them to replicas, and coordinates loads
 * with the other entries.
 */
package org.tarragonring.gateway;
