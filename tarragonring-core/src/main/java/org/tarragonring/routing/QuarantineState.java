package org.tarragonring.routing;

import java.time.Duration;
import java.util.Objects;

/**
 * The quarantine of a suspect, as entries tell each other through the store.
 *
 * @param promptPart the position of the prompt part, 0 for a whole request
 * @param refusal the time until one request with the suspect may run; not positive if it may now, not null
 * @param failedTrials the number of such runs during which a replica failed, 0 or more
 * @param remaining the time until the record expires, not null
 * @since 0.2.0
 */
public record QuarantineState(int promptPart, Duration refusal, int failedTrials, Duration remaining) {

    /** Validates the components. */
    public QuarantineState {
        Objects.requireNonNull(refusal, "refusal");
        Objects.requireNonNull(remaining, "remaining");
        if (promptPart < 0 || failedTrials < 0) {
            throw new IllegalArgumentException("promptPart and failedTrials must be 0 or more, but are %d and %d"
                    .formatted(promptPart, failedTrials));
        }
    }
}
