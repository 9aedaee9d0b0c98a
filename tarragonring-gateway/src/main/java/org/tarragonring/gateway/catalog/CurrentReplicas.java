package org.tarragonring.gateway.catalog;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import org.tarragonring.log.LogEvent;
import org.tarragonring.objects.RevisionedStore;
import org.tarragonring.objects.StoredObject;
import org.tarragonring.policy.replica.ListedReplica;

/**
 * Reads the registered replicas from the store, for decisions that must not rest on a list that may be out of date
 * because this entry was suspended or cut off. Requests that overlap share one call to the store.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class CurrentReplicas {

    private final RevisionedStore store;
    private final String prefix;
    private final Function<StoredObject, Optional<ListedReplica>> decoder;
    private Optional<CompletableFuture<Optional<List<ListedReplica>>>> pending = Optional.empty();

    /**
     * Creates a reader.
     *
     * @param store the store, not null
     * @param prefix the prefix of the keys of replicas, not null
     * @param decoder decodes a registration, empty if it is invalid; not null
     */
    public CurrentReplicas(
            RevisionedStore store, String prefix, Function<StoredObject, Optional<ListedReplica>> decoder) {
        this.store = Objects.requireNonNull(store, "store");
        this.prefix = Objects.requireNonNull(prefix, "prefix");
        this.decoder = Objects.requireNonNull(decoder, "decoder");
    }

    /**
     * Reads the replicas.
     *
     * @return the replicas that the store lists, empty if it does not respond; never fails
     */
    public CompletableFuture<Optional<List<ListedReplica>>> read() {
        return pending.orElseGet(this::request);
    }

    private CompletableFuture<Optional<List<ListedReplica>>> request() {
        CompletableFuture<Optional<List<ListedReplica>>> response = new CompletableFuture<>();
        pending = Optional.of(response);
        store.snapshot(prefix)
                .subscribe()
                .with(snapshot -> complete(response, Optional.of(decode(snapshot.objects()))), failure -> {
                    LogEvent.DEPENDENCY_STATE.log("store", false, prefix + ": " + failure.getMessage());
                    complete(response, Optional.empty());
                });
        return response;
    }

    private void complete(
            CompletableFuture<Optional<List<ListedReplica>>> response, Optional<List<ListedReplica>> replicas) {
        pending = Optional.empty();
        response.complete(replicas);
    }

    private List<ListedReplica> decode(List<StoredObject> objects) {
        return objects.stream()
                .flatMap(object -> decoder.apply(object).stream())
                .toList();
    }
}
