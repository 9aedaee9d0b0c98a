/** Leases that give one entry the right to order replicas. */
package org.tarragonring.policy.lease;
