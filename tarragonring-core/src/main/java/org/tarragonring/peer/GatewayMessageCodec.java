package org.tarragonring.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.RequestFingerprint;
import org.tarragonring.ids.SoftwareVersion;
import org.tarragonring.ids.StreamId;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.peer.wire.WireAuthorityNotice;
import org.tarragonring.peer.wire.WireBegunStream;
import org.tarragonring.peer.wire.WireBody;
import org.tarragonring.peer.wire.WireDemandReport;
import org.tarragonring.peer.wire.WireFailedRun;
import org.tarragonring.peer.wire.WireFailureReport;
import org.tarragonring.peer.wire.WireLoadRequest;
import org.tarragonring.peer.wire.WireReplicaLeaving;
import org.tarragonring.peer.wire.WireReplicaNotice;
import org.tarragonring.peer.wire.WireResident;
import org.tarragonring.peer.wire.WireStreamReport;
import org.tarragonring.peer.wire.WireWeightDemand;
import org.tarragonring.routing.Suspect;

/**
 * Converts the messages of the gateway: demand reports, load requests, replica notices, authority notices, failure
 * reports, stream reports and notices of replicas that are about to shut down.
 */
final class GatewayMessageCodec {

    private GatewayMessageCodec() {}

    static WireBody toWire(PeerMessage message) {
        if (message instanceof PeerMessage.DemandReport report) {
            WireDemandReport wire = new WireDemandReport(
                    report.demands().stream().map(GatewayMessageCodec::toWire).toList());
            if (!report.unreachable().isEmpty()) {
                wire.setUnreachable(
                        report.unreachable().stream().map(UpstreamId::value).toList());
            }
            return WireBody.demandReport(wire);
        }
        if (message instanceof PeerMessage.LoadRequest request) {
            return WireBody.loadRequest(new WireLoadRequest(
                    request.replica().value(),
                    request.model().value(),
                    request.adapter(),
                    request.evict().stream().map(ModelName::value).toList()));
        }
        if (message instanceof PeerMessage.ReplicaNotice notice) {
            List<WireResident> residents = notice.residents().entrySet().stream()
                    .map(e -> new WireResident(e.getKey().value(), List.copyOf(e.getValue())))
                    .toList();
            WireReplicaNotice wire = new WireReplicaNotice(
                    notice.replica().value(),
                    notice.bornMillis(),
                    notice.sequence(),
                    residents,
                    notice.loading().map(ModelName::value).orElse(""),
                    notice.loadingMillis());
            notice.software().ifPresent(software -> wire.setSoftwareVersion(software.value()));
            return WireBody.replicaNotice(wire);
        }
        if (message instanceof PeerMessage.ReplicaLeaving leaving) {
            return WireBody.replicaLeaving(
                    new WireReplicaLeaving(leaving.replica().value(), leaving.bornMillis()));
        }
        if (message instanceof PeerMessage.AuthorityNotice notice) {
            WireAuthorityNotice wire = new WireAuthorityNotice(notice.groups());
            if (notice.withoutStore()) {
                wire.setWithoutStore(true);
            }
            return WireBody.authorityNotice(wire);
        }
        if (message instanceof PeerMessage.FailureReport report) {
            return WireBody.failureReport(toWire(report));
        }
        if (message instanceof PeerMessage.StreamReport report) {
            return WireBody.streamReport(new WireStreamReport(
                    report.begun().entrySet().stream()
                            .map(stream -> new WireBegunStream(
                                    stream.getKey().value(), stream.getValue().value()))
                            .toList(),
                    report.asked().stream().map(StreamId::value).toList()));
        }
        throw new IllegalArgumentException("no wire format is defined for message %s".formatted(message));
    }

    static PeerMessage fromWire(WireBody body) {
        return switch (body.getSetField()) {
            case DEMAND_REPORT -> fromWire(body.getDemandReport());
            case LOAD_REQUEST -> {
                WireLoadRequest request = body.getLoadRequest();
                yield new PeerMessage.LoadRequest(
                        new UpstreamId(request.getReplica()),
                        new ModelName(request.getModel()),
                        request.getAdapter(),
                        request.getEvict().stream().map(ModelName::new).toList());
            }
            case REPLICA_NOTICE -> fromWire(body.getReplicaNotice());
            case REPLICA_LEAVING ->
                new PeerMessage.ReplicaLeaving(
                        new UpstreamId(body.getReplicaLeaving().getReplica()),
                        body.getReplicaLeaving().getBornMillis());
            case AUTHORITY_NOTICE ->
                new PeerMessage.AuthorityNotice(
                        body.getAuthorityNotice().getGroups(),
                        body.getAuthorityNotice().isWithoutStore());
            case FAILURE_REPORT -> fromWire(body.getFailureReport());
            case STREAM_REPORT -> fromWire(body.getStreamReport());
            default ->
                throw new IllegalArgumentException("message type %s is not supported".formatted(body.getSetField()));
        };
    }

    private static WireFailureReport toWire(PeerMessage.FailureReport report) {
        WireFailureReport wire = new WireFailureReport(
                report.runs().stream().map(GatewayMessageCodec::toWire).toList(),
                report.answered().stream()
                        .map(answered -> answered.suspect().value())
                        .toList());
        wire.setAnsweredAgoMillis(
                report.answered().stream().map(PeerMessage.Answered::agoMillis).toList());
        return wire;
    }

    private static PeerMessage.FailureReport fromWire(WireFailureReport wire) {
        List<Long> agoMillis = wire.isSetAnsweredAgoMillis() ? wire.getAnsweredAgoMillis() : List.of();
        List<PeerMessage.Answered> answered = new ArrayList<>();
        for (int i = 0; i < wire.getAnsweredSize(); i++) {
            answered.add(new PeerMessage.Answered(
                    new RequestFingerprint(wire.getAnswered().get(i)), i < agoMillis.size() ? agoMillis.get(i) : 0));
        }
        return new PeerMessage.FailureReport(
                wire.getRuns().stream().map(GatewayMessageCodec::fromWire).toList(), answered);
    }

    private static PeerMessage.StreamReport fromWire(WireStreamReport wire) {
        Map<StreamId, SoftwareVersion> begun = new HashMap<>();
        for (WireBegunStream stream : wire.getBegun()) {
            begun.put(new StreamId(stream.getCallId()), new SoftwareVersion(stream.getSoftwareVersion()));
        }
        return new PeerMessage.StreamReport(
                begun, wire.getAsked().stream().map(StreamId::new).toList());
    }

    private static WireFailedRun toWire(PeerMessage.FailedRun run) {
        WireFailedRun wire = new WireFailedRun(
                run.suspect().fingerprint().value(), run.replica().value(), run.ranMillis(), run.agoMillis());
        if (run.suspect().isPromptPart()) {
            wire.setPromptPart(run.suspect().promptPart());
        }
        if (run.failureId() != 0) {
            wire.setFailureId(run.failureId());
        }
        return wire;
    }

    private static PeerMessage.FailedRun fromWire(WireFailedRun wire) {
        return new PeerMessage.FailedRun(
                new Suspect(
                        new RequestFingerprint(wire.getRequest()), wire.isSetPromptPart() ? wire.getPromptPart() : 0),
                new UpstreamId(wire.getReplica()),
                wire.getRanMillis(),
                wire.getAgoMillis(),
                wire.getFailureId());
    }

    private static WireWeightDemand toWire(PeerMessage.WeightDemand demand) {
        return new WireWeightDemand(
                demand.service(),
                demand.model().value(),
                demand.replica().map(UpstreamId::value).orElse(""),
                demand.waiting(),
                demand.running(),
                demand.arrivals(),
                demand.slackMillis());
    }

    private static PeerMessage.DemandReport fromWire(WireDemandReport wire) {
        List<String> unreachable = wire.isSetUnreachable() ? wire.getUnreachable() : List.of();
        return new PeerMessage.DemandReport(
                wire.getDemands().stream().map(GatewayMessageCodec::fromWire).toList(),
                unreachable.stream().map(UpstreamId::new).toList());
    }

    private static PeerMessage.WeightDemand fromWire(WireWeightDemand wire) {
        return new PeerMessage.WeightDemand(
                wire.getServiceName(),
                new ModelName(wire.getModel()),
                wire.getReplica().isEmpty() ? Optional.empty() : Optional.of(new UpstreamId(wire.getReplica())),
                wire.getWaiting(),
                wire.getRunning(),
                wire.getArrivals(),
                wire.getSlackMillis());
    }

    private static PeerMessage.ReplicaNotice fromWire(WireReplicaNotice wire) {
        Map<ModelName, Set<String>> residents = new HashMap<>();
        for (WireResident resident : wire.getResidents()) {
            residents.put(new ModelName(resident.getModel()), new HashSet<>(resident.getAdapters()));
        }
        return new PeerMessage.ReplicaNotice(
                new UpstreamId(wire.getReplica()),
                wire.getBornMillis(),
                Optional.ofNullable(wire.getSoftwareVersion()).map(SoftwareVersion::new),
                wire.getSequence(),
                residents,
                wire.getLoading().isEmpty() ? Optional.empty() : Optional.of(new ModelName(wire.getLoading())),
                wire.getLoadingMillis());
    }
}
