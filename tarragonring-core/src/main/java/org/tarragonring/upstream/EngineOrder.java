package org.tarragonring.upstream;

import java.util.Objects;

import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.SlotId;

/**
 * Requests an engine to load or unload a model, or to load an adapter.
 *
 * @param kind the operation, not null
 * @param slot the slot on the engine, not null
 * @param model the model, not null
 * @param version the model's version, not null
 * @param bytes the accelerator memory to use, in bytes
 * @param fence the fencing token of the record change that caused the order
 * @since 0.1.0
 */
public record EngineOrder(Kind kind, SlotId slot, ModelName model, String version, long bytes, long fence) {

    /** Rejects null components. */
    public EngineOrder {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(slot, "slot");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(version, "version");
    }

    /** The requested operation. */
    public enum Kind {
        /** Loads a model. */
        LOAD,
        /** Unloads a model once its calls have ended; the engine accepts no new calls for it in the meantime. */
        UNLOAD,
        /** Loads an adapter into the adapter pool of a loaded model; the engine responds once the adapter is loaded. */
        LOAD_ADAPTER
    }
}
