package org.tarragonring.spread;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.LongSupplier;

import org.tarragonring.ids.HostPort;
import org.tarragonring.log.LogEvent;
import org.tarragonring.membership.MemberTable;
import org.tarragonring.peer.Datagram;
import org.tarragonring.peer.Member;
import org.tarragonring.peer.MemberState;
import org.tarragonring.peer.PeerLink;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.time.Timers;

/**
 * Sends messages to other entries together with what rides along, and takes in what rides along with theirs.
 *
 * @since 0.1.0
 */
public final class PeerHub {

    private static final int MAX_CLAIMS = 6;
    private static final Duration FORGET_AFTER = Duration.ofMinutes(5);

    private final MemberTable table;
    private final NoticeBoard notices;
    private final LongSupplier generation;
    private final PeerLink link;
    private final Timers timers;

    /**
     * Creates a hub.
     *
     * @param table the members, not null
     * @param notices the notices, not null
     * @param generation tells the configuration generation in force, not null
     * @param link sends datagrams, not null
     * @param timers forgets dead members later, not null
     */
    public PeerHub(MemberTable table, NoticeBoard notices, LongSupplier generation, PeerLink link, Timers timers) {
        this.table = Objects.requireNonNull(table, "table");
        this.notices = Objects.requireNonNull(notices, "notices");
        this.generation = Objects.requireNonNull(generation, "generation");
        this.link = Objects.requireNonNull(link, "link");
        this.timers = Objects.requireNonNull(timers, "timers");
    }

    /**
     * Sends a message.
     *
     * @param to where the receiver is reached, not null
     * @param message the message, not null
     */
    public void send(HostPort to, PeerMessage message) {
        Member self = table.self();
        link.send(
                to,
                new Datagram(
                        self.id(),
                        self.peerAddress(),
                        generation.getAsLong(),
                        message,
                        claimsFor(to, message),
                        notices.take()));
    }

    /**
     * Sends a message to all usable entries but this one.
     *
     * @param message the message, not null
     */
    public void broadcast(PeerMessage message) {
        others().forEach(address -> send(address, message));
    }

    /**
     * Returns where the other usable entries are reached.
     *
     * @return their addresses
     */
    public List<HostPort> others() {
        return table.usable().stream()
                .filter(m -> !m.id().equals(table.self().id()))
                .map(Member::peerAddress)
                .toList();
    }

    /**
     * Takes in what rides along with a datagram.
     *
     * @param datagram the datagram, not null
     */
    public void receive(Datagram datagram) {
        for (Member claim : datagram.members()) {
            boolean isNew = table.find(claim.id()).isEmpty();
            if (!table.apply(claim)) {
                continue;
            }
            if (claim.isUsable() && isNew) {
                LogEvent.MEMBER_DISCOVERED.log(claim.id(), claim.peerAddress());
            }
            if (!claim.isUsable()) {
                timers.schedule(FORGET_AFTER, () -> table.removeUnusable(claim.id()));
            }
        }
        datagram.notices().forEach(notices::learn);
    }

    /** Chooses the claims to send along: on a probe also what is thought of the receiver, so that it can refute. */
    private List<Member> claimsFor(HostPort to, PeerMessage message) {
        List<Member> claims = new ArrayList<>(table.takeUpdates(MAX_CLAIMS));
        if (message instanceof PeerMessage.Probe) {
            claims.removeIf(c -> c.id().equals(table.self().id()));
            claims.add(table.self());
            table.all().stream()
                    .filter(m -> m.peerAddress().equals(to) && m.state() != MemberState.ALIVE)
                    .forEach(claims::add);
        }
        return claims;
    }
}
