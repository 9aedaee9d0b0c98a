package org.tarragonring.spread;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;

import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.HostPort;
import org.tarragonring.log.LogEvent;
import org.tarragonring.membership.MemberTable;
import org.tarragonring.peer.Datagram;
import org.tarragonring.peer.Member;
import org.tarragonring.peer.MemberState;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.peer.PeerTransport;
import org.tarragonring.time.Timers;

/**
 * Sends messages to other entries with membership updates and notices piggybacked on them, and applies the updates and
 * notices received in this way.
 *
 * @since 0.1.0
 */
public final class PeerMessenger implements FailureReports.Peers {

    private static final int MAX_UPDATES_PER_DATAGRAM = 6;

    /** The members in the acknowledgement of a probe that requests an introduction; they fit into one packet. */
    private static final int MEMBERS_PER_INTRODUCTION = 16;

    private static final Duration REMOVE_UNUSABLE_AFTER = Duration.ofMinutes(5);

    private final MemberTable table;
    private final NoticeDisseminator notices;
    private final LongSupplier generation;
    private final PeerTransport transport;
    private final Timers timers;
    private final AtomicInteger nextIntroduced;

    /**
     * Creates a messenger.
     *
     * @param table the members, not null
     * @param notices the notices to piggyback, not null
     * @param generation returns the active configuration generation, not null
     * @param transport sends the datagrams, not null
     * @param timers schedules the removal of members that are dead or have left, not null
     */
    public PeerMessenger(
            MemberTable table,
            NoticeDisseminator notices,
            LongSupplier generation,
            PeerTransport transport,
            Timers timers) {
        this.table = Objects.requireNonNull(table, "table");
        this.notices = Objects.requireNonNull(notices, "notices");
        this.generation = Objects.requireNonNull(generation, "generation");
        this.transport = Objects.requireNonNull(transport, "transport");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.nextIntroduced = new AtomicInteger(table.self().id().hashCode());
    }

    /**
     * Sends a message. It may be lost.
     *
     * @param to the receiver's peer address, not null
     * @param message the message, not null
     */
    public void send(HostPort to, PeerMessage message) {
        transport.send(to, datagram(message, updatesFor(to, message)));
    }

    /**
     * Sends a message to all other usable entries, with the same updates and notices piggybacked.
     *
     * @param message the message, not null
     */
    @Override
    public void broadcast(PeerMessage message) {
        transport.sendToAll(otherPeerAddresses(), datagram(message, table.nextUpdates(MAX_UPDATES_PER_DATAGRAM)));
    }

    /**
     * Sends this entry's state to entries that need not be known members.
     *
     * @param receivers the peer addresses, not null
     */
    public void announce(Collection<HostPort> receivers) {
        transport.sendToAll(receivers, datagram(new PeerMessage.ProbeAck(0), List.of(table.self())));
    }

    @Override
    public void send(EntryId to, PeerMessage message) {
        table.find(to).ifPresent(member -> send(member.peerAddress(), message));
    }

    @Override
    public List<FailureReports.Peer> usable() {
        return table.usable().stream()
                .map(member -> new FailureReports.Peer(member.id(), member.incarnation()))
                .toList();
    }

    private Datagram datagram(PeerMessage message, List<Member> updates) {
        Member self = table.self();
        return new Datagram(
                self.id(), self.peerAddress(), generation.getAsLong(), message, updates, notices.nextNotices());
    }

    /**
     * Returns the peer addresses of the other usable entries.
     *
     * @return the addresses, never null
     */
    public List<HostPort> otherPeerAddresses() {
        return table.usable().stream()
                .filter(m -> !m.id().equals(table.self().id()))
                .map(Member::peerAddress)
                .toList();
    }

    /**
     * Applies the membership updates and notices piggybacked on a datagram. The message itself is not processed.
     *
     * @param datagram the datagram, not null
     */
    public void applyPiggybacked(Datagram datagram) {
        // Members of an introduction are known to others already and are not passed on.
        boolean isIntroduction = datagram.members().size() >= MEMBERS_PER_INTRODUCTION;
        for (Member update : datagram.members()) {
            boolean isNew = table.find(update.id()).isEmpty();
            if (isIntroduction) {
                table.seed(update);
            } else if (!table.apply(update)) {
                continue;
            }
            if (update.isUsable() && isNew) {
                LogEvent.MEMBER_DISCOVERED.log(update.id(), update.peerAddress());
            }
            if (!update.isUsable()) {
                timers.schedule(REMOVE_UNUSABLE_AFTER, () -> table.removeUnusable(update.id()));
            }
        }
        datagram.notices().forEach(notices::receive);
    }

    /**
     * Returns the updates to piggyback. A probe also carries this entry's state, and the receiver's if it is not
     * considered alive, so that the receiver can refute it. The acknowledgement of a probe that requests an
     * introduction carries this entry's state and further usable members, each time the next ones.
     */
    private List<Member> updatesFor(HostPort to, PeerMessage message) {
        List<Member> updates = new ArrayList<>(table.nextUpdates(MAX_UPDATES_PER_DATAGRAM));
        if (message instanceof PeerMessage.Probe) {
            updates.removeIf(update -> update.id().equals(table.self().id()));
            updates.add(table.self());
            table.all().stream()
                    .filter(m -> m.peerAddress().equals(to) && m.state() != MemberState.ALIVE)
                    .forEach(updates::add);
        } else if (message instanceof PeerMessage.ProbeAck ack && ack.sequence() == PeerMessage.Probe.INTRODUCTION) {
            return introduction();
        }
        return updates;
    }

    private List<Member> introduction() {
        List<Member> others = table.usable().stream()
                .filter(member -> !member.id().equals(table.self().id()))
                .toList();
        int count = Math.min(MEMBERS_PER_INTRODUCTION, others.size());
        int first = nextIntroduced.getAndAdd(count);
        List<Member> introduced = new ArrayList<>();
        introduced.add(table.self());
        for (int i = 0; i < count; i++) {
            introduced.add(others.get(Math.floorMod(first + i, others.size())));
        }
        return introduced;
    }
}
