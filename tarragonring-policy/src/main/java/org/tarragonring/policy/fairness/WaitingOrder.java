package org.tarragonring.policy.fairness;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;

/**
 * The order in which calls that waited for the same weights are sent to replicas, which may not have room for all of them.
 *
 * <p>Calls are ordered by urgency, then by the time at which their objective ends. One call in {@value #AGED_INTERVAL} is the
 * one that arrived first among those that are left, so that no kind of call starves.
 *
 * @since 0.2.0
 */
public final class WaitingOrder {

    /** Each kind of call is to be served at least a quarter as often as all calls. */
    static final int AGED_INTERVAL = 4;

    private static final Comparator<WaitingCall> MOST_URGENT_FIRST =
            Comparator.comparingInt(WaitingCall::urgency).thenComparingLong(WaitingCall::objectiveEndMillis);

    private WaitingOrder() {}

    /**
     * Orders calls.
     *
     * @param <T> the type of the calls
     * @param calls the calls, not null
     * @param properties returns what decides about a call, not null
     * @return a new list of all calls, the first to be sent first
     */
    public static <T> List<T> order(Collection<T> calls, Function<T, WaitingCall> properties) {
        Objects.requireNonNull(properties, "properties");
        List<Candidate<T>> candidates = new ArrayList<>();
        calls.forEach(call -> candidates.add(new Candidate<>(call, properties.apply(call))));
        Deque<Candidate<T>> byUrgency = sorted(candidates, MOST_URGENT_FIRST);
        Deque<Candidate<T>> byAge = sorted(candidates, Comparator.comparingLong(WaitingCall::arrivalMillis));
        Set<Candidate<T>> taken = new HashSet<>();
        List<T> ordered = new ArrayList<>();
        while (ordered.size() < candidates.size()) {
            boolean isAgedTurn = ordered.size() % AGED_INTERVAL == AGED_INTERVAL - 1;
            Candidate<T> next = (isAgedTurn ? byAge : byUrgency).removeFirst();
            if (taken.add(next)) {
                ordered.add(next.call);
            }
        }
        return ordered;
    }

    private static <T> Deque<Candidate<T>> sorted(List<Candidate<T>> candidates, Comparator<WaitingCall> order) {
        List<Candidate<T>> sorted = new ArrayList<>(candidates);
        sorted.sort(Comparator.comparing(candidate -> candidate.properties, order));
        return new ArrayDeque<>(sorted);
    }

    /**
     * What decides about the order of a call.
     *
     * @param urgency the urgency, 0 is the highest
     * @param objectiveEndMillis the time at which the objective of the call ends, on the monotonic clock
     * @param arrivalMillis the time of arrival, on the monotonic clock
     */
    public record WaitingCall(int urgency, long objectiveEndMillis, long arrivalMillis) {}

    /** A call with its properties; identity is that of the object, as calls may have equal properties. */
    private static final class Candidate<T> {

        private final T call;
        private final WaitingCall properties;

        private Candidate(T call, WaitingCall properties) {
            this.call = call;
            this.properties = properties;
        }
    }
}
