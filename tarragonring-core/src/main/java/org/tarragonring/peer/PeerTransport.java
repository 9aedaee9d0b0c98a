package org.tarragonring.peer;

import org.tarragonring.ids.HostPort;

/**
 * Sends datagrams to other entries without guaranteeing their delivery.
 *
 * @since 0.1.0
 */
@FunctionalInterface
public interface PeerTransport {

    /**
     * Sends a datagram.
     *
     * @param to the receiver's peer address, not null
     * @param datagram the datagram, not null
     */
    void send(HostPort to, Datagram datagram);
}
