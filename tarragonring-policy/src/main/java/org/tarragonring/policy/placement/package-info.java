/** Decides which models are loaded on which replicas, and what makes room for them. */
package org.tarragonring.policy.placement;
