package org.tarragonring.peer;

import java.util.List;
import java.util.Objects;

import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.HostPort;

/**
 * A datagram between entries: a message with membership updates and notices piggybacked on it.
 *
 * @param from the sender, not null
 * @param fromAddress the peer address of the sender, not null
 * @param configGeneration the active configuration generation of the sender, 0 if it has none
 * @param message the message, not null
 * @param members the membership updates, not null
 * @param notices the notices, not null
 * @since 0.1.0
 */
public record Datagram(
        EntryId from,
        HostPort fromAddress,
        long configGeneration,
        PeerMessage message,
        List<Member> members,
        List<Notice> notices) {

    /** Rejects null components and makes immutable copies of the lists. */
    public Datagram {
        Objects.requireNonNull(from, "from");
        Objects.requireNonNull(fromAddress, "fromAddress");
        Objects.requireNonNull(message, "message");
        members = List.copyOf(members);
        notices = List.copyOf(notices);
    }
}
