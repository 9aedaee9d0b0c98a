package org.tarragonring.placement;

import java.util.Objects;

import org.tarragonring.objects.Instance;
import org.tarragonring.objects.UpstreamRecord;
import org.tarragonring.upstream.EngineStatus;

/**
 * An upstream on which a model may be loaded.
 *
 * @param instance the upstream, not null
 * @param record what is reserved on it, not null
 * @param status the engine's report, not null
 * @since 0.1.0
 */
public record Candidate(Instance instance, UpstreamRecord record, EngineStatus status) {

    /** Checks the arguments. */
    public Candidate {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(record, "record");
        Objects.requireNonNull(status, "status");
    }

    long freeBytes() {
        return record.withAcceleratorBytes(status.acceleratorBytes()).freeBytes();
    }
}
