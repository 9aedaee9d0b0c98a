package org.tarragonring.upstream;

import java.util.Objects;

import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.SlotId;

/**
 * An order to an engine.
 *
 * @param kind what to do, not null
 * @param slot the placement concerned, not null
 * @param model the model, not null
 * @param version the model's version, not null
 * @param bytes the memory to take
 * @param fence the fencing number of the record change that led to the order
 * @since 0.1.0
 */
public record EngineOrder(Kind kind, SlotId slot, ModelName model, String version, long bytes, long fence) {

    /** Checks the arguments. */
    public EngineOrder {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(slot, "slot");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(version, "version");
    }

    /** What an order asks for. */
    public enum Kind {
        /** Loads a model. */
        LOAD,
        /** Unloads a model once its calls have ended; the engine takes no new calls for it meanwhile. */
        UNLOAD,
        /** Loads an adapter into the pool of a loaded model; answered when it is there. */
        LOAD_ADAPTER
    }
}
