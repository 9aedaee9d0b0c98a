/** Decides which models are loaded on which replicas and which models are evicted to make room. */
package org.tarragonring.policy.placement;
