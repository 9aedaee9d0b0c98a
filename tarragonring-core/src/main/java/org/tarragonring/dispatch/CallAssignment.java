package org.tarragonring.dispatch;

import java.util.concurrent.atomic.AtomicBoolean;

import org.tarragonring.routing.Target;

/**
 * Assigns a call to a replica and occupies one of the replica's concurrent calls until it is released. Each
 * assignment must be released; only the first release has an effect.
 *
 * @since 0.1.0
 */
public final class CallAssignment {

    private final Target target;
    private final ModelDispatcher dispatcher;
    private final long assignedMillis;
    private final AtomicBoolean open = new AtomicBoolean(true);

    CallAssignment(Target target, ModelDispatcher dispatcher, long assignedMillis) {
        this.target = target;
        this.dispatcher = dispatcher;
        this.assignedMillis = assignedMillis;
    }

    /**
     * Returns the replica to which the call must be sent.
     *
     * @return the replica, never null
     */
    public Target target() {
        return target;
    }

    /**
     * Releases the assignment, so that the replica can run another call. Does nothing if it was released before.
     *
     * @param outcome the outcome of the call on the replica, not null
     */
    public void release(Outcome outcome) {
        if (open.compareAndSet(true, false)) {
            dispatcher.onReleased(target, assignedMillis, outcome);
        }
    }

    /** The outcome of a call on a replica. */
    public enum Outcome {
        /** The replica responded. */
        ANSWERED,
        /** The caller disconnected or the deadline passed, which does not indicate a failure of the replica. */
        ABANDONED,
        /** The replica no longer has the model loaded. */
        NOT_LOADED,
        /** The upstream was unreachable, refused the call or closed the connection before the response ended. */
        FAILED
    }
}
