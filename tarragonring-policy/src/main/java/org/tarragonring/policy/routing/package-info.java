/** Selects the replica that a call is sent to. */
package org.tarragonring.policy.routing;
