package org.tarragonring.dispatch;

import java.util.Objects;
import java.util.Set;

import org.tarragonring.ids.UpstreamId;

/**
 * What a call asks of a model's dispatcher.
 *
 * @param priority 0 goes first, 9 last
 * @param deadlineMillis when the first answer is due, on the monotonic clock
 * @param prefixHash the hash of the request's prefix
 * @param excluded upstreams that the call must not go to, not null
 * @since 0.1.0
 */
public record DispatchRequest(int priority, long deadlineMillis, long prefixHash, Set<UpstreamId> excluded) {

    /** Copies the set. */
    public DispatchRequest {
        excluded = Set.copyOf(Objects.requireNonNull(excluded, "excluded"));
    }
}
