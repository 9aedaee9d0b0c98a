package org.tarragonring.gateway.streams;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import io.smallrye.mutiny.Uni;
import org.tarragonring.log.LogEvent;
import org.tarragonring.objects.ObjectStore;
import org.tarragonring.objects.StoreException;
import org.tarragonring.time.Timers;

/**
 * Reads and writes the record of software versions in the store. Requests that overlap share one call.
 *
 * <p>Not thread-safe.
 */
final class StoredVersionRecord {

    /** The time between two attempts, so that a store that rejects requests at once is not asked three times at once. */
    static final Duration READ_RETRY_DELAY = Duration.ofMillis(300);

    private final ObjectStore store;
    private final String traceOfServing;
    private final Timers timers;
    private Optional<CompletableFuture<Optional<RecordedVersions>>> pendingRead = Optional.empty();
    private boolean stopped;

    /**
     * Creates an instance.
     *
     * @param store keeps the record, not null
     * @param traceOfServing the prefix of keys that the store contains if entries have served before, not null
     * @param timers schedules the delays between attempts, not null
     */
    StoredVersionRecord(ObjectStore store, String traceOfServing, Timers timers) {
        this.store = Objects.requireNonNull(store, "store");
        this.traceOfServing = Objects.requireNonNull(traceOfServing, "traceOfServing");
        this.timers = Objects.requireNonNull(timers, "timers");
    }

    /** Ends the repetition of failed requests. */
    void stop() {
        stopped = true;
    }

    /**
     * Reads the record.
     *
     * @param asksForTraces whether to find out, if the record is missing, whether nothing has been served yet
     * @return the record, which is complete if it is missing and nothing has been served; empty if the store does not
     *     respond; never fails
     */
    CompletableFuture<Optional<RecordedVersions>> read(boolean asksForTraces) {
        return pendingRead.orElseGet(() -> {
            CompletableFuture<Optional<RecordedVersions>> response = new CompletableFuture<>();
            pendingRead = Optional.of(response);
            store.read(ServingVersions.KEY)
                    .flatMap(object -> object.isPresent()
                            ? Uni.createFrom().item(RecordedVersions.decode(object.get(), store.era()))
                            : readTraceOfServing(asksForTraces))
                    .subscribe()
                    .with(record -> onRead(response, Optional.of(record)), failure -> {
                        LogEvent.DEPENDENCY_STATE.log("store", false, "versions not read: " + failure.getMessage());
                        onRead(response, Optional.empty());
                    });
            return response;
        });
    }

    private Uni<RecordedVersions> readTraceOfServing(boolean asksForTraces) {
        return asksForTraces && !stopped
                ? store.list(traceOfServing).map(traces -> RecordedVersions.absent(traces.isEmpty(), store.era()))
                : Uni.createFrom().item(RecordedVersions.absent(false, store.era()));
    }

    private void onRead(CompletableFuture<Optional<RecordedVersions>> response, Optional<RecordedVersions> record) {
        pendingRead = Optional.empty();
        response.complete(record);
    }

    /**
     * Replaces the record.
     *
     * @param record the new record, with the version of the object that it replaces
     * @return the new version; empty if another entry has written it meanwhile, or the store does not confirm that it is
     *     written; never fails
     */
    CompletableFuture<Optional<Long>> write(RecordedVersions record) {
        CompletableFuture<Optional<Long>> result = new CompletableFuture<>();
        store.write(ServingVersions.KEY, record.objectVersion(), record.encode())
                .subscribe()
                .with(newVersion -> result.complete(Optional.of(newVersion)), failure -> {
                    if (!isConflict(failure)) {
                        LogEvent.DEPENDENCY_STATE.log("store", false, "versions not recorded: " + failure.getMessage());
                    }
                    result.complete(Optional.empty());
                });
        return result;
    }

    /** Returns whether another entry has written the record first, as happens when several start at the same time. */
    private static boolean isConflict(Throwable failure) {
        return failure instanceof StoreException e && e.kind() == StoreException.Kind.CONFLICT;
    }

    /**
     * Repeats a request until it has a response.
     *
     * @param request returns a response, empty if there is none
     * @param attemptsLeft how often the request is sent at most
     * @return the response, empty if there was none; never fails
     */
    <T> CompletableFuture<Optional<T>> retry(Supplier<CompletableFuture<Optional<T>>> request, int attemptsLeft) {
        return request.get().thenCompose(response -> {
            if (response.isPresent() || attemptsLeft == 1 || stopped) {
                return CompletableFuture.completedFuture(response);
            }
            return after(READ_RETRY_DELAY)
                    .thenCompose(done ->
                            stopped ? CompletableFuture.completedFuture(response) : retry(request, attemptsLeft - 1));
        });
    }

    /** Returns a future that completes after a delay. */
    CompletableFuture<Void> after(Duration delay) {
        CompletableFuture<Void> elapsed = new CompletableFuture<>();
        timers.schedule(delay, () -> elapsed.complete(null));
        return elapsed;
    }
}
