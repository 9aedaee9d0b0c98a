package org.tarragonring.ids;

import java.util.regex.Pattern;

/** Checks the text of identifiers. */
final class Ids {

    private static final int MAX_LENGTH = 200;
    private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:@-]*");

    private Ids() {}

    static String check(String kind, String value) {
        if (value == null
                || value.length() > MAX_LENGTH
                || !ALLOWED.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    "%s \"%s\" is not 1 to %d letters, digits and . _ : @ - starting with a letter or digit"
                            .formatted(kind, value, MAX_LENGTH));
        }
        return value;
    }
}
