package org.tarragonring.gateway.fairness;

import org.tarragonring.gateway.mesh.Mesh;
import org.tarragonring.ids.EntryId;
import org.tarragonring.peer.PeerMessage;

/**
 * The part of the connection to the other entries that the exchange of shares needs.
 *
 * @since 0.2.0
 */
public interface ShareMessenger {

    /**
     * Returns the id of this entry.
     *
     * @return the id, never null
     */
    EntryId self();

    /**
     * Returns the share coordinator.
     *
     * @return the entry that computes the shares, the same at all entries with the same view of the members; never null
     */
    EntryId coordinator();

    /**
     * Sends a message to one entry, which may be this one.
     *
     * @param to the receiver, not null
     * @param message the message, not null
     */
    void send(EntryId to, PeerMessage message);

    /**
     * Sends a message to all other entries.
     *
     * @param message the message, not null
     */
    void broadcast(PeerMessage message);

    /**
     * Checks if an entry is considered alive.
     *
     * @param id the entry, not null
     * @return true if it is a member that has not left
     */
    boolean isAlive(EntryId id);

    /**
     * Creates a messenger.
     *
     * @param mesh the connection to the other entries, not null
     * @return a messenger that uses the connection, never null
     */
    static ShareMessenger of(Mesh mesh) {
        return new ShareMessenger() {
            @Override
            public EntryId self() {
                return mesh.self();
            }

            @Override
            public EntryId coordinator() {
                return mesh.entryFor(ShareService.DUTY);
            }

            @Override
            public void send(EntryId to, PeerMessage message) {
                mesh.send(to, message);
            }

            @Override
            public void broadcast(PeerMessage message) {
                mesh.broadcast(message);
            }

            @Override
            public boolean isAlive(EntryId id) {
                return mesh.isAlive(id);
            }
        };
    }
}
