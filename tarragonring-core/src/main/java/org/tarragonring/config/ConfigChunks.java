package org.tarragonring.config;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

import com.fasterxml.jackson.core.type.TypeReference;
import org.apache.commons.codec.digest.DigestUtils;
import org.apache.commons.codec.digest.MurmurHash3;
import org.tarragonring.objects.Json;

/**
 * Splits a set of configuration objects into compressed chunks by the hash of each object's kind and name, so that a
 * change of one object changes only one chunk.
 *
 * @since 0.1.0
 */
public final class ConfigChunks {

    /** The number of chunks of each generation. */
    public static final int CHUNK_COUNT = 64;

    private final Map<String, byte[]> bySha256;
    private final List<String> sha256s;

    private ConfigChunks(Map<String, byte[]> bySha256, List<String> sha256s) {
        this.bySha256 = Collections.unmodifiableMap(new LinkedHashMap<>(bySha256));
        this.sha256s = List.copyOf(sha256s);
    }

    /**
     * Splits objects into chunks.
     *
     * @param objects the objects, not null
     * @return the chunks; the same objects always result in the same chunks
     */
    public static ConfigChunks split(Collection<ConfigObject> objects) {
        List<List<ConfigObject>> chunks = new ArrayList<>();
        for (int i = 0; i < CHUNK_COUNT; i++) {
            chunks.add(new ArrayList<>());
        }
        objects.stream()
                .sorted(Comparator.comparing(ConfigObject::section))
                .forEach(object -> chunks.get(chunkIndexOf(object)).add(object));
        Map<String, byte[]> bySha256 = new LinkedHashMap<>();
        List<String> sha256s = new ArrayList<>();
        for (List<ConfigObject> chunk : chunks) {
            if (chunk.isEmpty()) {
                sha256s.add("");
                continue;
            }
            byte[] json = Json.write(chunk);
            String sha256 = DigestUtils.sha256Hex(json);
            bySha256.put(sha256, compress(json));
            sha256s.add(sha256);
        }
        return new ConfigChunks(bySha256, sha256s);
    }

    /**
     * Decodes the objects of one chunk.
     *
     * @param sha256 the expected SHA-256 hash of the uncompressed content, in lower-case hexadecimal digits, not null
     * @param compressed the compressed chunk, not null
     * @return the objects of the chunk
     * @throws UncheckedIOException if the chunk is malformed or its content does not have the expected hash
     */
    public static List<ConfigObject> decode(String sha256, byte[] compressed) {
        try (GZIPInputStream in = new GZIPInputStream(new ByteArrayInputStream(compressed))) {
            byte[] json = in.readAllBytes();
            if (!DigestUtils.sha256Hex(json).equals(sha256)) {
                throw new IOException("content of chunk \"%s\" does not match its hash".formatted(sha256));
            }
            return Json.MAPPER.readValue(json, new TypeReference<List<ConfigObject>>() {});
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Returns the compressed chunks by content hash.
     *
     * @return the non-empty chunks
     */
    public Map<String, byte[]> bySha256() {
        return bySha256;
    }

    /**
     * Returns the content hashes of all chunks, ordered by chunk index.
     *
     * @return {@value #CHUNK_COUNT} hashes; an empty string for an empty chunk
     */
    public List<String> sha256s() {
        return sha256s;
    }

    private static int chunkIndexOf(ConfigObject object) {
        byte[] name = object.section().getBytes(StandardCharsets.UTF_8);
        return Math.floorMod(MurmurHash3.hash32x86(name), CHUNK_COUNT);
    }

    private static byte[] compress(byte[] json) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (GZIPOutputStream out = new GZIPOutputStream(bytes)) {
            out.write(json);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }
}
