package org.tarragonring.gateway.routing;

import org.tarragonring.ids.UpstreamId;
import org.tarragonring.policy.routing.CallProfile;

/**
 * Observes how long one attempt takes.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class AttemptTiming {

    private static final int NONE = -1;

    private final AttemptTimings timings;
    private final UpstreamId replica;
    private final CallProfile call;
    private final Kind kind;
    private final boolean mayBeCached;
    private final long startNanos;
    private int firstCount = NONE;
    private int eventCount;
    private long lastEventNanos;
    private int sampledCount;
    private long sampledNanos;
    private boolean readerIsSlow;

    AttemptTiming(
            AttemptTimings timings,
            UpstreamId replica,
            CallProfile call,
            Kind kind,
            boolean mayBeCached,
            long startNanos) {
        this.timings = timings;
        this.replica = replica;
        this.call = call;
        this.kind = kind;
        this.mayBeCached = mayBeCached;
        this.startNanos = startNanos;
    }

    /**
     * Records that complete events of a stream have arrived.
     *
     * @param events the number of events of the stream so far; one that was resumed counts those before, too
     * @param readerWaits whether the caller reads more slowly than the replica sends, so that nothing more is read from the
     *     replica for some time
     */
    public void onEvents(int events, boolean readerWaits) {
        lastEventNanos = timings.nanos();
        eventCount = events;
        readerIsSlow |= readerWaits;
        if (firstCount == NONE) {
            firstCount = events;
            sampledCount = events;
            sampledNanos = lastEventNanos;
            timings.onFirstEvent(this, timings.millisSince(startNanos));
        }
    }

    /**
     * Records the end of the attempt.
     *
     * @param succeeded whether the response is complete and a success; the times of other attempts are not used
     */
    public void onEnded(boolean succeeded) {
        if (succeeded && firstCount != NONE && !readerIsSlow && eventCount > sampledCount) {
            timings.onSteps(this, eventCount - sampledCount, (lastEventNanos - sampledNanos) / 1e6, true);
        }
        timings.onEnded(this, succeeded, timings.millisSince(startNanos), eventCount);
    }

    /** Records the progress since the last sample. */
    void sample() {
        if (kind != Kind.MODEL_STREAM || readerIsSlow) {
            return;
        }
        if (firstCount == NONE) {
            timings.onWaiting(this, timings.millisSince(startNanos));
        } else if (timings.onSteps(this, eventCount - sampledCount, timings.millisSince(sampledNanos), false)) {
            sampledCount = eventCount;
            sampledNanos = timings.nanos();
        }
    }

    UpstreamId replica() {
        return replica;
    }

    CallProfile call() {
        return call;
    }

    Kind kind() {
        return kind;
    }

    boolean mayBeCached() {
        return mayBeCached;
    }

    /** What can be observed of an attempt. */
    public enum Kind {
        /** A stream of generated tokens: the time to the first event and between events. */
        MODEL_STREAM,
        /** A generated response that arrives as a whole: nothing, as the number of its tokens is not known. */
        MODEL_BODY,
        /** A call of a plain service: its duration. */
        PLAIN
    }
}
