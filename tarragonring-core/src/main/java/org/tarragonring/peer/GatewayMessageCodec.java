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
import org.tarragonring.ids.TeamName;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.peer.wire.WireAuthorityNotice;
import org.tarragonring.peer.wire.WireBegunStream;
import org.tarragonring.peer.wire.WireBody;
import org.tarragonring.peer.wire.WireDemandReport;
import org.tarragonring.peer.wire.WireFailedRun;
import org.tarragonring.peer.wire.WireFailureReport;
import org.tarragonring.peer.wire.WireLoadRequest;
import org.tarragonring.peer.wire.WireQuotaGrant;
import org.tarragonring.peer.wire.WireQuotaRequest;
import org.tarragonring.peer.wire.WireReplicaLeaving;
import org.tarragonring.peer.wire.WireReplicaLoad;
import org.tarragonring.peer.wire.WireReplicaLoadDigest;
import org.tarragonring.peer.wire.WireReplicaNotice;
import org.tarragonring.peer.wire.WireReplicaTiming;
import org.tarragonring.peer.wire.WireResident;
import org.tarragonring.peer.wire.WireStreamReport;
import org.tarragonring.peer.wire.WireTeamExcess;
import org.tarragonring.peer.wire.WireTeamShares;
import org.tarragonring.peer.wire.WireTeamUse;
import org.tarragonring.peer.wire.WireTeamUseReport;
import org.tarragonring.peer.wire.WireWeightDemand;
import org.tarragonring.routing.Suspect;

/**
 * Converts the messages of the gateway: demand reports, load requests, replica notices, authority notices, failure
 * reports, stream reports, notices of replicas that are about to shut down, and the messages by which entries share
 * quotas, the room for calls and the load of replicas.
 */
final class GatewayMessageCodec {

    private GatewayMessageCodec() {}

    static WireBody toWire(PeerMessage message) {
        if (message instanceof PeerMessage.DemandReport report) {
            return WireBody.demandReport(toWire(report));
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
        return sharedLoadToWire(message);
    }

    /** Converts the messages by which entries share quotas, the room for calls and the load of replicas. */
    private static WireBody sharedLoadToWire(PeerMessage message) {
        if (message instanceof PeerMessage.ReplicaLoadDigest digest) {
            return WireBody.replicaLoadDigest(new WireReplicaLoadDigest(digest.loads().stream()
                    .map(load -> new WireReplicaLoad(load.replicaHash(), load.inFlight(), load.speedPercent()))
                    .toList()));
        }
        if (message instanceof PeerMessage.QuotaRequest request) {
            return WireBody.quotaRequest(new WireQuotaRequest(
                    request.team().value(), request.sequence(), request.wantedTokens(), request.returnedTokens()));
        }
        if (message instanceof PeerMessage.QuotaGrant grant) {
            return WireBody.quotaGrant(new WireQuotaGrant(
                    grant.team().value(), grant.sequence(), grant.grantedTokens(), grant.retryAfterMillis()));
        }
        if (message instanceof PeerMessage.TeamUseReport report) {
            return WireBody.teamUseReport(new WireTeamUseReport(report.uses().stream()
                    .map(use -> new WireTeamUse(use.team().value(), use.admittedTokens(), use.refusedCalls()))
                    .toList()));
        }
        if (message instanceof PeerMessage.TeamShares shares) {
            return WireBody.teamShares(new WireTeamShares(
                    shares.shortage(),
                    shares.aboveShare().entrySet().stream()
                            .map(share -> new WireTeamExcess(share.getKey().value(), share.getValue()))
                            .toList()));
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
            case REPLICA_LOAD_DIGEST ->
                new PeerMessage.ReplicaLoadDigest(body.getReplicaLoadDigest().getLoads().stream()
                        .map(load -> new PeerMessage.ReplicaLoad(
                                load.getReplicaHash(), load.getInFlight(), load.getSpeedPercent()))
                        .toList());
            case QUOTA_REQUEST -> {
                WireQuotaRequest request = body.getQuotaRequest();
                yield new PeerMessage.QuotaRequest(
                        new TeamName(request.getTeam()),
                        request.getSequence(),
                        request.getWantedTokens(),
                        request.getReturnedTokens());
            }
            case QUOTA_GRANT -> {
                WireQuotaGrant grant = body.getQuotaGrant();
                yield new PeerMessage.QuotaGrant(
                        new TeamName(grant.getTeam()),
                        grant.getSequence(),
                        grant.getGrantedTokens(),
                        grant.getRetryAfterMillis());
            }
            case TEAM_USE_REPORT ->
                new PeerMessage.TeamUseReport(body.getTeamUseReport().getUses().stream()
                        .map(use -> new PeerMessage.TeamUse(
                                new TeamName(use.getTeam()), use.getAdmittedTokens(), use.getRefusedCalls()))
                        .toList());
            case TEAM_SHARES -> fromWire(body.getTeamShares());
            default ->
                throw new IllegalArgumentException("message type %s is not supported".formatted(body.getSetField()));
        };
    }

    private static WireDemandReport toWire(PeerMessage.DemandReport report) {
        WireDemandReport wire = new WireDemandReport(
                report.demands().stream().map(GatewayMessageCodec::toWire).toList());
        if (!report.unreachable().isEmpty()) {
            wire.setUnreachable(
                    report.unreachable().stream().map(UpstreamId::value).toList());
        }
        if (!report.timings().isEmpty()) {
            wire.setTimings(report.timings().stream()
                    .map(timing -> new WireReplicaTiming(timing.replica().value(), timing.samples(), timing.ratio()))
                    .toList());
        }
        return wire;
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
        List<WireReplicaTiming> timings = wire.isSetTimings() ? wire.getTimings() : List.of();
        return new PeerMessage.DemandReport(
                wire.getDemands().stream().map(GatewayMessageCodec::fromWire).toList(),
                unreachable.stream().map(UpstreamId::new).toList(),
                timings.stream()
                        .map(timing -> new PeerMessage.ReplicaTiming(
                                new UpstreamId(timing.getReplica()), timing.getSamples(), timing.getRatio()))
                        .toList());
    }

    private static PeerMessage.TeamShares fromWire(WireTeamShares wire) {
        Map<TeamName, Double> aboveShare = new HashMap<>();
        wire.getAboveShare().forEach(share -> aboveShare.put(new TeamName(share.getTeam()), share.getFactor()));
        return new PeerMessage.TeamShares(wire.isShortage(), aboveShare);
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
