package org.tarragonring.gateway.quota;

import org.tarragonring.gateway.mesh.Mesh;
import org.tarragonring.ids.EntryId;
import org.tarragonring.peer.PeerMessage;

/**
 * The other entries, as far as quotas need them.
 *
 * @since 0.2.0
 */
interface QuotaPeers {

    /**
     * Connects quotas to the mesh of the entries.
     *
     * @param mesh the mesh, not null
     * @return the entries of the mesh, never null
     */
    static QuotaPeers of(Mesh mesh) {
        return new QuotaPeers() {
            @Override
            public EntryId entryFor(String duty) {
                return mesh.entryFor(duty);
            }

            @Override
            public void send(EntryId to, PeerMessage message) {
                mesh.send(to, message);
            }

            @Override
            public int aliveCount() {
                return mesh.alive().size();
            }
        };
    }

    /** Returns the entry responsible for a duty, this entry if no other one is. */
    EntryId entryFor(String duty);

    /** Sends a message to one entry; one to this entry is handled at once. */
    void send(EntryId to, PeerMessage message);

    /** Returns the number of entries considered alive, this one included. */
    int aliveCount();
}
