package org.tarragonring.config;

import java.time.Duration;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads values with units.
 *
 * @since 0.1.0
 */
public final class Units {

    private static final Pattern QUANTITY = Pattern.compile("(\\d{1,15})\\s*([A-Za-z]*)");
    private static final Map<String, Long> BYTE_UNITS =
            Map.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20, "GiB", 1L << 30, "TiB", 1L << 40);
    private static final Map<String, Duration> TIME_UNITS = Map.of(
            "ms", Duration.ofMillis(1),
            "s", Duration.ofSeconds(1),
            "m", Duration.ofMinutes(1),
            "h", Duration.ofHours(1));

    private Units() {}

    /**
     * Reads an amount of memory.
     *
     * @param text such as {@code 14GiB}, not null
     * @return bytes
     * @throws IllegalArgumentException if the text is no whole number with a unit from B to TiB
     */
    public static long bytes(String text) {
        Matcher matcher = QUANTITY.matcher(text.trim());
        if (matcher.matches() && BYTE_UNITS.containsKey(matcher.group(2))) {
            return Math.multiplyExact(Long.parseLong(matcher.group(1)), BYTE_UNITS.get(matcher.group(2)));
        }
        throw new IllegalArgumentException(
                "\"%s\" is not a whole number with unit B, KiB, MiB, GiB or TiB".formatted(text));
    }

    /**
     * Reads a duration.
     *
     * @param text such as {@code 250ms}, not null
     * @return the duration
     * @throws IllegalArgumentException if the text is no whole number with unit ms, s, m or h
     */
    public static Duration duration(String text) {
        Matcher matcher = QUANTITY.matcher(text.trim());
        if (matcher.matches() && TIME_UNITS.containsKey(matcher.group(2))) {
            return TIME_UNITS.get(matcher.group(2)).multipliedBy(Long.parseLong(matcher.group(1)));
        }
        throw new IllegalArgumentException("\"%s\" is not a whole number with unit ms, s, m or h".formatted(text));
    }

    /**
     * Reads a whole number.
     *
     * @param text the digits, not null
     * @param least the least value allowed
     * @param most the greatest value allowed
     * @return the number
     * @throws IllegalArgumentException if the text is no whole number in that range
     */
    public static int integer(String text, int least, int most) {
        try {
            int value = Integer.parseInt(text.trim());
            if (value >= least && value <= most) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("\"%s\" is not a whole number".formatted(text), e);
        }
        throw new IllegalArgumentException("%s is not between %d and %d".formatted(text.trim(), least, most));
    }

    /**
     * Reads a truth value.
     *
     * @param text {@code true} or {@code false}, not null
     * @return the value
     * @throws IllegalArgumentException if the text is neither
     */
    public static boolean truth(String text) {
        return switch (text.trim()) {
            case "true" -> true;
            case "false" -> false;
            default -> throw new IllegalArgumentException("\"%s\" is neither true nor false".formatted(text));
        };
    }
}
