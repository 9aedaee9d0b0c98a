package org.tarragonring.objects;

/**
 * The progress of a reservation on an upstream.
 *
 * @since 0.1.0
 */
public enum ReservationState {
    /** The bytes are reserved; no load order has been sent, and none may be sent in this state. */
    RESERVED,
    /** A load order may have been sent. */
    LOADING,
    /** The engine reported the model as loaded. */
    LOADED,
    /** An unload order may have been sent; the bytes count as used until the engine no longer reports the model. */
    UNLOADING,
    /** The engine reports a model that no record contains; its bytes count as used until it is unloaded. */
    QUARANTINED
}
