package org.tarragonring.ids;

import java.nio.charset.StandardCharsets;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Computes hashes that are the same on every machine.
 *
 * @since 0.1.0
 */
public final class Hashes {

    // The constants of MurmurHash3's 64-bit finalizer.
    private static final long FIRST_MULTIPLIER = 0xff51afd7ed558ccdL;
    private static final long SECOND_MULTIPLIER = 0xc4ceb9fe1a85ec53L;
    private static final int SHIFT = 33;

    private Hashes() {}

    /**
     * Returns the hash of a name.
     *
     * @param name the name, not null
     * @return the first 64 bits of its MurmurHash3
     */
    public static long of(String name) {
        return MurmurHash3.hash128x64(name.getBytes(StandardCharsets.UTF_8))[0];
    }

    /**
     * Combines two hashes into one whose bits depend on all bits of both. Allocates no objects.
     *
     * @param first the first hash
     * @param second the second hash; the order matters
     * @return the combined hash
     */
    public static long combine(long first, long second) {
        long value = first ^ Long.rotateLeft(second, 1);
        long mixed = (value ^ (value >>> SHIFT)) * FIRST_MULTIPLIER;
        mixed = (mixed ^ (mixed >>> SHIFT)) * SECOND_MULTIPLIER;
        return mixed ^ (mixed >>> SHIFT);
    }
}
