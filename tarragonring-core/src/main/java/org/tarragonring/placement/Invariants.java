package org.tarragonring.placement;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import org.tarragonring.log.LogEvent;
import org.tarragonring.objects.ModelRecord;
import org.tarragonring.objects.UpstreamRecord;

/**
 * Checks conditions that must hold at all times. A change that would violate one is rejected; the violation is counted
 * and passed to a listener, which logs it in production and ends the run in tests.
 *
 * @since 0.1.0
 */
public final class Invariants {

    private final Consumer<String> listener;
    private final AtomicLong violations = new AtomicLong();

    /**
     * Creates a checker that passes violations to a listener.
     *
     * @param listener receives the message of each violation, not null
     */
    public Invariants(Consumer<String> listener) {
        this.listener = Objects.requireNonNull(listener, "listener");
    }

    /**
     * Creates a checker that logs violations.
     *
     * @return the checker
     */
    public static Invariants logging() {
        return new Invariants(LogEvent.INVARIANT_VIOLATED::log);
    }

    /**
     * Checks one condition.
     *
     * @param condition the result of evaluating the condition
     * @param message the message if the condition is false, not null
     * @throws IllegalStateException if the condition is false
     */
    public void check(boolean condition, String message) {
        if (!condition) {
            violations.incrementAndGet();
            listener.accept(message);
            throw new IllegalStateException(message);
        }
    }

    /**
     * Checks a change of an upstream's record before it is written. A change that reserves no additional memory is
     * allowed even if the accelerator is already overcommitted.
     *
     * @param before the record before the change, not null
     * @param after the record after the change, not null
     * @throws IllegalStateException if the change overcommits the accelerator's memory or decreases the fencing token
     */
    public void checkChange(UpstreamRecord before, UpstreamRecord after) {
        check(
                after.fence() >= before.fence(),
                "fencing token decreases from %d to %d".formatted(before.fence(), after.fence()));
        boolean increases = after.reservedBytes() > before.reservedBytes();
        check(
                !increases || after.reservedBytes() <= after.acceleratorBytes(),
                "reserved bytes %d exceed accelerator bytes %d"
                        .formatted(after.reservedBytes(), after.acceleratorBytes()));
    }

    /**
     * Checks a change of a model's record before it is written. A change that adds no slot is allowed even if the
     * record already has more slots than decided replicas.
     *
     * @param before the record before the change, not null
     * @param after the record after the change, not null
     * @throws IllegalStateException if a slot is added beyond the number of decided replicas or the configuration
     *     generation decreases
     */
    public void checkChange(ModelRecord before, ModelRecord after) {
        boolean increases = after.slots().size() > before.slots().size();
        check(
                !increases || after.slots().size() <= after.decidedReplicas(),
                "model record has %d slots but only %d decided replicas"
                        .formatted(after.slots().size(), after.decidedReplicas()));
        check(
                after.generation() >= before.generation(),
                "configuration generation of model record decreases from %d to %d"
                        .formatted(before.generation(), after.generation()));
    }

    /**
     * Returns the number of violations since this checker was created.
     *
     * @return the number, 0 or more
     */
    public long violations() {
        return violations.get();
    }
}
