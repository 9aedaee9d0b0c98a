package org.tarragonring.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.tarragonring.ids.RequestFingerprint;

/**
 * What may make replicas fail: a request, or a part of prompts that many requests share.
 *
 * @param fingerprint identifies the request or the part, not null
 * @param promptPart the position of the part in the prompt, 1 for the first one; 0 for a whole request
 * @since 0.2.0
 */
public record Suspect(RequestFingerprint fingerprint, int promptPart) {

    /** Validates the components. */
    public Suspect {
        Objects.requireNonNull(fingerprint, "fingerprint");
        if (promptPart < 0) {
            throw new IllegalArgumentException("promptPart must be 0 or more, but is %d".formatted(promptPart));
        }
    }

    /**
     * Creates the suspect for a whole request.
     *
     * @param request identifies the request, not null
     * @return the suspect, never null
     */
    public static Suspect ofRequest(RequestFingerprint request) {
        return new Suspect(request, 0);
    }

    /**
     * Creates the suspects for a request and for the shared parts of its prompt.
     *
     * @param request identifies the request, not null
     * @param sharedPromptParts the ids of the parts that other requests may have, too, in their order; not null
     * @return the request, followed by its parts; never null
     */
    public static List<Suspect> ofRequestAndParts(RequestFingerprint request, List<String> sharedPromptParts) {
        List<Suspect> suspects = new ArrayList<>(1 + sharedPromptParts.size());
        suspects.add(ofRequest(request));
        suspects.addAll(ofParts(sharedPromptParts));
        return suspects;
    }

    /**
     * Creates the suspects for the shared parts of a prompt.
     *
     * @param sharedPromptParts the ids of the parts in their order, not null
     * @return the suspects in the same order, never null
     */
    public static List<Suspect> ofParts(List<String> sharedPromptParts) {
        List<Suspect> suspects = new ArrayList<>(sharedPromptParts.size());
        for (String part : sharedPromptParts) {
            suspects.add(new Suspect(RequestFingerprint.ofPromptPart(part), suspects.size() + 1));
        }
        return suspects;
    }

    /**
     * Checks whether this is a part of prompts.
     *
     * @return true for a part, false for a whole request
     */
    public boolean isPromptPart() {
        return promptPart > 0;
    }
}
