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
 * Reads and changes typed records by conditional update.
 *
 * <p>A change is a function of the current record and may be applied several times, on newer records, until one
 * update takes effect; it must therefore be idempotent. After a lost answer the record is read back: the writer's
 * own token shows that the update took effect, and otherwise the same update is sent again under the same
 * expected version, of which at most one can succeed.
 *
 * @since 0.1.0
 */
public final class RecordStore {

    private static final int MAX_ATTEMPTS = 12;

    private final ObjectStore objects;
    private final Supplier<String> tokens;

    /**
     * Creates a record store.
     *
     * @param objects where the records are kept, not null
     * @param tokens makes a token that no other update of any process carries, not null
     */
    public RecordStore(ObjectStore objects, Supplier<String> tokens) {
        this.objects = Objects.requireNonNull(objects, "objects");
        this.tokens = Objects.requireNonNull(tokens, "tokens");
    }

    /**
     * Reads a record.
     *
     * @param <T> the record's type
     * @param type the kind of record, not null
     * @param name the key's last part, not null
     * @return the record, the type's initial one with version 0 if the object is absent
     */
    public <T> Uni<Versioned<T>> read(RecordType<T> type, String name) {
        return objects.read(type.key(name)).map(found -> decode(type, name, found));
    }

    /**
     * Lists the records of one kind.
     *
     * @param <T> the record's type
     * @param type the kind of record, not null
     * @return the records in the order of their names
     */
    public <T> Uni<List<T>> list(RecordType<T> type) {
        return objects.list(type.prefix())
                .map(found -> found.stream()
                        .map(object -> body(type, Json.read(object.value(), Envelope.class)))
                        .toList());
    }

    /**
     * Changes a record.
     *
     * @param <T> the record's type
     * @param type the kind of record, not null
     * @param name the key's last part, not null
     * @param change makes the new record from the current one, not null; returning the same instance writes
     *     nothing, throwing ends the update with that failure
     * @return the record as it stands after the change
     */
    public <T> Uni<Versioned<T>> update(RecordType<T> type, String name, UnaryOperator<T> change) {
        return attempt(type, name, change, tokens.get(), MAX_ATTEMPTS);
    }

    /**
     * Changes a record that this process wrote last, without reading it first unless it was changed meanwhile.
     *
     * @param <T> the record's type
     * @param type the kind of record, not null
     * @param name the key's last part, not null
     * @param known the record as this process wrote it, not null
     * @param change makes the new record from the current one, not null
     * @return the record as it stands after the change
     */
    public <T> Uni<Versioned<T>> updateKnown(
            RecordType<T> type, String name, Versioned<T> known, UnaryOperator<T> change) {
        T changed = change.apply(known.body());
        String token = tokens.get();
        Envelope envelope = new Envelope(List.of(token), Json.tree(changed));
        Write<T> write = new Write<>(type, name, known.version(), Json.write(envelope), changed, token);
        return send(write, MAX_ATTEMPTS)
                .chain(done -> done.isPresent() ? Uni.createFrom().item(done.get()) : update(type, name, change));
    }

    private <T> Uni<Versioned<T>> attempt(
            RecordType<T> type, String name, UnaryOperator<T> change, String token, int attemptsLeft) {
        if (attemptsLeft == 0) {
            return Uni.createFrom()
                    .failure(new StoreException(
                            StoreException.Kind.UNAVAILABLE,
                            "record \"%s\" is too contended".formatted(type.key(name))));
        }
        return objects.read(type.key(name)).chain(found -> {
            Versioned<T> current = decode(type, name, found);
            T changed = change.apply(current.body());
            if (changed == current.body()) {
                return Uni.createFrom().item(current);
            }
            Envelope envelope = found.map(object -> Json.read(object.value(), Envelope.class))
                    .orElse(new Envelope(List.of(), null))
                    .next(token, Json.tree(changed));
            Write<T> write = new Write<>(type, name, current.version(), Json.write(envelope), changed, token);
            return send(write, MAX_ATTEMPTS)
                    .chain(done -> done.isPresent()
                            ? Uni.createFrom().item(done.get())
                            : attempt(type, name, change, tokens.get(), attemptsLeft - 1));
        });
    }

    private <T> Uni<Optional<Versioned<T>>> send(Write<T> write, int attemptsLeft) {
        return objects.write(write.key(), write.expectedVersion, write.value)
                .map(version -> Optional.of(new Versioned<>(version, write.body)))
                .onFailure(StoreException.class)
                .recoverWithUni(failure -> recover(write, (StoreException) failure, attemptsLeft));
    }

    private <T> Uni<Optional<Versioned<T>>> recover(Write<T> write, StoreException failure, int attemptsLeft) {
        if (failure.kind() == StoreException.Kind.UNAVAILABLE || attemptsLeft == 0) {
            return Uni.createFrom().failure(failure);
        }
        return objects.read(write.key()).chain(found -> {
            long version = found.map(StoredObject::version).orElse(ObjectStore.ABSENT_VERSION);
            Envelope envelope = found.map(object -> Json.read(object.value(), Envelope.class))
                    .orElse(null);
            if (envelope != null && envelope.tokens().contains(write.token)) {
                return Uni.createFrom().item(Optional.of(new Versioned<>(version, body(write.type, envelope))));
            }
            if (version == write.expectedVersion && failure.kind() == StoreException.Kind.AMBIGUOUS) {
                return send(write, attemptsLeft - 1);
            }
            return Uni.createFrom().item(Optional.empty());
        });
    }

    private static <T> Versioned<T> decode(RecordType<T> type, String name, Optional<StoredObject> found) {
        if (found.isEmpty()) {
            return new Versioned<>(ObjectStore.ABSENT_VERSION, type.initial().apply(name));
        }
        StoredObject object = found.get();
        return new Versioned<>(object.version(), body(type, Json.read(object.value(), Envelope.class)));
    }

    private static <T> T body(RecordType<T> type, Envelope envelope) {
        JsonNode body = envelope.body();
        try {
            return Json.MAPPER.treeToValue(body, type.bodyType());
        } catch (IOException e) {
            throw new UncheckedIOException("record of kind \"%s\" is malformed".formatted(type.prefix()), e);
        }
    }

    private record Write<T>(RecordType<T> type, String name, long expectedVersion, byte[] value, T body, String token) {

        String key() {
            return type.key(name);
        }
    }
}
