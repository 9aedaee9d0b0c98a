package org.tarragonring.placement;

import java.util.Objects;

import org.tarragonring.objects.Instance;
import org.tarragonring.objects.UpstreamRecord;
import org.tarragonring.upstream.EngineStatus;

/**
 * Describes an upstream on which a model may be loaded.
 *
 * @param instance the upstream's instance, not null
 * @param record the upstream's record, which lists its reservations; not null
 * @param status the status reported by the upstream's engine, not null
 * @since 0.1.0
 */
public record Candidate(Instance instance, UpstreamRecord record, EngineStatus status) {

    /** Rejects null components. */
    public Candidate {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(record, "record");
        Objects.requireNonNull(status, "status");
    }

    long freeBytes() {
        return record.withAcceleratorBytes(status.acceleratorBytes()).freeBytes();
    }
}
