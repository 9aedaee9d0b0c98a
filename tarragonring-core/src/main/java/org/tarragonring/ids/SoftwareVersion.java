package org.tarragonring.ids;

import java.util.Objects;

/**
 * The version of the software that a replica runs, as opposed to that of the weights it holds. Versions have no order.
 *
 * @param value the name of the version, empty if the replica does not tell; not null
 * @since 0.2.0
 */
public record SoftwareVersion(String value) implements Comparable<SoftwareVersion> {

    /** Rejects null. */
    public SoftwareVersion {
        Objects.requireNonNull(value, "value");
    }

    /** Compares the names, for a fixed order; it does not tell which version is newer. */
    @Override
    public int compareTo(SoftwareVersion other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
