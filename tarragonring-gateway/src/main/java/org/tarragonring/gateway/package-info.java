/**
 * The gateway: accepts calls, holds them until their model is loaded, forwards them to replicas, and coordinates loads
 * with the other entries.
 */
package org.tarragonring.gateway;
