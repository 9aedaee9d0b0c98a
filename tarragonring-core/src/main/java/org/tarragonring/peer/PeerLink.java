package org.tarragonring.peer;

import org.tarragonring.ids.HostPort;

/**
 * Sends datagrams to other entries, without any promise that they arrive.
 *
 * @since 0.1.0
 */
@FunctionalInterface
public interface PeerLink {

    /**
     * Sends a datagram.
     *
     * @param to where the receiver is reached, not null
     * @param datagram the datagram, not null
     */
    void send(HostPort to, Datagram datagram);
}
