package org.tarragonring.peer;

import java.time.Duration;
import java.util.List;
import java.util.Map;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.RequestFingerprint;
import org.tarragonring.ids.SlotId;
import org.tarragonring.ids.SoftwareVersion;
import org.tarragonring.ids.StreamId;
import org.tarragonring.ids.TeamName;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.routing.Suspect;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Datagrams that were forged, corrupted or encoded with another key must be rejected before their content is used. */
class DatagramCodecTest {

    private static final HostPort ADDRESS = new HostPort("127.0.0.1", 7000);

    private final DatagramCodec codec = new DatagramCodec("key");

    @ParameterizedTest
    @MethodSource("messages")
    void decodedMessageEqualsEncodedMessage(PeerMessage message) {
        Datagram datagram = datagram(message);
        assertEquals(datagram, codec.decode(codec.encode(datagram)));
    }

    @Test
    void datagramOfAnotherKeyIsRejected() {
        byte[] bytes = new DatagramCodec("other").encode(datagram(new PeerMessage.Probe(1)));
        assertThrows(IllegalArgumentException.class, () -> codec.decode(bytes));
    }

    @Test
    void emptyKeyIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> new DatagramCodec(""));
    }

    @Test
    void tooLongDatagramIsNotEncoded() {
        PeerMessage part = new PeerMessage.BlobPart("x", 0, 9000, new byte[9000]);
        assertThrows(IllegalArgumentException.class, () -> codec.encode(datagram(part)));
    }

    @Property(tries = 500, seed = "9")
    void arbitraryBytesAreRejected(@ForAll @Size(max = 400) byte[] bytes) {
        assertThrows(IllegalArgumentException.class, () -> codec.decode(bytes));
    }

    @Property(tries = 300, seed = "10")
    void datagramWithAnyChangedByteIsRejected(@ForAll int position, @ForAll byte change) {
        byte[] bytes = codec.encode(datagram(new PeerMessage.Probe(77)));
        int index = Math.floorMod(position, bytes.length);
        bytes[index] ^= (byte) (change == 0 ? 1 : change);
        assertThrows(IllegalArgumentException.class, () -> codec.decode(bytes));
    }

    static List<PeerMessage> messages() {
        ModelName model = new ModelName("quote-tote");
        TeamName team = new TeamName("boutiques");
        PeerMessage.Replica replica = new PeerMessage.Replica(
                new SlotId("slot"), new UpstreamId("engine"), ADDRESS, false, Duration.ofMillis(1500));
        return List.of(
                new PeerMessage.Probe(1),
                new PeerMessage.ProbeAck(2),
                new PeerMessage.IndirectProbe(3, new EntryId("b"), ADDRESS),
                new PeerMessage.Demand(model, 4, 5, 6),
                new PeerMessage.Placement(model, 7, List.of(replica), "no room", Duration.ofSeconds(5)),
                new PeerMessage.BlobRequest("manifest", 1100),
                new PeerMessage.FailureReport(
                        List.of(
                                new PeerMessage.FailedRun(
                                        Suspect.ofRequest(new RequestFingerprint("0a1b")),
                                        new UpstreamId("engine"),
                                        8,
                                        9,
                                        0),
                                new PeerMessage.FailedRun(
                                        new Suspect(new RequestFingerprint("4e5f"), 2),
                                        new UpstreamId("engine"),
                                        8,
                                        9,
                                        10)),
                        List.of(new PeerMessage.Answered(new RequestFingerprint("2c3d"), 10))),
                new PeerMessage.StreamReport(
                        Map.of(new StreamId("c1"), new SoftwareVersion("v2")), List.of(new StreamId("c2"))),
                new PeerMessage.DemandReport(
                        List.of(),
                        List.of(new UpstreamId("engine")),
                        List.of(new PeerMessage.ReplicaTiming(new UpstreamId("engine"), 3, 1.5))),
                new PeerMessage.ReplicaLoadDigest(List.of(new PeerMessage.ReplicaLoad(-17, 4, 55))),
                new PeerMessage.QuotaRequest(team, 1, 9_190, 20),
                new PeerMessage.QuotaGrant(team, 1, 4_000, 250),
                new PeerMessage.TeamUseReport(List.of(new PeerMessage.TeamUse(team, 18_380, 2))),
                new PeerMessage.TeamShares(true, Map.of(team, 2.5)));
    }

    private static Datagram datagram(PeerMessage message) {
        Member member = new Member(new EntryId("a"), 3, MemberState.SUSPECT, ADDRESS, ADDRESS, "domain");
        Notice notice = new Notice(Notice.Kind.SUSPECT_REQUEST, "abc@slot", 1, 5000);
        return new Datagram(new EntryId("a"), ADDRESS, 12, message, List.of(member), List.of(notice));
    }
}
