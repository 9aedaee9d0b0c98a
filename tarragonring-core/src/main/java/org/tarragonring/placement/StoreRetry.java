package org.tarragonring.placement;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

import io.smallrye.mutiny.Uni;
import org.tarragonring.lease.EntryLease;
import org.tarragonring.objects.StoreException;
import org.tarragonring.time.Delays;

/**
 * Retries idempotent steps that failed with a {@link StoreException}, for as long as this entry's lease is valid.
 *
 * @since 0.1.0
 */
final class StoreRetry {

    private static final Duration RETRY_INTERVAL = Duration.ofMillis(200);

    private final EntryLease lease;
    private final Delays delays;

    StoreRetry(EntryLease lease, Delays delays) {
        this.lease = Objects.requireNonNull(lease, "lease");
        this.delays = Objects.requireNonNull(delays, "delays");
    }

    /** Runs a step until it no longer fails with a store error or the lease ends; other failures are not retried. */
    <T> Uni<T> run(Supplier<Uni<T>> step) {
        return delays.pollUntilPresent(
                        RETRY_INTERVAL,
                        () -> Uni.createFrom()
                                .deferred(() -> step.get())
                                .map(item -> Optional.of(new Result<>(item)))
                                .onFailure(failure -> failure instanceof StoreException && lease.isValid())
                                .recoverWithItem(Optional.empty()))
                .map(Result::item);
    }

    /** Wraps a step's result, which may be null. */
    private record Result<T>(T item) {}
}
