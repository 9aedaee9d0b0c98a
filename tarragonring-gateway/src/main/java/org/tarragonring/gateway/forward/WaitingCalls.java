package org.tarragonring.gateway.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.tarragonring.gateway.call.WeightKey;

/** The calls that wait until what they need is resident somewhere. Not safe for use by several threads. */
final class WaitingCalls {

    private final Map<WeightKey, Set<Exchange>> calls = new HashMap<>();

    /** Adds a call. */
    void add(Exchange exchange) {
        calls.computeIfAbsent(exchange.weights.orElseThrow(), key -> new LinkedHashSet<>())
                .add(exchange);
    }

    /** Removes a call, whether it waits or not. */
    void remove(Exchange exchange) {
        exchange.weights.ifPresent(key -> calls.computeIfPresent(key, (k, waiting) -> {
            waiting.remove(exchange);
            return waiting.isEmpty() ? null : waiting;
        }));
    }

    /** Checks if a call waits. */
    boolean contains(Exchange exchange) {
        return exchange.weights.map(key -> waitingFor(key).contains(exchange)).orElse(false);
    }

    /** Takes all calls that wait for something, the most urgent first. */
    List<Exchange> take(WeightKey key) {
        Set<Exchange> waiting = calls.remove(key);
        if (waiting == null) {
            return List.of();
        }
        List<Exchange> ordered = new ArrayList<>(waiting);
        ordered.sort(Comparator.comparingInt((Exchange e) -> e.route.priority())
                .thenComparingLong(
                        e -> e.arrivedMillis + e.route.latencyObjective().toMillis()));
        return ordered;
    }

    /** Returns what calls wait for. */
    Set<WeightKey> keys() {
        return Set.copyOf(calls.keySet());
    }

    /** Returns the calls that wait for something. */
    Set<Exchange> waitingFor(WeightKey key) {
        return calls.getOrDefault(key, Set.of());
    }

    /** Returns the number of calls that wait. */
    int size() {
        return calls.values().stream().mapToInt(Set::size).sum();
    }
}
