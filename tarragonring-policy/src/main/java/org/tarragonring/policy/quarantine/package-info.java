/** Decides which requests are suspected of making replicas fail. */
package org.tarragonring.policy.quarantine;
