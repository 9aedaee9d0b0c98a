package org.tarragonring.policy.streams;

import java.util.Objects;
import java.util.Optional;

import org.tarragonring.ids.Hashes;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.StreamId;

/**
 * The part of a service's streams to which a stream belongs: those of one model whose ids have the same hash. The number of
 * slots does not depend on the number of streams.
 *
 * @param model the name of the model, empty for a service without models; not null
 * @param number the number of the slot, 0 to {@link #COUNT} - 1
 * @since 0.2.0
 */
public record StreamSlot(String model, int number) {

    /** The number of slots of each model. */
    public static final int COUNT = 16;

    /**
     * Checks the arguments.
     *
     * @throws IllegalArgumentException if the number is not that of a slot
     */
    public StreamSlot {
        Objects.requireNonNull(model, "model");
        if (number < 0 || number >= COUNT) {
            throw new IllegalArgumentException("number must be from 0 to %d but is %d".formatted(COUNT - 1, number));
        }
    }

    /**
     * Returns the slot of a stream.
     *
     * @param model the model, empty for a service without models; not null
     * @param streamId the id of the call that gets the first event, not null
     * @return the slot, which is the same at all entries
     */
    public static StreamSlot of(Optional<ModelName> model, StreamId streamId) {
        return new StreamSlot(
                model.map(ModelName::value).orElse(""), Math.floorMod(Hashes.of(streamId.value()), COUNT));
    }
}
