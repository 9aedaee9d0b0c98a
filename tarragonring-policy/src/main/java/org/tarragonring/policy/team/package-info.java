/** The teams of callers, and the keys by which their calls are recognized. */
package org.tarragonring.policy.team;
