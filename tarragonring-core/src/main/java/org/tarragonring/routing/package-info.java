/** Chooses the replica or service instance for each call, and refuses requests that repeatedly crash replicas. */
package org.tarragonring.routing;
