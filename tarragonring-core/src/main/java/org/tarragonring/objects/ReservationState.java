package org.tarragonring.objects;

/**
 * How far a reservation on an upstream has come.
 *
 * @since 0.1.0
 */
public enum ReservationState {
    /** Bytes are set aside; no order has been sent and none may be. */
    RESERVED,
    /** A load order may have been sent. */
    LOADING,
    /** The engine reported the model as loaded. */
    LOADED,
    /** An unload order may have been sent; the bytes count until the engine is seen without the model. */
    UNLOADING,
    /** The engine holds something that no record decided; it counts until it is unloaded. */
    QUARANTINED
}
