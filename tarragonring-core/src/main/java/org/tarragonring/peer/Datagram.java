package org.tarragonring.peer;

import java.util.List;
import java.util.Objects;

import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.HostPort;

/**
 * One datagram between entries: a message, and what rides along with it.
 *
 * @param from the sender, not null
 * @param fromAddress where the sender is reached, not null
 * @param configGeneration the configuration generation that the sender holds
 * @param message the message, not null
 * @param members claims about members, not null
 * @param notices notices, not null
 * @since 0.1.0
 */
public record Datagram(
        EntryId from,
        HostPort fromAddress,
        long configGeneration,
        PeerMessage message,
        List<Member> members,
        List<Notice> notices) {

    /** Copies the lists. */
    public Datagram {
        Objects.requireNonNull(from, "from");
        Objects.requireNonNull(fromAddress, "fromAddress");
        Objects.requireNonNull(message, "message");
        members = List.copyOf(members);
        notices = List.copyOf(notices);
    }
}
