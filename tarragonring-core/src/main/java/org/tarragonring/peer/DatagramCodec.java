package org.tarragonring.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;

import javax.crypto.Mac;

import org.apache.commons.codec.digest.HmacAlgorithms;
import org.apache.commons.codec.digest.HmacUtils;
import org.apache.thrift.TConfiguration;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.SlotId;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.peer.wire.WireBlobPart;
import org.tarragonring.peer.wire.WireBlobRequest;
import org.tarragonring.peer.wire.WireBody;
import org.tarragonring.peer.wire.WireDatagram;
import org.tarragonring.peer.wire.WireDemand;
import org.tarragonring.peer.wire.WireIndirectProbe;
import org.tarragonring.peer.wire.WireMember;
import org.tarragonring.peer.wire.WireNotice;
import org.tarragonring.peer.wire.WirePlacement;
import org.tarragonring.peer.wire.WireProbe;
import org.tarragonring.peer.wire.WireProbeAck;
import org.tarragonring.peer.wire.WireReplica;

/**
 * Encodes datagrams in Thrift's compact protocol, preceded by a truncated HMAC-SHA-256 tag. Decodes only datagrams that
 * have a valid tag, the supported protocol version and at most {@value #MAX_BYTES} bytes.
 *
 * @since 0.1.0
 */
public final class DatagramCodec {

    /** The only protocol version that this codec supports. */
    public static final int PROTOCOL_VERSION = 1;

    /** The maximum size of an encoded datagram, including the tag. */
    public static final int MAX_BYTES = 8192;

    private static final int TAG_BYTES = 16;
    private static final int MAX_MEMBERS = 64;
    private static final MemberState[] MEMBER_STATES = MemberState.values();
    private static final Notice.Kind[] NOTICE_KINDS = Notice.Kind.values();

    /** An initialized instance for each thread, since creating one costs more than authenticating a datagram. */
    private final ThreadLocal<Mac> macs;

    /**
     * Creates a codec.
     *
     * @param key the secret key that all entries share, not null or empty
     * @throws IllegalArgumentException if the key is empty
     */
    public DatagramCodec(String key) {
        if (Objects.requireNonNull(key, "key").isEmpty()) {
            throw new IllegalArgumentException("peer key must not be empty");
        }
        byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        this.macs = ThreadLocal.withInitial(() -> HmacUtils.getInitializedMac(HmacAlgorithms.HMAC_SHA_256, keyBytes));
    }

    /**
     * Encodes a datagram.
     *
     * @param datagram the datagram, not null
     * @return the encoded datagram, never null
     * @throws IllegalArgumentException if it cannot be encoded in {@value #MAX_BYTES} bytes
     */
    public byte[] encode(Datagram datagram) {
        byte[] body;
        try {
            body = new TSerializer(new TCompactProtocol.Factory()).serialize(toWire(datagram));
        } catch (TException e) {
            throw new IllegalArgumentException("datagram cannot be encoded", e);
        }
        if (body.length + TAG_BYTES > MAX_BYTES) {
            throw new IllegalArgumentException(
                    "datagram with a body of %d bytes and a tag of %d bytes exceeds the maximum of %d bytes"
                            .formatted(body.length, TAG_BYTES, MAX_BYTES));
        }
        return ByteBuffer.allocate(TAG_BYTES + body.length)
                .put(computeTag(body))
                .put(body)
                .array();
    }

    /**
     * Decodes a datagram.
     *
     * @param bytes the encoded datagram, not null
     * @return the datagram, never null
     * @throws IllegalArgumentException if it is too short, too long or malformed, if its tag was not computed with the
     *     key of this codec, or if its protocol version is not supported
     */
    public Datagram decode(byte[] bytes) {
        if (bytes.length <= TAG_BYTES || bytes.length > MAX_BYTES) {
            throw new IllegalArgumentException("datagram has %d bytes, expected more than %d and at most %d"
                    .formatted(bytes.length, TAG_BYTES, MAX_BYTES));
        }
        byte[] body = Arrays.copyOfRange(bytes, TAG_BYTES, bytes.length);
        if (!MessageDigest.isEqual(computeTag(body), Arrays.copyOf(bytes, TAG_BYTES))) {
            throw new IllegalArgumentException("authentication tag does not match the datagram body");
        }
        WireDatagram wire = new WireDatagram();
        try {
            TConfiguration limits = new TConfiguration(MAX_BYTES, MAX_BYTES, TConfiguration.DEFAULT_RECURSION_DEPTH);
            wire.read(new TCompactProtocol(new TMemoryInputTransport(limits, body)));
        } catch (TException e) {
            throw new IllegalArgumentException("datagram is malformed", e);
        }
        if (wire.getProtocolVersion() != PROTOCOL_VERSION) {
            throw new IllegalArgumentException("protocol version %d is not supported, expected %d"
                    .formatted(wire.getProtocolVersion(), PROTOCOL_VERSION));
        }
        return fromWire(wire);
    }

    private byte[] computeTag(byte[] body) {
        byte[] full = macs.get().doFinal(body);
        return Arrays.copyOf(full, TAG_BYTES);
    }

    private static WireDatagram toWire(Datagram datagram) {
        WireDatagram wire = new WireDatagram(
                PROTOCOL_VERSION,
                datagram.from().value(),
                datagram.fromAddress().toString(),
                datagram.configGeneration(),
                toWire(datagram.message()));
        if (!datagram.members().isEmpty()) {
            wire.setMembers(
                    datagram.members().stream().map(DatagramCodec::toWire).toList());
        }
        if (!datagram.notices().isEmpty()) {
            wire.setNotices(datagram.notices().stream()
                    .map(n -> new WireNotice(n.kind().ordinal(), n.subject(), n.sequence(), n.remainingMillis()))
                    .toList());
        }
        return wire;
    }

    private static WireMember toWire(Member member) {
        return new WireMember(
                member.id().value(),
                member.incarnation(),
                member.state().ordinal(),
                member.peerAddress().toString(),
                member.callerAddress().toString(),
                member.failureDomain());
    }

    private static WireBody toWire(PeerMessage message) {
        if (message instanceof PeerMessage.Probe probe) {
            return WireBody.probe(new WireProbe(probe.sequence()));
        }
        if (message instanceof PeerMessage.ProbeAck ack) {
            return WireBody.probeAck(new WireProbeAck(ack.sequence()));
        }
        if (message instanceof PeerMessage.IndirectProbe probe) {
            return WireBody.indirectProbe(new WireIndirectProbe(
                    probe.sequence(),
                    probe.target().value(),
                    probe.targetAddress().toString()));
        }
        if (message instanceof PeerMessage.Demand demand) {
            return WireBody.demand(
                    new WireDemand(demand.model().value(), demand.queued(), demand.inFlight(), demand.arrivals()));
        }
        if (message instanceof PeerMessage.Placement placement) {
            return WireBody.placement(toWire(placement));
        }
        if (message instanceof PeerMessage.BlobRequest request) {
            return WireBody.blobRequest(new WireBlobRequest(request.name(), request.offset()));
        }
        if (message instanceof PeerMessage.BlobPart part) {
            return WireBody.blobPart(
                    new WireBlobPart(part.name(), part.offset(), part.totalBytes(), ByteBuffer.wrap(part.content())));
        }
        return GatewayMessageCodec.toWire(message);
    }

    private static WirePlacement toWire(PeerMessage.Placement placement) {
        List<WireReplica> replicas = placement.replicas().stream()
                .map(r -> new WireReplica(
                        r.slot().value(),
                        r.upstream().value(),
                        r.address().toString(),
                        r.loaded(),
                        r.eta().toMillis()))
                .toList();
        WirePlacement wire = new WirePlacement(placement.model().value(), placement.recordVersion(), replicas);
        if (placement.refusal() != null) {
            wire.setRefusal(placement.refusal());
            wire.setRetryAfterMillis(placement.retryAfter().toMillis());
        }
        return wire;
    }

    private static Datagram fromWire(WireDatagram wire) {
        List<WireMember> members = wire.isSetMembers() ? wire.getMembers() : List.of();
        if (members.size() > MAX_MEMBERS) {
            throw new IllegalArgumentException(
                    "datagram has %d members, expected at most %d".formatted(members.size(), MAX_MEMBERS));
        }
        List<WireNotice> notices = wire.isSetNotices() ? wire.getNotices() : List.of();
        return new Datagram(
                new EntryId(wire.getFromId()),
                HostPort.parse(wire.getFromAddress()),
                wire.getConfigGeneration(),
                fromWire(wire.getBody()),
                members.stream().map(DatagramCodec::fromWire).toList(),
                notices.stream().map(DatagramCodec::fromWire).toList());
    }

    private static Notice fromWire(WireNotice notice) {
        return new Notice(
                enumConstant(NOTICE_KINDS, notice.getKind()),
                notice.getSubject(),
                notice.getSequence(),
                notice.getRemainingMillis());
    }

    private static Member fromWire(WireMember member) {
        return new Member(
                new EntryId(member.getEntryId()),
                member.getIncarnation(),
                enumConstant(MEMBER_STATES, member.getState()),
                HostPort.parse(member.getPeerAddress()),
                HostPort.parse(member.getCallerAddress()),
                member.getFailureDomain());
    }

    private static PeerMessage fromWire(WireBody body) {
        return switch (body.getSetField()) {
            case PROBE -> new PeerMessage.Probe(body.getProbe().getSequence());
            case PROBE_ACK -> new PeerMessage.ProbeAck(body.getProbeAck().getSequence());
            case INDIRECT_PROBE ->
                new PeerMessage.IndirectProbe(
                        body.getIndirectProbe().getSequence(),
                        new EntryId(body.getIndirectProbe().getTargetId()),
                        HostPort.parse(body.getIndirectProbe().getTargetAddress()));
            case DEMAND ->
                new PeerMessage.Demand(
                        new ModelName(body.getDemand().getModel()),
                        body.getDemand().getQueued(),
                        body.getDemand().getInFlight(),
                        body.getDemand().getArrivals());
            case PLACEMENT -> fromWire(body.getPlacement());
            case BLOB_REQUEST ->
                new PeerMessage.BlobRequest(
                        body.getBlobRequest().getName(), body.getBlobRequest().getOffset());
            case BLOB_PART ->
                new PeerMessage.BlobPart(
                        body.getBlobPart().getName(),
                        body.getBlobPart().getOffset(),
                        body.getBlobPart().getTotalBytes(),
                        body.getBlobPart().getContent());
            default -> GatewayMessageCodec.fromWire(body);
        };
    }

    private static PeerMessage fromWire(WirePlacement wire) {
        List<PeerMessage.Replica> replicas = wire.getReplicas().stream()
                .map(r -> new PeerMessage.Replica(
                        new SlotId(r.getSlot()),
                        new UpstreamId(r.getUpstream()),
                        HostPort.parse(r.getAddress()),
                        r.isLoaded(),
                        Duration.ofMillis(r.getEtaMillis())))
                .toList();
        return new PeerMessage.Placement(
                new ModelName(wire.getModel()),
                wire.getRecordVersion(),
                replicas,
                wire.getRefusal(),
                Duration.ofMillis(wire.getRetryAfterMillis()));
    }

    private static <T> T enumConstant(T[] constants, int ordinal) {
        if (ordinal < 0 || ordinal >= constants.length) {
            throw new IllegalArgumentException(
                    "enum ordinal %d is not valid for an enum with %d constants".formatted(ordinal, constants.length));
        }
        return constants[ordinal];
    }
}
