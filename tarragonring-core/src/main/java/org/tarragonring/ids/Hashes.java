package org.tarragonring.ids;

import java.nio.charset.StandardCharsets;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Hashes names and spreads the bits of hashes; the same on every machine.
 *
 * @since 0.1.0
 */
public final class Hashes {

    private static final long FIRST_MULTIPLIER = 0xff51afd7ed558ccdL;
    private static final long SECOND_MULTIPLIER = 0xc4ceb9fe1a85ec53L;
    private static final int SHIFT = 33;

    private Hashes() {}

    /**
     * Hashes a name.
     *
     * @param name the name, not null
     * @return 64 bits
     */
    public static long of(String name) {
        return MurmurHash3.hash128x64(name.getBytes(StandardCharsets.UTF_8))[0];
    }

    /**
     * Combines two hashes into one whose bits depend on all bits of both, without allocation.
     *
     * @param first a hash
     * @param second another hash
     * @return 64 bits
     */
    public static long mix(long first, long second) {
        long value = first ^ Long.rotateLeft(second, 1);
        long mixed = (value ^ (value >>> SHIFT)) * FIRST_MULTIPLIER;
        mixed = (mixed ^ (mixed >>> SHIFT)) * SECOND_MULTIPLIER;
        return mixed ^ (mixed >>> SHIFT);
    }
}
