package org.tarragonring.gateway.catalog;

import java.util.Objects;
import java.util.function.Consumer;

import org.tarragonring.ids.UpstreamId;
import org.tarragonring.peer.PeerMessage;

/**
 * Replicas that have announced in a response that they are about to shut down. This is often earlier than their
 * registration tells it; the other entries are told once.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class LeavingReplicas {

    private final ReplicaCatalog catalog;
    private final Consumer<PeerMessage> broadcaster;

    /**
     * Creates an instance.
     *
     * @param catalog the known replicas, not null
     * @param broadcaster sends a message to all other entries, not null
     */
    public LeavingReplicas(ReplicaCatalog catalog, Consumer<PeerMessage> broadcaster) {
        this.catalog = Objects.requireNonNull(catalog, "catalog");
        this.broadcaster = Objects.requireNonNull(broadcaster, "broadcaster");
    }

    /**
     * Handles a response to this entry in which a replica announces its shutdown.
     *
     * @param replica the replica, not null
     * @param processStartMillis the start time of the process that sent the response, in Unix milliseconds
     */
    public void onResponse(UpstreamId replica, long processStartMillis) {
        if (catalog.markLeaving(replica, processStartMillis, "response")) {
            broadcaster.accept(new PeerMessage.ReplicaLeaving(replica, processStartMillis));
        }
    }

    /**
     * Handles the message of another entry that got such a response.
     *
     * @param notice the message, not null
     */
    public void onNotice(PeerMessage.ReplicaLeaving notice) {
        catalog.markLeaving(notice.replica(), notice.bornMillis(), "message of another entry");
    }
}
