package org.tarragonring.gateway.call;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.tarragonring.ids.ModelName;

/**
 * What a call's headers say.
 *
 * @param id the caller's id of this attempt, not null
 * @param deadline how long the caller waits, empty if it does not say
 * @param model the model it needs, empty for plain services
 * @param adapter the adapter of that model, empty for the model itself
 * @param promptParts names of the prompt's shared parts in order, the last one its session's; not null
 * @since 0.2.0
 */
public record CallHead(
        String id, Optional<Duration> deadline, Optional<ModelName> model, String adapter, List<String> promptParts) {

    /** Checks the arguments and copies the list. */
    public CallHead {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(deadline, "deadline");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(adapter, "adapter");
        promptParts = List.copyOf(promptParts);
    }
}
