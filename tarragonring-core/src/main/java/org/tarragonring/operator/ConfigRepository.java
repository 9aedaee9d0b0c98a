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
 * Keeps the generations of the configuration in the platform's store.
 *
 * @since 0.1.0
 */
public final class ConfigRepository {

    /** The key of the manifest in force. */
    public static final String HEAD_KEY = "config/head";

    private static final String CHUNK_PREFIX = "config/chunks/";
    private static final String MANIFEST_PREFIX = "config/manifests/";

    private final ObjectStore objects;

    /**
     * Creates a repository.
     *
     * @param objects the platform's store, not null
     */
    public ConfigRepository(ObjectStore objects) {
        this.objects = Objects.requireNonNull(objects, "objects");
    }

    /**
     * Reads the manifest in force.
     *
     * @return the manifest, or empty if nothing was published yet
     */
    public Uni<Optional<ConfigManifest>> head() {
        return objects.read(HEAD_KEY).map(found -> found.map(ConfigRepository::manifest));
    }

    /**
     * Reads a manifest of an earlier generation.
     *
     * @param generation the generation
     * @return the manifest, or empty if it is not kept
     */
    public Uni<Optional<ConfigManifest>> manifest(long generation) {
        return objects.read(MANIFEST_PREFIX + generation).map(found -> found.map(ConfigRepository::manifest));
    }

    /**
     * Reads one compressed chunk.
     *
     * @param sha256 its content hash, not null
     * @return the chunk; fails with {@link StoreException} if it is not there
     */
    public Uni<byte[]> chunk(String sha256) {
        return objects.read(CHUNK_PREFIX + sha256)
                .map(found -> found.map(StoredObject::value)
                        .orElseThrow(() -> new StoreException(
                                StoreException.Kind.UNAVAILABLE, "chunk \"%s\" is not there".formatted(sha256))));
    }

    /**
     * Reads all objects of a generation.
     *
     * @param manifest its manifest, not null
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
     * @param manifest its manifest, not null
     * @param known chunks that need not be read, by content hash; not null
     * @return all its chunks by content hash
     */
    public Uni<Map<String, byte[]>> chunks(ConfigManifest manifest, Map<String, byte[]> known) {
        Uni<Map<String, byte[]>> all = Uni.createFrom().item(new HashMap<>(known));
        for (String sha256 : manifest.chunkSha256s()) {
            if (!sha256.isEmpty() && !known.containsKey(sha256)) {
                all = all.chain(read -> chunk(sha256).map(chunk -> {
                    read.put(sha256, chunk);
                    return read;
                }));
            }
        }
        return all;
    }

    /**
     * Writes a generation and puts it in force.
     *
     * @param base the manifest it replaces, or empty if it is the first
     * @param publishId tells this publish from all others, not null
     * @param content the objects, not null
     * @return the manifest in force; fails with {@link StoreException} of kind CONFLICT if another publish came
     *     first
     */
    public Uni<ConfigManifest> publish(Optional<ConfigManifest> base, String publishId, List<ConfigObject> content) {
        ConfigChunks chunks = ConfigChunks.split(content);
        long generation = base.map(ConfigManifest::generation).orElse(0L) + 1;
        ConfigManifest manifest = new ConfigManifest(generation, publishId, chunks.sha256s());
        Uni<Void> written = Uni.createFrom().voidItem();
        for (Map.Entry<String, byte[]> chunk : chunks.bySha256().entrySet()) {
            written = written.chain(() -> writeOnce(CHUNK_PREFIX + chunk.getKey(), chunk.getValue()));
        }
        return written.chain(() -> swapHead(base, manifest))
                .chain(() -> writeOnce(MANIFEST_PREFIX + generation, Json.write(manifest))
                        .onFailure()
                        .recoverWithNull())
                .replaceWith(manifest);
    }

    private Uni<Void> writeOnce(String key, byte[] value) {
        return objects.write(key, ObjectStore.ABSENT_VERSION, value)
                .replaceWithVoid()
                .onFailure(ConfigRepository::isConflict)
                .recoverWithNull()
                .onFailure(ConfigRepository::isAmbiguous)
                .recoverWithUni(() -> objects.read(key)
                        .chain(found -> found.isPresent() ? Uni.createFrom().voidItem() : writeOnce(key, value)));
    }

    private Uni<Void> swapHead(Optional<ConfigManifest> base, ConfigManifest next) {
        return objects.read(HEAD_KEY).chain(found -> {
            Optional<ConfigManifest> current = found.map(ConfigRepository::manifest);
            if (current.filter(c -> c.publishId().equals(next.publishId())).isPresent()) {
                return Uni.createFrom().voidItem();
            }
            if (!current.equals(base)) {
                return Uni.createFrom().failure(conflict(current));
            }
            long version = found.map(StoredObject::version).orElse(ObjectStore.ABSENT_VERSION);
            return objects.write(HEAD_KEY, version, Json.write(next))
                    .replaceWithVoid()
                    .onFailure(failure -> isConflict(failure) || isAmbiguous(failure))
                    .recoverWithUni(() -> swapHead(base, next));
        });
    }

    private static StoreException conflict(Optional<ConfigManifest> current) {
        long generation = current.map(ConfigManifest::generation).orElse(0L);
        return new StoreException(
                StoreException.Kind.CONFLICT, "generation %d was published meanwhile".formatted(generation));
    }

    private static boolean isConflict(Throwable failure) {
        return failure instanceof StoreException e && e.kind() == StoreException.Kind.CONFLICT;
    }

    private static boolean isAmbiguous(Throwable failure) {
        return failure instanceof StoreException e && e.kind() == StoreException.Kind.AMBIGUOUS;
    }

    private static ConfigManifest manifest(StoredObject object) {
        return Json.read(object.value(), ConfigManifest.class);
    }
}
