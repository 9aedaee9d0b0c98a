package org.tarragonring.objects;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;

import com.fasterxml.jackson.databind.JsonNode;
import io.smallrye.mutiny.Uni;

/**
 * Reads typed records and changes them by conditional writes.
 *
 * <p>A change is a function of the current record. It may be applied several times, to newer records, until one write
 * takes effect, and must therefore be idempotent. If the response to a write is lost, the record is read again: if it
 * contains the write token, the write took effect. Otherwise the same write is sent again with the same expected
 * version, so that at most one of both can succeed.
 *
 * @since 0.1.0
 */
public final class RecordStore {

    private static final int MAX_ATTEMPTS = 12;

    private final ObjectStore store;
    private final Supplier<String> writeTokenSupplier;

    /**
     * Creates a record store.
     *
     * @param store stores the records, not null
     * @param writeTokenSupplier returns a new write token, unique among the writes of all processes; not null
     */
    public RecordStore(ObjectStore store, Supplier<String> writeTokenSupplier) {
        this.store = Objects.requireNonNull(store, "store");
        this.writeTokenSupplier = Objects.requireNonNull(writeTokenSupplier, "writeTokenSupplier");
    }

    /**
     * Reads a record.
     *
     * @param <T> the record's type
     * @param type the type of the record, not null
     * @param name the record's name, not null
     * @return the record; the initial record of the type with version 0 if the object does not exist
     */
    public <T> Uni<Versioned<T>> read(RecordType<T> type, String name) {
        return store.read(type.key(name)).map(stored -> decode(type, name, stored));
    }

    /**
     * Lists the records of one type.
     *
     * @param <T> the record's type
     * @param type the type of the record, not null
     * @return the records, ordered by name
     */
    public <T> Uni<List<T>> list(RecordType<T> type) {
        return store.list(type.prefix())
                .map(storedObjects -> storedObjects.stream()
                        .map(object -> decodeBody(type, Json.read(object.value(), Envelope.class)))
                        .toList());
    }

    /**
     * Changes a record. Reads it first, and tries again if another writer changes it at the same time.
     *
     * @param <T> the record's type
     * @param type the type of the record, not null
     * @param name the record's name, not null
     * @param change returns the new record for the current one, not null; if it returns the same instance, nothing
     *     is written; if it throws, the update fails with that exception
     * @return the record after the change; fails with {@link StoreException}
     */
    public <T> Uni<Versioned<T>> update(RecordType<T> type, String name, UnaryOperator<T> change) {
        return readAndUpdate(type, name, change, writeTokenSupplier.get(), MAX_ATTEMPTS);
    }

    /**
     * Changes a record that this process was the last to write. Skips the initial read, and falls back to
     * {@link #update} if another process has written the record since.
     *
     * @param <T> the record's type
     * @param type the type of the record, not null
     * @param name the record's name, not null
     * @param cached the record as this process wrote it, not null
     * @param change returns the new record for the current one, not null
     * @return the record after the change; fails with {@link StoreException}
     */
    public <T> Uni<Versioned<T>> updateCached(
            RecordType<T> type, String name, Versioned<T> cached, UnaryOperator<T> change) {
        T changed = change.apply(cached.body());
        String writeToken = writeTokenSupplier.get();
        Envelope envelope = new Envelope(List.of(writeToken), Json.toTree(changed));
        PendingWrite<T> write =
                new PendingWrite<>(type, name, cached.version(), Json.write(envelope), changed, writeToken);
        return sendWrite(write, MAX_ATTEMPTS)
                .chain(done -> done.isPresent() ? Uni.createFrom().item(done.get()) : update(type, name, change));
    }

    private <T> Uni<Versioned<T>> readAndUpdate(
            RecordType<T> type, String name, UnaryOperator<T> change, String writeToken, int attemptsLeft) {
        if (attemptsLeft == 0) {
            return Uni.createFrom()
                    .failure(new StoreException(
                            StoreException.Kind.UNAVAILABLE,
                            "record \"%s\" was not updated: other writers changed it during each attempt"
                                    .formatted(type.key(name))));
        }
        return store.read(type.key(name)).chain(stored -> {
            Versioned<T> current = decode(type, name, stored);
            T changed = change.apply(current.body());
            if (changed == current.body()) {
                return Uni.createFrom().item(current);
            }
            Envelope envelope = stored.map(object -> Json.read(object.value(), Envelope.class))
                    .orElse(new Envelope(List.of(), null))
                    .withUpdate(writeToken, Json.toTree(changed));
            PendingWrite<T> write =
                    new PendingWrite<>(type, name, current.version(), Json.write(envelope), changed, writeToken);
            return sendWrite(write, MAX_ATTEMPTS)
                    .chain(done -> done.isPresent()
                            ? Uni.createFrom().item(done.get())
                            : readAndUpdate(type, name, change, writeTokenSupplier.get(), attemptsLeft - 1));
        });
    }

    private <T> Uni<Optional<Versioned<T>>> sendWrite(PendingWrite<T> write, int attemptsLeft) {
        return store.write(write.key(), write.expectedVersion, write.value)
                .map(version -> Optional.of(new Versioned<>(version, write.body)))
                .onFailure(StoreException.class)
                .recoverWithUni(failure -> resolveFailedWrite(write, (StoreException) failure, attemptsLeft));
    }

    private <T> Uni<Optional<Versioned<T>>> resolveFailedWrite(
            PendingWrite<T> write, StoreException failure, int attemptsLeft) {
        if (failure.kind() == StoreException.Kind.UNAVAILABLE || attemptsLeft == 0) {
            return Uni.createFrom().failure(failure);
        }
        return store.read(write.key()).chain(stored -> {
            long version = stored.map(StoredObject::version).orElse(ObjectStore.ABSENT_VERSION);
            Envelope envelope = stored.map(object -> Json.read(object.value(), Envelope.class))
                    .orElse(null);
            if (envelope != null && envelope.tokens().contains(write.writeToken)) {
                return Uni.createFrom().item(Optional.of(new Versioned<>(version, decodeBody(write.type, envelope))));
            }
            if (version == write.expectedVersion && failure.kind() == StoreException.Kind.AMBIGUOUS) {
                return sendWrite(write, attemptsLeft - 1);
            }
            return Uni.createFrom().item(Optional.empty());
        });
    }

    private static <T> Versioned<T> decode(RecordType<T> type, String name, Optional<StoredObject> stored) {
        if (stored.isEmpty()) {
            return new Versioned<>(
                    ObjectStore.ABSENT_VERSION, type.initialRecord().apply(name));
        }
        StoredObject object = stored.get();
        return new Versioned<>(object.version(), decodeBody(type, Json.read(object.value(), Envelope.class)));
    }

    private static <T> T decodeBody(RecordType<T> type, Envelope envelope) {
        JsonNode body = envelope.body();
        try {
            return Json.MAPPER.treeToValue(body, type.bodyType());
        } catch (IOException e) {
            throw new UncheckedIOException("record with key prefix \"%s\" is malformed".formatted(type.prefix()), e);
        }
    }

    private record PendingWrite<T>(
            RecordType<T> type, String name, long expectedVersion, byte[] value, T body, String writeToken) {

        String key() {
            return type.key(name);
        }
    }
}
