package org.tarragonring.placement;

import java.util.Objects;

/**
 * Reports that a placement step was not taken.
 *
 * @since 0.1.0
 */
public final class PlacementException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final Reason reason;

    /**
     * Creates an exception.
     *
     * @param reason why the step was not taken, not null
     * @param message what happened, naming slot, model and upstream
     */
    public PlacementException(Reason reason, String message) {
        super(message, null, false, false);
        this.reason = Objects.requireNonNull(reason, "reason");
    }

    /**
     * Returns why the step was not taken.
     *
     * @return the reason, never null
     */
    public Reason reason() {
        return reason;
    }

    /** Why a step was not taken. */
    public enum Reason {
        /** The accelerator has no room. */
        NO_ROOM,
        /** As many replicas as decided are placed already. */
        ENOUGH_REPLICAS,
        /** Another entry took the placement over or undid it. */
        LOST,
        /** This entry's lease does not hold. */
        NO_LEASE,
        /** The engine cannot be reached, refuses, or lost the load. */
        ENGINE,
        /** The weight store has no permit free in time. */
        NO_PERMIT
    }
}
