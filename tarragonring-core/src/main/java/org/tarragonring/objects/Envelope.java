package org.tarragonring.objects;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Wraps a record with the tokens of its latest writers, so that a writer whose answer was lost can see that its
 * update took effect.
 *
 * @param tokens the latest writers' tokens, newest first, at most {@value #MAX_TOKENS}
 * @param body the record
 */
record Envelope(List<String> tokens, JsonNode body) {

    static final int MAX_TOKENS = 6;

    Envelope {
        tokens = List.copyOf(tokens);
    }

    Envelope next(String token, JsonNode nextBody) {
        List<String> next = new ArrayList<>();
        next.add(token);
        next.addAll(tokens);
        if (next.size() > MAX_TOKENS) {
            next.remove(next.size() - 1);
        }
        return new Envelope(next, nextBody);
    }
}
