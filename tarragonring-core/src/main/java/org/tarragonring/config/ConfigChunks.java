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
 * Splits a set of objects into chunks by the hash of each object's name, so that one changed object changes one
 * chunk.
 *
 * @since 0.1.0
 */
public final class ConfigChunks {

    /** The number of chunks of every generation. */
    public static final int COUNT = 64;

    private final Map<String, byte[]> bySha256;
    private final List<String> sha256s;

    private ConfigChunks(Map<String, byte[]> bySha256, List<String> sha256s) {
        this.bySha256 = Collections.unmodifiableMap(new LinkedHashMap<>(bySha256));
        this.sha256s = List.copyOf(sha256s);
    }

    /**
     * Splits objects.
     *
     * @param objects the objects, not null
     * @return the chunks; the same objects always give the same chunks
     */
    public static ConfigChunks split(Collection<ConfigObject> objects) {
        List<List<ConfigObject>> buckets = new ArrayList<>();
        for (int i = 0; i < COUNT; i++) {
            buckets.add(new ArrayList<>());
        }
        objects.stream()
                .sorted(Comparator.comparing(ConfigObject::section))
                .forEach(object -> buckets.get(bucketOf(object)).add(object));
        Map<String, byte[]> bySha256 = new LinkedHashMap<>();
        List<String> sha256s = new ArrayList<>();
        for (List<ConfigObject> bucket : buckets) {
            if (bucket.isEmpty()) {
                sha256s.add("");
                continue;
            }
            byte[] json = Json.write(bucket);
            String sha256 = DigestUtils.sha256Hex(json);
            bySha256.put(sha256, compress(json));
            sha256s.add(sha256);
        }
        return new ConfigChunks(bySha256, sha256s);
    }

    /**
     * Reads the objects of one chunk.
     *
     * @param sha256 the chunk's content hash, not null
     * @param compressed the chunk, not null
     * @return its objects
     * @throws UncheckedIOException if the chunk is malformed or its content has another hash
     */
    public static List<ConfigObject> read(String sha256, byte[] compressed) {
        try (GZIPInputStream in = new GZIPInputStream(new ByteArrayInputStream(compressed))) {
            byte[] json = in.readAllBytes();
            if (!DigestUtils.sha256Hex(json).equals(sha256)) {
                throw new IOException("chunk \"%s\" has other content".formatted(sha256));
            }
            return Json.MAPPER.readValue(json, new TypeReference<List<ConfigObject>>() {});
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Returns the compressed chunks by content hash.
     *
     * @return the chunks that are not empty
     */
    public Map<String, byte[]> bySha256() {
        return bySha256;
    }

    /**
     * Returns the content hashes by index.
     *
     * @return {@value #COUNT} hashes, empty text for an empty chunk
     */
    public List<String> sha256s() {
        return sha256s;
    }

    private static int bucketOf(ConfigObject object) {
        byte[] name = object.section().getBytes(StandardCharsets.UTF_8);
        return Math.floorMod(MurmurHash3.hash32x86(name), COUNT);
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
