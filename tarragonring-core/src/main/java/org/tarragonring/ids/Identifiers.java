package org.tarragonring.ids;

import java.util.regex.Pattern;

/** Validates the text of identifiers. */
final class Identifiers {

    private static final int MAX_LENGTH = 200;
    private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:@-]*");

    private Identifiers() {}

    /**
     * Returns the text of an identifier after checking it.
     *
     * @param kind what the text identifies, for the error message; not null
     * @param value the text
     * @return the text
     * @throws IllegalArgumentException if the text is null or not a valid identifier
     */
    static String requireValid(String kind, String value) {
        if (!isValid(value)) {
            throw new IllegalArgumentException(
                    "%s \"%s\" is not 1 to %d letters, digits and . _ : @ - starting with a letter or digit"
                            .formatted(kind, value, MAX_LENGTH));
        }
        return value;
    }

    /**
     * Returns a name after checking it. Unlike an identifier, it is chosen by others and may contain any characters that
     * are no control characters.
     *
     * @param kind what the text names, for the error message; not null
     * @param value the text
     * @return the text
     * @throws IllegalArgumentException if the text is null or not a valid name
     */
    static String requireName(String kind, String value) {
        boolean isValid = value != null
                && !value.isBlank()
                && value.length() <= MAX_LENGTH
                && value.chars().noneMatch(Character::isISOControl);
        if (!isValid) {
            throw new IllegalArgumentException("%s \"%s\" is not 1 to %d characters without control characters"
                    .formatted(kind, value, MAX_LENGTH));
        }
        return value;
    }

    /** Returns whether a text is a valid identifier; false for null. */
    static boolean isValid(String value) {
        return value != null
                && value.length() <= MAX_LENGTH
                && ALLOWED.matcher(value).matches();
    }
}
