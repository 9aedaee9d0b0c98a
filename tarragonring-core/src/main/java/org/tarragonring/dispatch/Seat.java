package org.tarragonring.dispatch;

import java.util.concurrent.atomic.AtomicBoolean;

import org.tarragonring.routing.Target;

/**
 * A call's place on a replica. It must be given back exactly once.
 *
 * @since 0.1.0
 */
public final class Seat {

    private final Target target;
    private final ModelDispatcher dispatcher;
    private final long takenMillis;
    private final AtomicBoolean open = new AtomicBoolean(true);

    Seat(Target target, ModelDispatcher dispatcher, long takenMillis) {
        this.target = target;
        this.dispatcher = dispatcher;
        this.takenMillis = takenMillis;
    }

    /**
     * Returns where the call is to be sent.
     *
     * @return the replica, never null
     */
    public Target target() {
        return target;
    }

    /**
     * Gives the place back.
     *
     * @param end how the call ended on the replica, not null
     */
    public void release(End end) {
        if (open.compareAndSet(true, false)) {
            dispatcher.onReleased(target, takenMillis, end);
        }
    }

    /** How a call ended on a replica. */
    public enum End {
        /** The replica answered. */
        ANSWERED,
        /** The caller left or the deadline passed; nothing is said about the replica. */
        ABANDONED,
        /** The replica does not hold the model any more. */
        NOT_LOADED,
        /** The upstream could not be reached, refused or broke off. */
        FAILED
    }
}
