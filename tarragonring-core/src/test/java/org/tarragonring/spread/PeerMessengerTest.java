package org.tarragonring.spread;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.HostPort;
import org.tarragonring.membership.MemberTable;
import org.tarragonring.peer.Datagram;
import org.tarragonring.peer.Member;
import org.tarragonring.peer.MemberState;
import org.tarragonring.peer.Notice;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.peer.PeerTransport;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** A broadcast must cost one datagram to encode, whatever the number of entries, and reach each of them. */
class PeerMessengerTest {

    private static final int OTHERS = 20;

    private final List<Datagram> encoded = new ArrayList<>();
    private final List<HostPort> receivers = new ArrayList<>();
    private final PeerTransport transport = new PeerTransport() {
        @Override
        public void send(HostPort to, Datagram datagram) {
            sendToAll(List.of(to), datagram);
        }

        @Override
        public void sendToAll(Collection<HostPort> to, Datagram datagram) {
            encoded.add(datagram);
            receivers.addAll(to);
        }
    };

    @Test
    void broadcastReachesAllOtherEntriesWithOneDatagram() {
        MemberTable table = new MemberTable(member(0));
        for (int i = 1; i <= OTHERS; i++) {
            table.apply(member(i));
        }
        NoticeDisseminator notices = new NoticeDisseminator(() -> 0, notice -> {});
        notices.publish(
                Notice.Kind.LEAVING_UPSTREAM, "engine-1", Duration.ofSeconds(10).toMillis());
        PeerMessenger messenger = new PeerMessenger(table, notices, () -> 0, transport, (delay, action) -> () -> {});

        messenger.broadcast(new PeerMessage.ProbeAck(1));

        assertEquals(1, encoded.size());
        assertEquals(OTHERS, receivers.stream().distinct().count());
        assertEquals(1, encoded.get(0).notices().size());
    }

    // Guards against a fleet that starts at once exchanging datagrams between all pairs of entries several times.
    @Test
    void acknowledgementOfAnIntroductionRequestPassesMembersOn() {
        MemberTable table = new MemberTable(member(0));
        for (int i = 1; i <= OTHERS; i++) {
            table.apply(member(i));
        }
        PeerMessenger messenger = messenger(table);
        Set<EntryId> introduced = new HashSet<>();

        for (int request = 0; request < 2; request++) {
            messenger.send(member(99).peerAddress(), new PeerMessage.ProbeAck(PeerMessage.Probe.INTRODUCTION));
            encoded.get(request).members().forEach(member -> introduced.add(member.id()));
        }

        assertEquals(OTHERS + 1, introduced.size());
    }

    @Test
    void introducedMembersAreKnownButNotPassedOn() {
        MemberTable introducer = new MemberTable(member(0));
        for (int i = 1; i <= OTHERS; i++) {
            introducer.apply(member(i));
        }
        messenger(introducer).send(member(99).peerAddress(), new PeerMessage.ProbeAck(PeerMessage.Probe.INTRODUCTION));
        MemberTable newcomer = new MemberTable(member(99));

        messenger(newcomer).applyPiggybacked(encoded.get(0));

        assertEquals(18, newcomer.usable().size());
        assertEquals(List.of(member(99)), newcomer.nextUpdates(30));
    }

    private PeerMessenger messenger(MemberTable table) {
        return new PeerMessenger(
                table, new NoticeDisseminator(() -> 0, notice -> {}), () -> 0, transport, (delay, action) -> () -> {});
    }

    private static Member member(int number) {
        HostPort address = new HostPort("10.0.0." + (number + 1), 7_000);
        return new Member(new EntryId("entry-" + number), 1, MemberState.ALIVE, address, address, "domain");
    }
}
