package org.tarragonring.objects;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Wraps a record with the tokens of its most recent writes. A writer that did not receive the store's response finds
 * its own token here if its write took effect.
 *
 * @param tokens the tokens of the most recent writes, newest first, at most {@value #MAX_TOKENS}; not null
 * @param body the record as JSON
 */
record Envelope(List<String> tokens, JsonNode body) {

    static final int MAX_TOKENS = 6;

    Envelope {
        tokens = List.copyOf(tokens);
    }

    /** Returns an envelope with a new body, whose token comes first; drops the oldest token beyond the limit. */
    Envelope withUpdate(String token, JsonNode newBody) {
        List<String> newTokens = new ArrayList<>();
        newTokens.add(token);
        newTokens.addAll(tokens);
        if (newTokens.size() > MAX_TOKENS) {
            newTokens.remove(newTokens.size() - 1);
        }
        return new Envelope(newTokens, newBody);
    }
}
