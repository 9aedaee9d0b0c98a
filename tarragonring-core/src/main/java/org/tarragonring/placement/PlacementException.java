package org.tarragonring.placement;

import java.util.Objects;

/**
 * Thrown when a step of a load or a release cannot be carried out.
 *
 * @since 0.1.0
 */
public final class PlacementException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final Reason reason;

    /**
     * Creates an exception.
     *
     * @param reason the reason of the failure, not null
     * @param message the error message; names the slot, model, entry or upstream concerned
     */
    public PlacementException(Reason reason, String message) {
        super(message, null, false, false);
        this.reason = Objects.requireNonNull(reason, "reason");
    }

    /**
     * Returns the reason of the failure.
     *
     * @return the reason, never null
     */
    public Reason reason() {
        return reason;
    }

    /** The reason of a failure. */
    public enum Reason {
        /** The accelerator has too little free memory, or its free memory is unknown. */
        INSUFFICIENT_MEMORY,
        /** The model already has the maximum number of replicas that was decided. */
        REPLICA_LIMIT_REACHED,
        /** Another entry took over or released the slot, or has decided under a newer configuration. */
        SUPERSEDED,
        /** This entry's lease is not valid. */
        LEASE_NOT_VALID,
        /** The engine cannot be reached, rejected the load or no longer reports the model. */
        ENGINE_FAILURE,
        /** No load permit for the weight store became available in time. */
        NO_PERMIT
    }
}
