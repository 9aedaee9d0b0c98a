package org.tarragonring.objects;

import java.util.Objects;
import java.util.function.Function;

/**
 * Describes one kind of record: where it is kept and how it looks before the first write.
 *
 * @param <T> the record's type
 * @param prefix the start of the keys, not null
 * @param bodyType the record's class, not null
 * @param initial makes the record that stands for an absent object from the key's last part, not null
 * @since 0.1.0
 */
public record RecordType<T>(String prefix, Class<T> bodyType, Function<String, T> initial) {

    /** The upstreams' reservations. */
    public static final RecordType<UpstreamRecord> UPSTREAM =
            new RecordType<>("upstreams/", UpstreamRecord.class, name -> UpstreamRecord.empty());

    /** The models' slots. */
    public static final RecordType<ModelRecord> MODEL =
            new RecordType<>("models/", ModelRecord.class, name -> ModelRecord.empty());

    /** The entries' leases. */
    public static final RecordType<LeaseRecord> LEASE =
            new RecordType<>("entries/", LeaseRecord.class, name -> LeaseRecord.none());

    /** The weight store's permits. */
    public static final RecordType<PermitRecord> PERMITS =
            new RecordType<>("loads/", PermitRecord.class, name -> PermitRecord.empty());

    /** The claims of non-idempotent calls. */
    public static final RecordType<ClaimRecord> CLAIMS =
            new RecordType<>("claims/", ClaimRecord.class, name -> ClaimRecord.empty());

    /** Checks the arguments. */
    public RecordType {
        Objects.requireNonNull(prefix, "prefix");
        Objects.requireNonNull(bodyType, "bodyType");
        Objects.requireNonNull(initial, "initial");
    }

    /**
     * Returns the key of one record.
     *
     * @param name the key's last part, not null
     * @return the whole key
     */
    public String key(String name) {
        return prefix + name;
    }
}
