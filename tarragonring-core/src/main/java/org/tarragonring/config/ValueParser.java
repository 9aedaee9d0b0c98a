package org.tarragonring.config;

import java.time.Duration;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses values of configuration objects and settings, with their units.
 *
 * @since 0.1.0
 */
public final class ValueParser {

    private static final Pattern QUANTITY = Pattern.compile("(\\d{1,15})\\s*([A-Za-z]*)");
    private static final Map<String, Long> BYTE_UNITS =
            Map.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20, "GiB", 1L << 30, "TiB", 1L << 40);
    private static final Map<String, Duration> TIME_UNITS = Map.of(
            "ms", Duration.ofMillis(1),
            "s", Duration.ofSeconds(1),
            "m", Duration.ofMinutes(1),
            "h", Duration.ofHours(1));

    private ValueParser() {}

    /**
     * Parses a size in bytes.
     *
     * @param text a whole number and a unit, such as {@code 14GiB}, not null
     * @return the size in bytes
     * @throws IllegalArgumentException if the text is not a whole number with unit B, KiB, MiB, GiB or TiB
     * @throws ArithmeticException if the size exceeds the range of a long
     */
    public static long parseBytes(String text) {
        Matcher matcher = QUANTITY.matcher(text.trim());
        if (matcher.matches() && BYTE_UNITS.containsKey(matcher.group(2))) {
            return Math.multiplyExact(Long.parseLong(matcher.group(1)), BYTE_UNITS.get(matcher.group(2)));
        }
        throw new IllegalArgumentException(
                "\"%s\" is not a whole number with unit B, KiB, MiB, GiB or TiB".formatted(text));
    }

    /**
     * Parses a duration.
     *
     * @param text a whole number and a unit, such as {@code 250ms}, not null
     * @return the duration
     * @throws IllegalArgumentException if the text is not a whole number with unit ms, s, m or h
     * @throws ArithmeticException if the duration exceeds the range of a {@link Duration}
     */
    public static Duration parseDuration(String text) {
        Matcher matcher = QUANTITY.matcher(text.trim());
        if (matcher.matches() && TIME_UNITS.containsKey(matcher.group(2))) {
            return TIME_UNITS.get(matcher.group(2)).multipliedBy(Long.parseLong(matcher.group(1)));
        }
        throw new IllegalArgumentException("\"%s\" is not a whole number with unit ms, s, m or h".formatted(text));
    }

    /**
     * Parses a whole number.
     *
     * @param text the decimal digits, not null
     * @param min the smallest allowed value
     * @param max the largest allowed value
     * @return the number
     * @throws IllegalArgumentException if the text is not a whole number in this range
     */
    public static int parseInteger(String text, int min, int max) {
        try {
            int value = Integer.parseInt(text.trim());
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("\"%s\" is not a whole number".formatted(text), e);
        }
        throw new IllegalArgumentException("%s is not between %d and %d".formatted(text.trim(), min, max));
    }

    /**
     * Parses a boolean.
     *
     * @param text {@code true} or {@code false}, not null
     * @return the value
     * @throws IllegalArgumentException if the text is neither {@code true} nor {@code false}
     */
    public static boolean parseBoolean(String text) {
        return switch (text.trim()) {
            case "true" -> true;
            case "false" -> false;
            default -> throw new IllegalArgumentException("\"%s\" is neither true nor false".formatted(text));
        };
    }
}
