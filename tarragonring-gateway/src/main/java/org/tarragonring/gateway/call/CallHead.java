package org.tarragonring.gateway.call;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.StreamId;
import org.tarragonring.policy.team.ApiKey;

/**
 * The values parsed from the headers of a call.
 *
 * @param id the id that the caller gave to this request, not null
 * @param timeout how long the caller waits, empty if unspecified; not null
 * @param model the required model, empty for services without models; not null
 * @param adapter the required adapter of that model, empty for the base model; not null
 * @param promptPrefixIds the ids of the shared prefix parts of the prompt, from the most to the least widely shared;
 *     the last one belongs to the call's own session; not null
 * @param resumedStream what the call takes up again, empty if it is a new one; not null
 * @param apiKey the key of the caller, empty if there is none; not null
 * @param tokenCount the size of the call, empty if the caller does not tell it in a readable form; not null
 * @since 0.2.0
 */
public record CallHead(
        String id,
        Optional<Duration> timeout,
        Optional<ModelName> model,
        String adapter,
        List<String> promptPrefixIds,
        Optional<ResumedStream> resumedStream,
        Optional<ApiKey> apiKey,
        Optional<TokenCount> tokenCount) {

    /** Validates the components and copies the list. */
    public CallHead {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(timeout, "timeout");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(adapter, "adapter");
        promptPrefixIds = List.copyOf(promptPrefixIds);
        Objects.requireNonNull(resumedStream, "resumedStream");
        Objects.requireNonNull(apiKey, "apiKey");
        Objects.requireNonNull(tokenCount, "tokenCount");
    }

    /**
     * Returns the parts of the prompt that other sessions may have, too.
     *
     * @return the ids without that of the call's own session, the most widely shared first; empty if there are none
     */
    public List<String> sharedPromptParts() {
        return promptPrefixIds.subList(0, Math.max(0, promptPrefixIds.size() - 1));
    }

    /**
     * A stream that a caller takes up again after some of its events.
     *
     * @param firstCall the call that got the first event, empty if the caller does not tell; not null
     */
    public record ResumedStream(Optional<StreamId> firstCall) {

        /** Rejects null. */
        public ResumedStream {
            Objects.requireNonNull(firstCall, "firstCall");
        }
    }
}
