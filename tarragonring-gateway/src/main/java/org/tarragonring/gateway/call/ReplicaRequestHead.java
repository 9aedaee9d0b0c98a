package org.tarragonring.gateway.call;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;

import org.tarragonring.ids.UpstreamId;

/**
 * What an entry adds to the headers of a call when it sends the call to a replica.
 *
 * @param replica the only replica that may run the call, not null
 * @param remaining the time until the call's deadline, not null
 * @param lastEventId the id of the event after which a stream resumes, empty if no event has arrived yet; not null
 * @param caller the identity of the caller, not null
 * @param priority the urgency among all calls at the replica, from 0, the most urgent, to 9; empty for the default of
 *     the replica; not null
 * @since 0.2.0
 */
public record ReplicaRequestHead(
        UpstreamId replica,
        Duration remaining,
        Optional<String> lastEventId,
        CallerIdentity caller,
        OptionalInt priority) {

    /** The lowest urgency. */
    public static final int LOWEST_PRIORITY = 9;

    /** Validates the components. */
    public ReplicaRequestHead {
        Objects.requireNonNull(replica, "replica");
        Objects.requireNonNull(remaining, "remaining");
        Objects.requireNonNull(lastEventId, "lastEventId");
        Objects.requireNonNull(caller, "caller");
        Objects.requireNonNull(priority, "priority");
        if (priority.isPresent() && (priority.getAsInt() < 0 || priority.getAsInt() > LOWEST_PRIORITY)) {
            throw new IllegalArgumentException("priority must be from 0 to 9, but is " + priority.getAsInt());
        }
    }
}
