package org.tarragonring.routing;

import java.util.Objects;

import org.tarragonring.ids.UpstreamId;

/**
 * A run of a request on a replica that failed during the run, as evidence against the request or a part of its prompt.
 *
 * @param suspect the request or the part, not null
 * @param replica the replica, not null
 * @param startedMillis the start of the run on the monotonic clock, in milliseconds
 * @param failedMillis the time at which the failure was detected, on the monotonic clock, in milliseconds
 * @param failureId the same in all reports of one failure of the replica, whatever their delays; {@link #UNKNOWN_FAILURE}
 *     if it is not known
 * @since 0.2.0
 */
public record FailedRun(Suspect suspect, UpstreamId replica, long startedMillis, long failedMillis, long failureId) {

    /** The id of a failure that is known by its time only. */
    public static final long UNKNOWN_FAILURE = 0;

    /** Rejects null components. */
    public FailedRun {
        Objects.requireNonNull(suspect, "suspect");
        Objects.requireNonNull(replica, "replica");
    }

    /**
     * Creates a run during a failure that is known by its time only.
     *
     * @param suspect the request or the part, not null
     * @param replica the replica, not null
     * @param startedMillis the start of the run on the monotonic clock, in milliseconds
     * @param failedMillis the time at which the failure was detected, on the monotonic clock, in milliseconds
     */
    public FailedRun(Suspect suspect, UpstreamId replica, long startedMillis, long failedMillis) {
        this(suspect, replica, startedMillis, failedMillis, UNKNOWN_FAILURE);
    }
}
