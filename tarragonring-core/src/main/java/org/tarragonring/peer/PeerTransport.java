package org.tarragonring.peer;

import java.util.Collection;

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

    /**
     * Sends the same datagram to several receivers.
     *
     * @param receivers the receivers' peer addresses, not null
     * @param datagram the datagram, not null
     */
    default void sendToAll(Collection<HostPort> receivers, Datagram datagram) {
        receivers.forEach(receiver -> send(receiver, datagram));
    }
}
