package org.tarragonring.placement;

import java.time.Duration;

/**
 * Remembers the lengths of a model's quiet spells, older ones with less weight. Not safe for use by several threads.
 *
 * @since 0.1.0
 */
public final class GapHistory {

    /** The number of classes of lengths; class i holds spells below 2 to the power of i seconds. */
    public static final int CLASSES = 18;

    private static final double FADING = 0.95;
    private static final double MILLIS_PER_SECOND = 1000;

    private final double[] weights = new double[CLASSES];
    private double total;

    /**
     * Adds a quiet spell.
     *
     * @param gap its length, not null
     */
    public void add(Duration gap) {
        for (int i = 0; i < CLASSES; i++) {
            weights[i] *= FADING;
        }
        total = total * FADING + 1;
        weights[classOf(gap)] += 1;
    }

    /**
     * Returns how much was remembered.
     *
     * @return the weight of all spells, 0 if there was none
     */
    public double total() {
        return total;
    }

    /**
     * Returns the share of spells that end within a length.
     *
     * @param lengthClass the length's class, 0 to {@value #CLASSES} - 1
     * @return from 0 to 1; 0 if there was none
     */
    public double shareWithin(int lengthClass) {
        double within = 0;
        for (int i = 0; i <= lengthClass; i++) {
            within += weights[i];
        }
        return total == 0 ? 0 : within / total;
    }

    /**
     * Returns the longest spell of a class.
     *
     * @param lengthClass the class, 0 to {@value #CLASSES} - 1
     * @return 2 to the power of the class, in seconds
     */
    public static Duration longest(int lengthClass) {
        return Duration.ofSeconds(1L << lengthClass);
    }

    private static int classOf(Duration gap) {
        double seconds = gap.toMillis() / MILLIS_PER_SECOND;
        int lengthClass = 0;
        while (lengthClass < CLASSES - 1 && seconds > (1L << lengthClass)) {
            lengthClass++;
        }
        return lengthClass;
    }
}
