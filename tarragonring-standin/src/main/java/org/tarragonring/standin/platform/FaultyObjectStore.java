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
 * Wraps another store and simulates network delays, outages and lost responses.
 *
 * @since 0.1.0
 */
public final class FaultyObjectStore implements ObjectStore {

    private final ObjectStore store;
    private final Delays delays;
    private final FaultSource faults;

    /**
     * Creates a store that wraps another one.
     *
     * @param store the store that holds the objects, not null
     * @param timers schedules the delays, not null
     * @param faults returns the fault of each request, not null
     */
    public FaultyObjectStore(ObjectStore store, Timers timers, FaultSource faults) {
        this.store = Objects.requireNonNull(store, "store");
        this.delays = new Delays(timers);
        this.faults = Objects.requireNonNull(faults, "faults");
    }

    @Override
    public Uni<Optional<StoredObject>> read(String key) {
        return sendRequest(() -> store.read(key), StoreException.Kind.UNAVAILABLE);
    }

    @Override
    public Uni<List<StoredObject>> list(String prefix) {
        return sendRequest(() -> store.list(prefix), StoreException.Kind.UNAVAILABLE);
    }

    @Override
    public Uni<Long> write(String key, long expectedVersion, byte[] value) {
        return sendRequest(() -> store.write(key, expectedVersion, value), StoreException.Kind.AMBIGUOUS);
    }

    @Override
    public Uni<Void> delete(String key, long expectedVersion) {
        return sendRequest(() -> store.delete(key, expectedVersion), StoreException.Kind.AMBIGUOUS);
    }

    @Override
    public Uni<WatchBatch> watch(String prefix, long afterRevision, Duration wait) {
        return sendRequest(() -> store.watch(prefix, afterRevision, wait), StoreException.Kind.UNAVAILABLE);
    }

    private <T> Uni<T> sendRequest(Supplier<Uni<T>> request, StoreException.Kind kindIfResponseLost) {
        return Uni.createFrom().deferred(() -> {
            Fault fault = faults.next();
            Uni<Void> requestArrival = delays.after(fault.requestDelay());
            if (fault.kind() == Fault.Kind.REFUSED) {
                return requestArrival.chain(() -> Uni.createFrom()
                        .failure(new StoreException(
                                StoreException.Kind.UNAVAILABLE, "the simulated platform is unavailable")));
            }
            return requestArrival
                    .chain(ignored -> request.get())
                    .onItemOrFailure()
                    .transformToUni((item, failure) -> delays.after(fault.responseDelay())
                            .chain(() -> deliverResponse(fault, item, failure, kindIfResponseLost)));
        });
    }

    private static <T> Uni<T> deliverResponse(
            Fault fault, T item, Throwable failure, StoreException.Kind kindIfResponseLost) {
        if (fault.kind() == Fault.Kind.RESPONSE_LOST) {
            return Uni.createFrom().failure(new StoreException(kindIfResponseLost, "the response was lost"));
        }
        return failure == null ? Uni.createFrom().item(item) : Uni.createFrom().failure(failure);
    }

    /** Determines the fault of each request. */
    @FunctionalInterface
    public interface FaultSource {

        /**
         * Returns the fault of the next request.
         *
         * @return the fault, never null
         */
        Fault next();
    }

    /**
     * The fault and network delays of a request.
     *
     * @param kind the kind of fault, not null
     * @param requestDelay the network delay of the request, not null
     * @param responseDelay the network delay of the response, not null
     */
    public record Fault(Kind kind, Duration requestDelay, Duration responseDelay) {

        /** The kinds of faults. */
        public enum Kind {
            /** No fault. */
            NONE,
            /** The store is unavailable and does not execute the request. */
            REFUSED,
            /** The store executes the request, but the response is lost. */
            RESPONSE_LOST
        }
    }
}
