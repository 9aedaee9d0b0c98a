package org.tarragonring.spread;

import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;

import org.tarragonring.config.ConfigHolder;
import org.tarragonring.objects.Json;
import org.tarragonring.peer.PeerMessage;

/**
 * Serves the active configuration to other entries as named blobs, in parts that fit a datagram.
 *
 * @since 0.1.0
 */
public final class BlobProvider {

    /** The name of the blob that holds the active manifest. */
    public static final String MANIFEST_NAME = "manifest";

    /** The size of every part but the last one of a blob; with it, the datagram fits an Ethernet frame. */
    public static final int PART_BYTES = 1100;

    private static final String CHUNK_NAME_PREFIX = "chunk:";

    private final ConfigHolder holder;

    /**
     * Creates a provider.
     *
     * @param holder the active configuration, not null
     */
    public BlobProvider(ConfigHolder holder) {
        this.holder = Objects.requireNonNull(holder, "holder");
    }

    /**
     * Returns the name of the blob that holds a chunk.
     *
     * @param sha256 the SHA-256 hash of the chunk, not null
     * @return the name, never null
     */
    public static String chunkName(String sha256) {
        return CHUNK_NAME_PREFIX + sha256;
    }

    /**
     * Reads the part of a blob that starts at the requested offset.
     *
     * @param request the request, not null; its offset is limited to the size of the blob
     * @return the part; its total size is 0 if this entry does not have the blob
     */
    public PeerMessage.BlobPart readPart(PeerMessage.BlobRequest request) {
        byte[] blob = find(request.name()).orElse(new byte[0]);
        int from = Math.min(Math.max(0, request.offset()), blob.length);
        int to = Math.min(blob.length, from + PART_BYTES);
        return new PeerMessage.BlobPart(request.name(), from, blob.length, Arrays.copyOfRange(blob, from, to));
    }

    private Optional<byte[]> find(String name) {
        return holder.current().flatMap(snapshot -> {
            if (name.equals(MANIFEST_NAME)) {
                return Optional.of(Json.write(snapshot.manifest()));
            }
            if (!name.startsWith(CHUNK_NAME_PREFIX)) {
                return Optional.empty();
            }
            return Optional.ofNullable(snapshot.chunks().get(name.substring(CHUNK_NAME_PREFIX.length())));
        });
    }
}
