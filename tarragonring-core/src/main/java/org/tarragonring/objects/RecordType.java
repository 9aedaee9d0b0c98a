package org.tarragonring.objects;

import java.util.Objects;
import java.util.function.Function;

/**
 * Describes one type of record: its key prefix, its class and its value before the first write.
 *
 * @param <T> the record's type
 * @param prefix the key prefix, not null
 * @param bodyType the record's class, not null
 * @param initialRecord creates the record to use if the object does not exist, from the record's name; not null
 * @since 0.1.0
 */
public record RecordType<T>(String prefix, Class<T> bodyType, Function<String, T> initialRecord) {

    /** Memory reservations, one record for each upstream. */
    public static final RecordType<UpstreamRecord> UPSTREAM =
            new RecordType<>("upstreams/", UpstreamRecord.class, name -> UpstreamRecord.empty());

    /** Decided replicas and slots, one record for each model. */
    public static final RecordType<ModelRecord> MODEL =
            new RecordType<>("models/", ModelRecord.class, name -> ModelRecord.empty());

    /** Leases, one record for each entry. */
    public static final RecordType<LeaseRecord> LEASE =
            new RecordType<>("entries/", LeaseRecord.class, name -> LeaseRecord.none());

    /** Permits for loads from the weight store. */
    public static final RecordType<PermitRecord> PERMITS =
            new RecordType<>("loads/", PermitRecord.class, name -> PermitRecord.empty());

    /** Claims of calls that are not idempotent. */
    public static final RecordType<ClaimRecord> CLAIMS =
            new RecordType<>("claims/", ClaimRecord.class, name -> ClaimRecord.empty());

    /** Rejects null components. */
    public RecordType {
        Objects.requireNonNull(prefix, "prefix");
        Objects.requireNonNull(bodyType, "bodyType");
        Objects.requireNonNull(initialRecord, "initialRecord");
    }

    /**
     * Returns the object key of a record.
     *
     * @param name the record's name, which is the part of the key after the prefix; not null
     * @return the complete key
     */
    public String key(String name) {
        return prefix + name;
    }
}
