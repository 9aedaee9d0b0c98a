/**
 * Tracks the state of each replica: its resident models and adapters, its pending load and its calls in flight.
 *
 * <p>An <em>order</em> is a command to a replica to load or unload a model or an adapter. Only the entry that holds the
 * order lease of a replica sends it orders.
 */
package org.tarragonring.policy.replica;
