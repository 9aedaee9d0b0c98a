package org.tarragonring.routing;

/** Spreads the bits of a number, without allocation. */
final class Mix {

    private static final long FIRST_MULTIPLIER = 0xff51afd7ed558ccdL;
    private static final long SECOND_MULTIPLIER = 0xc4ceb9fe1a85ec53L;
    private static final int SHIFT = 33;

    private Mix() {}

    static long spread(long value) {
        long mixed = (value ^ (value >>> SHIFT)) * FIRST_MULTIPLIER;
        mixed = (mixed ^ (mixed >>> SHIFT)) * SECOND_MULTIPLIER;
        return mixed ^ (mixed >>> SHIFT);
    }
}
