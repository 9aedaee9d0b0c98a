package org.tarragonring.gateway.call;

import java.util.Objects;

import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.ModelName;

/**
 * A command that makes a replica load or unload weights.
 *
 * @param load true to load the weights, false to unload them
 * @param model the model, not null
 * @param adapter the adapter of that model, empty for the base model; not null
 * @param expectedOrderCount the number of orders the replica must have accepted so far, 0 or more; it replies
 *     {@link ReplicaClient.OrderReply#CONFLICT} if the number differs
 * @param holder the entry that holds the lease and sends the order, not null
 * @param fence the fencing token of the holder's lease
 * @since 0.2.0
 */
public record Order(
        boolean load, ModelName model, String adapter, long expectedOrderCount, EntryId holder, long fence) {

    /** Validates the components. */
    public Order {
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(adapter, "adapter");
        Objects.requireNonNull(holder, "holder");
        if (expectedOrderCount < 0) {
            throw new IllegalArgumentException(
                    "expectedOrderCount must be 0 or more, but is %d".formatted(expectedOrderCount));
        }
    }
}
