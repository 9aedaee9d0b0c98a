package org.tarragonring.policy.replica;

import java.util.Objects;
import java.util.Optional;

import org.tarragonring.ids.SoftwareVersion;
import org.tarragonring.ids.UpstreamId;

/**
 * One process of a replica. A replica may start again under its id, with other software; what was known of the process
 * before then no longer holds, so that a source that tells of another process replaces this value as a whole.
 *
 * @param replica the id of the replica, not null
 * @param startMillis the start time of the process, in Unix milliseconds
 * @param software the version of the software that the process runs, empty if it is not known; not null
 * @since 0.2.0
 */
public record ReplicaProcess(UpstreamId replica, long startMillis, Optional<SoftwareVersion> software) {

    /** Rejects null. */
    public ReplicaProcess {
        Objects.requireNonNull(replica, "replica");
        Objects.requireNonNull(software, "software");
    }

    /**
     * Checks whether two values describe one process.
     *
     * @param other the other value, not null
     * @return true if the replica and the start time are the same
     */
    public boolean isSameAs(ReplicaProcess other) {
        return replica.equals(other.replica) && startMillis == other.startMillis;
    }

    /**
     * Checks whether this process started after another one of the same replica.
     *
     * @param other the other process, not null
     * @return true if its start time is later
     */
    public boolean isNewerThan(ReplicaProcess other) {
        return startMillis > other.startMillis;
    }

    /**
     * Returns this process without the version of its software.
     *
     * @return the process with unknown software, never null
     */
    public ReplicaProcess withoutSoftware() {
        return new ReplicaProcess(replica, startMillis, Optional.empty());
    }

    /**
     * Adds what another source knows of the same process.
     *
     * @param other the same process, not null
     * @return the process with the version of its software if one of the two has it, never null
     */
    public ReplicaProcess mergedWith(ReplicaProcess other) {
        return software.isPresent() ? this : other;
    }
}
