/** Decides at which versions of the replicas' software streams may begin, so that it is known later where they did. */
package org.tarragonring.policy.streams;
