package org.tarragonring.gateway.call;

import java.util.Objects;

import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.ModelName;

/**
 * An order to a replica.
 *
 * @param load true to load, false to unload
 * @param model the model, not null
 * @param adapter the adapter of that model, empty for the model itself
 * @param expectedSequence the number of orders that the replica must have accepted so far
 * @param holder who orders, not null
 * @param fence the fencing number of the holder's lease
 * @since 0.2.0
 */
public record Order(boolean load, ModelName model, String adapter, long expectedSequence, EntryId holder, long fence) {

    /** Checks the arguments. */
    public Order {
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(adapter, "adapter");
        Objects.requireNonNull(holder, "holder");
    }
}
