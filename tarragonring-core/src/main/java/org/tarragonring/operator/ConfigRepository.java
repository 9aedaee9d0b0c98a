package org.tarragonring.operator;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import io.smallrye.mutiny.Uni;
import org.tarragonring.config.ConfigChunks;
import org.tarragonring.config.ConfigManifest;
import org.tarragonring.config.ConfigObject;
import org.tarragonring.objects.Json;
import org.tarragonring.objects.ObjectStore;
import org.tarragonring.objects.StoreException;
import org.tarragonring.objects.StoredObject;

/**
 * Reads and writes the generations of the configuration in the platform's object store.
 *
 * <p>The head object holds the manifest of the active generation and is replaced by compare-and-set. Chunks are stored
 * under their content hash and never change.
 *
 * @since 0.1.0
 */
public final class ConfigRepository {

    /** The key of the head object, which holds the manifest of the active generation. */
    public static final String HEAD_KEY = "config/head";

    private static final String CHUNK_PREFIX = "config/chunks/";
    private static final String MANIFEST_PREFIX = "config/manifests/";

    private final ObjectStore store;

    /**
     * Creates a repository.
     *
     * @param store the platform's object store, not null
     */
    public ConfigRepository(ObjectStore store) {
        this.store = Objects.requireNonNull(store, "store");
    }

    /**
     * Reads the manifest of the active generation.
     *
     * @return the manifest, or empty if nothing has been published yet
     */
    public Uni<Optional<ConfigManifest>> head() {
        return store.read(HEAD_KEY).map(stored -> stored.map(ConfigRepository::parseManifest));
    }

    /**
     * Reads the manifest of a generation.
     *
     * @param generation the number of the generation
     * @return the manifest, or empty if it is not stored
     */
    public Uni<Optional<ConfigManifest>> manifest(long generation) {
        return store.read(MANIFEST_PREFIX + generation).map(stored -> stored.map(ConfigRepository::parseManifest));
    }

    /**
     * Reads a compressed chunk.
     *
     * @param sha256 the content hash of the chunk, not null
     * @return the compressed chunk; fails with {@link StoreException} if it does not exist
     */
    public Uni<byte[]> chunk(String sha256) {
        return store.read(CHUNK_PREFIX + sha256)
                .map(stored -> stored.map(StoredObject::value)
                        .orElseThrow(() -> new StoreException(
                                StoreException.Kind.UNAVAILABLE,
                                "chunk \"%s\" does not exist in the object store".formatted(sha256))));
    }

    /**
     * Reads all objects of a generation.
     *
     * @param manifest the manifest of the generation, not null
     * @return the objects
     */
    public Uni<List<ConfigObject>> objects(ConfigManifest manifest) {
        return chunks(manifest, Map.of())
                .map(chunks -> manifest.chunkSha256s().stream()
                        .filter(sha256 -> !sha256.isEmpty())
                        .flatMap(sha256 -> ConfigChunks.decode(sha256, chunks.get(sha256)).stream())
                        .toList());
    }

    /**
     * Reads the chunks of a generation.
     *
     * @param manifest the manifest of the generation, not null
     * @param available chunks that are already available and need not be read, by content hash; not null
     * @return the available chunks and all chunks of the generation, by content hash
     */
    public Uni<Map<String, byte[]>> chunks(ConfigManifest manifest, Map<String, byte[]> available) {
        Uni<Map<String, byte[]>> chunks = Uni.createFrom().item(new HashMap<>(available));
        for (String sha256 : manifest.chunkSha256s()) {
            if (!sha256.isEmpty() && !available.containsKey(sha256)) {
                chunks = chunks.chain(read -> chunk(sha256).map(chunk -> {
                    read.put(sha256, chunk);
                    return read;
                }));
            }
        }
        return chunks;
    }

    /**
     * Writes a new generation and makes it the active one.
     *
     * @param base the manifest of the generation to replace, or empty for the first generation
     * @param publishId the unique id of this publish operation, not null
     * @param content the objects of the new generation, not null
     * @return the manifest of the new generation; fails with {@link StoreException} of kind CONFLICT if another
     *     generation has replaced the base
     */
    public Uni<ConfigManifest> publish(Optional<ConfigManifest> base, String publishId, List<ConfigObject> content) {
        ConfigChunks chunks = ConfigChunks.split(content);
        long generation = base.map(ConfigManifest::generation).orElse(0L) + 1;
        ConfigManifest manifest = new ConfigManifest(generation, publishId, chunks.sha256s());
        Uni<Void> chunksWritten = Uni.createFrom().voidItem();
        for (Map.Entry<String, byte[]> chunk : chunks.bySha256().entrySet()) {
            chunksWritten = chunksWritten.chain(() -> writeIfAbsent(CHUNK_PREFIX + chunk.getKey(), chunk.getValue()));
        }
        return chunksWritten
                .chain(() -> compareAndSetHead(base, manifest))
                .chain(() -> writeIfAbsent(MANIFEST_PREFIX + generation, Json.write(manifest))
                        .onFailure()
                        .recoverWithNull())
                .replaceWith(manifest);
    }

    private Uni<Void> writeIfAbsent(String key, byte[] value) {
        return store.write(key, ObjectStore.ABSENT_VERSION, value)
                .replaceWithVoid()
                .onFailure(ConfigRepository::isConflict)
                .recoverWithNull()
                .onFailure(ConfigRepository::isAmbiguous)
                .recoverWithUni(() -> store.read(key)
                        .chain(stored -> stored.isPresent() ? Uni.createFrom().voidItem() : writeIfAbsent(key, value)));
    }

    /**
     * Replaces the head if it is still the base. After a conflict or a lost response, the head is read again: its
     * publish id shows whether the write took effect.
     */
    private Uni<Void> compareAndSetHead(Optional<ConfigManifest> base, ConfigManifest next) {
        return store.read(HEAD_KEY).chain(stored -> {
            Optional<ConfigManifest> current = stored.map(ConfigRepository::parseManifest);
            if (current.filter(c -> c.publishId().equals(next.publishId())).isPresent()) {
                return Uni.createFrom().voidItem();
            }
            if (!current.equals(base)) {
                return Uni.createFrom().failure(conflictException(current));
            }
            long version = stored.map(StoredObject::version).orElse(ObjectStore.ABSENT_VERSION);
            return store.write(HEAD_KEY, version, Json.write(next))
                    .replaceWithVoid()
                    .onFailure(failure -> isConflict(failure) || isAmbiguous(failure))
                    .recoverWithUni(() -> compareAndSetHead(base, next));
        });
    }

    private static StoreException conflictException(Optional<ConfigManifest> current) {
        long generation = current.map(ConfigManifest::generation).orElse(0L);
        return new StoreException(
                StoreException.Kind.CONFLICT, "generation %d was published by another operation".formatted(generation));
    }

    private static boolean isConflict(Throwable failure) {
        return failure instanceof StoreException e && e.kind() == StoreException.Kind.CONFLICT;
    }

    private static boolean isAmbiguous(Throwable failure) {
        return failure instanceof StoreException e && e.kind() == StoreException.Kind.AMBIGUOUS;
    }

    private static ConfigManifest parseManifest(StoredObject object) {
        return Json.read(object.value(), ConfigManifest.class);
    }
}
