package org.tarragonring.policy.routing;

import java.util.List;
import java.util.Objects;

/**
 * What the choice of a replica takes into account of a call.
 *
 * @param route the name of the route, not null
 * @param usesModel whether the call needs a model, and not a plain service
 * @param promptTokens the number of prompt tokens, 0 if it is not known or the service has no models
 * @param maxOutputTokens the maximum number of generated tokens, 0 likewise
 * @param promptParts the keys of the parts of the prompt from the most to the least widely shared, the last one that of the
 *     session; not null
 * @param affinityKey the key of the last shared part, empty if there is none; not null
 * @param objectiveMillis the time within which the caller wants the first event
 * @since 0.2.0
 */
public record CallProfile(
        String route,
        boolean usesModel,
        long promptTokens,
        long maxOutputTokens,
        List<String> promptParts,
        String affinityKey,
        long objectiveMillis) {

    /** Rejects null and copies the list. */
    public CallProfile {
        Objects.requireNonNull(route, "route");
        promptParts = List.copyOf(promptParts);
        Objects.requireNonNull(affinityKey, "affinityKey");
    }
}
