package org.tarragonring.config;

import java.util.List;
import java.util.Objects;

/**
 * Lists the chunks of one generation of the configuration.
 *
 * @param generation the generation, 1 or more
 * @param publishId the unique id of the publish operation that created the generation, not null
 * @param chunkSha256s the content hash of each chunk, ordered by chunk index, an empty string for an empty chunk; not
 *     null
 * @since 0.1.0
 */
public record ConfigManifest(long generation, String publishId, List<String> chunkSha256s) {

    /** Rejects a null publish id and makes an immutable copy of the list. */
    public ConfigManifest {
        Objects.requireNonNull(publishId, "publishId");
        chunkSha256s = List.copyOf(chunkSha256s);
    }
}
