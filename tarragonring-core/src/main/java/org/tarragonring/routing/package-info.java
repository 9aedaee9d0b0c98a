/** Chooses among replicas and plain service instances, and keeps crashing requests away from all of them. */
package org.tarragonring.routing;
