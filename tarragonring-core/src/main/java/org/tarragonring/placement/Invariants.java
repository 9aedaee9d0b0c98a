package org.tarragonring.placement;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import org.tarragonring.log.LogEvent;
import org.tarragonring.objects.ModelRecord;
import org.tarragonring.objects.UpstreamRecord;

/**
 * Checks what must hold at all times. A step that would break it is refused; the breach is counted and handed to a
 * listener, which logs it in production and ends the run in tests.
 *
 * @since 0.1.0
 */
public final class Invariants {

    private final Consumer<String> listener;
    private final AtomicLong breaches = new AtomicLong();

    /**
     * Creates a checker.
     *
     * @param listener takes the text of each breach, not null
     */
    public Invariants(Consumer<String> listener) {
        this.listener = Objects.requireNonNull(listener, "listener");
    }

    /**
     * Creates a checker that logs breaches.
     *
     * @return the checker
     */
    public static Invariants logging() {
        return new Invariants(LogEvent.INVARIANT_VIOLATED::log);
    }

    /**
     * Checks one condition.
     *
     * @param holds whether the condition holds
     * @param message what is broken otherwise, not null
     * @throws IllegalStateException if it does not hold
     */
    public void check(boolean holds, String message) {
        if (!holds) {
            breaches.incrementAndGet();
            listener.accept(message);
            throw new IllegalStateException(message);
        }
    }

    /**
     * Checks a decided change of an upstream's record.
     *
     * @param before the record before, not null
     * @param after the record after, not null
     * @throws IllegalStateException if the change overcommits the accelerator or lowers the fencing number
     */
    public void checkChange(UpstreamRecord before, UpstreamRecord after) {
        check(
                after.fence() >= before.fence(),
                "fencing number falls from %d to %d".formatted(before.fence(), after.fence()));
        boolean grows = after.reservedBytes() > before.reservedBytes();
        check(
                !grows || after.reservedBytes() <= after.acceleratorBytes(),
                "reserved bytes %d exceed accelerator bytes %d"
                        .formatted(after.reservedBytes(), after.acceleratorBytes()));
    }

    /**
     * Checks a decided change of a model's record.
     *
     * @param before the record before, not null
     * @param after the record after, not null
     * @throws IllegalStateException if a slot is added beyond the decided count or the generation falls
     */
    public void checkChange(ModelRecord before, ModelRecord after) {
        boolean grows = after.slots().size() > before.slots().size();
        check(
                !grows || after.slots().size() <= after.decidedReplicas(),
                "slots %d exceed decided replicas %d".formatted(after.slots().size(), after.decidedReplicas()));
        check(after.generation() >= before.generation(), "generation of a model record falls");
    }

    /**
     * Returns how many breaches were seen.
     *
     * @return 0 or more
     */
    public long breaches() {
        return breaches.get();
    }
}
