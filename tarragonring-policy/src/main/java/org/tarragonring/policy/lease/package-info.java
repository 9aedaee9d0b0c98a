/** Leases that give one entry the exclusive right to send load and unload orders to a group of replicas. */
package org.tarragonring.policy.lease;
