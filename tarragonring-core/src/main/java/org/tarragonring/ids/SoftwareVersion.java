package org.tarragonring.ids;

import java.util.Objects;

/**
 * The version of the software that a replica runs, as opposed to that of the weights it holds. Versions have no order.
 *
 * @param value the name of the version, empty if the replica does not tell; not null
 * @since 0.2.0
 */
public record SoftwareVersion(String value) {

    /** Rejects null. */
    public SoftwareVersion {
        Objects.requireNonNull(value, "value");
    }

    @Override
    public String toString() {
        return value;
    }
}
