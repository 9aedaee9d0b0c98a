package org.tarragonring.gateway.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.tarragonring.gateway.call.WeightKey;
import org.tarragonring.gateway.fairness.CallFairness;

/** The calls that wait until the weights they need are resident on a replica. Not thread-safe. */
final class WaitingCalls {

    private final CallFairness fairness;
    private final Map<WeightKey, Set<Exchange>> callsByKey = new HashMap<>();

    WaitingCalls(CallFairness fairness) {
        this.fairness = Objects.requireNonNull(fairness, "fairness");
    }

    void add(Exchange exchange) {
        callsByKey
                .computeIfAbsent(exchange.weights.orElseThrow(), key -> new LinkedHashSet<>())
                .add(exchange);
    }

    /** Removes a call; does nothing if it does not wait. */
    void remove(Exchange exchange) {
        exchange.weights.ifPresent(key -> callsByKey.computeIfPresent(key, (k, waiting) -> {
            waiting.remove(exchange);
            return waiting.isEmpty() ? null : waiting;
        }));
    }

    boolean contains(Exchange exchange) {
        return exchange.weights.map(key -> waitingFor(key).contains(exchange)).orElse(false);
    }

    /**
     * Removes and returns the calls that wait for the given weights, ordered by priority, then by objective; by fairness where
     * the configuration has teams.
     */
    List<Exchange> removeAll(WeightKey key) {
        Set<Exchange> waiting = callsByKey.remove(key);
        if (waiting == null) {
            return List.of();
        }
        List<Exchange> ordered = new ArrayList<>(waiting);
        ordered.sort(Comparator.comparingInt((Exchange e) -> e.route.priority())
                .thenComparingLong(
                        e -> e.arrivalMillis + e.route.latencyObjective().toMillis()));
        return fairness.order(ordered, exchange -> exchange.fairCall);
    }

    /** Returns a copy of the set of weights for which calls wait. */
    Set<WeightKey> keys() {
        return Set.copyOf(callsByKey.keySet());
    }

    /** Returns the calls that wait for the given weights, empty if there are none. */
    Set<Exchange> waitingFor(WeightKey key) {
        return callsByKey.getOrDefault(key, Set.of());
    }

    /** Returns the number of waiting calls. */
    int size() {
        return callsByKey.values().stream().mapToInt(Set::size).sum();
    }
}
