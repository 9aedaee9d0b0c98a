package org.tarragonring.spread;

import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;

import org.tarragonring.config.ConfigHolder;
import org.tarragonring.objects.Json;
import org.tarragonring.peer.PeerMessage;

/**
 * Gives other entries the parts of the configuration in force.
 *
 * @since 0.1.0
 */
public final class BlobStore {

    /** The name of the manifest in force. */
    public static final String MANIFEST = "manifest";

    /** The most bytes in one part, so that a datagram fits an Ethernet frame. */
    public static final int PART_BYTES = 1100;

    private static final String CHUNK_PREFIX = "chunk:";

    private final ConfigHolder holder;

    /**
     * Creates a store.
     *
     * @param holder the configuration in force, not null
     */
    public BlobStore(ConfigHolder holder) {
        this.holder = Objects.requireNonNull(holder, "holder");
    }

    /**
     * Returns the name of a chunk.
     *
     * @param sha256 the chunk's content hash, not null
     * @return the name
     */
    public static String chunkName(String sha256) {
        return CHUNK_PREFIX + sha256;
    }

    /**
     * Answers a request.
     *
     * @param request the request, not null
     * @return the part asked for; one of size 0 if this entry does not have the blob
     */
    public PeerMessage.BlobPart answer(PeerMessage.BlobRequest request) {
        byte[] blob = find(request.name()).orElse(new byte[0]);
        int from = Math.min(Math.max(0, request.offset()), blob.length);
        int to = Math.min(blob.length, from + PART_BYTES);
        return new PeerMessage.BlobPart(request.name(), from, blob.length, Arrays.copyOfRange(blob, from, to));
    }

    private Optional<byte[]> find(String name) {
        return holder.current().flatMap(snapshot -> {
            if (name.equals(MANIFEST)) {
                return Optional.of(Json.write(snapshot.manifest()));
            }
            if (!name.startsWith(CHUNK_PREFIX)) {
                return Optional.empty();
            }
            return Optional.ofNullable(snapshot.chunks().get(name.substring(CHUNK_PREFIX.length())));
        });
    }
}
