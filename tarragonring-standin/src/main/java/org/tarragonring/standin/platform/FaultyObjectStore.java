package org.tarragonring.standin.platform;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

import io.smallrye.mutiny.Uni;
import org.tarragonring.objects.ObjectStore;
import org.tarragonring.objects.StoreException;
import org.tarragonring.objects.StoredObject;
import org.tarragonring.objects.WatchBatch;
import org.tarragonring.time.Delays;
import org.tarragonring.time.Timers;

/**
 * Reaches another store with delays, outages and lost answers.
 *
 * @since 0.1.0
 */
public final class FaultyObjectStore implements ObjectStore {

    private final ObjectStore store;
    private final Delays delays;
    private final FaultSource faults;

    /**
     * Creates a store.
     *
     * @param store the store that holds the objects, not null
     * @param timers runs the delays, not null
     * @param faults says what happens to each request, not null
     */
    public FaultyObjectStore(ObjectStore store, Timers timers, FaultSource faults) {
        this.store = Objects.requireNonNull(store, "store");
        this.delays = new Delays(timers);
        this.faults = Objects.requireNonNull(faults, "faults");
    }

    @Override
    public Uni<Optional<StoredObject>> read(String key) {
        return exchange(() -> store.read(key), StoreException.Kind.UNAVAILABLE);
    }

    @Override
    public Uni<List<StoredObject>> list(String prefix) {
        return exchange(() -> store.list(prefix), StoreException.Kind.UNAVAILABLE);
    }

    @Override
    public Uni<Long> write(String key, long expectedVersion, byte[] value) {
        return exchange(() -> store.write(key, expectedVersion, value), StoreException.Kind.AMBIGUOUS);
    }

    @Override
    public Uni<Void> delete(String key, long expectedVersion) {
        return exchange(() -> store.delete(key, expectedVersion), StoreException.Kind.AMBIGUOUS);
    }

    @Override
    public Uni<WatchBatch> watch(String prefix, long afterRevision, Duration wait) {
        return exchange(() -> store.watch(prefix, afterRevision, wait), StoreException.Kind.UNAVAILABLE);
    }

    private <T> Uni<T> exchange(Supplier<Uni<T>> request, StoreException.Kind ifAnswerLost) {
        return Uni.createFrom().deferred(() -> {
            Fault fault = faults.next();
            Uni<Void> travel = delays.after(fault.requestDelay());
            if (fault.kind() == Fault.Kind.REFUSED) {
                return travel.chain(() -> Uni.createFrom()
                        .failure(new StoreException(StoreException.Kind.UNAVAILABLE, "the platform is down")));
            }
            return travel.chain(ignored -> request.get())
                    .onItemOrFailure()
                    .transformToUni((item, failure) ->
                            delays.after(fault.answerDelay()).chain(() -> answer(fault, item, failure, ifAnswerLost)));
        });
    }

    private static <T> Uni<T> answer(Fault fault, T item, Throwable failure, StoreException.Kind ifAnswerLost) {
        if (fault.kind() == Fault.Kind.ANSWER_LOST) {
            return Uni.createFrom().failure(new StoreException(ifAnswerLost, "the answer was lost"));
        }
        return failure == null ? Uni.createFrom().item(item) : Uni.createFrom().failure(failure);
    }

    /** Says what happens to each request. */
    @FunctionalInterface
    public interface FaultSource {

        /**
         * Returns what happens to the next request.
         *
         * @return the fault, never null
         */
        Fault next();
    }

    /**
     * What happens to a request.
     *
     * @param kind the fault, not null
     * @param requestDelay how long the request travels, not null
     * @param answerDelay how long the answer travels, not null
     */
    public record Fault(Kind kind, Duration requestDelay, Duration answerDelay) {

        /** The kinds of faults. */
        public enum Kind {
            /** Nothing goes wrong. */
            NONE,
            /** The store takes nothing. */
            REFUSED,
            /** The request takes effect and its answer is lost. */
            ANSWER_LOST
        }
    }
}
