package org.tarragonring.gateway.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpServerRequest;
import org.tarragonring.gateway.call.CallHead;
import org.tarragonring.gateway.call.CallerIdentity;
import org.tarragonring.gateway.call.TokenCount;
import org.tarragonring.gateway.call.WeightKey;
import org.tarragonring.gateway.fairness.FairCall;
import org.tarragonring.gateway.quota.QuotaReservation;
import org.tarragonring.gateway.routing.AttemptTiming;
import org.tarragonring.ids.RequestFingerprint;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.SoftwareVersion;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.policy.config.Route;
import org.tarragonring.policy.config.RouteKind;
import org.tarragonring.policy.replica.ReplicaProcess;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.policy.routing.CallProfile;
import org.tarragonring.policy.team.Team;
import org.tarragonring.routing.Suspect;

/** The state of one call from its arrival to its end, over all attempts. Not thread-safe. */
final class Exchange {

    /** The first backoff delay for a call that every replica rejected; it doubles with each further delay. */
    private static final long MIN_BACKOFF_MILLIS = 40;

    /** The longest backoff delay. A replica rejects calls while it executes an order, which takes at most seconds. */
    private static final long MAX_BACKOFF_MILLIS = 640;

    final HttpServerRequest request;
    final CallHead head;
    final Route route;
    final ServiceName service;
    final Optional<WeightKey> weights;
    /** Whether the configuration has teams, so that neither keys nor team names of callers are passed on. */
    final boolean teamsConfigured;
    /** The team that holds the caller's key, empty for an anonymous call or if the configuration has no teams. */
    final Optional<Team> team;
    /** What decides about the call when capacity is insufficient, empty if the configuration has no teams. */
    final Optional<FairCall> fairCall;

    final Buffer body;
    /** The memory of the body, to be released when the call ends. */
    private final MemoryBudget.Reservation memory;

    /** The tokens of the call's team, to be given back if the call ends without having been sent to a replica. */
    private final QuotaReservation quota;

    final long arrivalMillis;
    /** The time at which the whole call times out, on the monotonic clock. */
    final long deadlineMillis;
    /** The time at which the caller times out unless a part of the response has arrived, on the monotonic clock. */
    final long firstEventDeadlineMillis;

    /** Replicas that rejected or failed an attempt or refused its connection; cleared when no other replica is left. */
    final Set<UpstreamId> failedReplicas = new HashSet<>();

    final EventFramer framer = new EventFramer();
    private RequestFingerprint fingerprint;
    private List<Suspect> promptParts;
    private CallProfile profile;
    /** The requests to replicas that have not ended; more than one while a slow call has a second attempt. */
    final Set<HttpClientRequest> activeRequests = new HashSet<>();

    /** The replica of the second attempt that was sent while the first one still ran; empty if there is none. */
    Optional<UpstreamId> hedgeReplica = Optional.empty();

    ReplicaState replica;
    Runnable cancelTimeout = () -> {};
    /** The number of the newest attempt, counted from 1; 0 before the first. */
    int attemptNumber;
    /** The number of attempts that ran or may have run on a replica. */
    int possibleRuns;

    int rejections;
    /** The number of backoff delays so far; stops counting at the longest delay. */
    private int backoffs;
    /** Whether the request is quarantined and may run once, to find out whether it still makes replicas fail. */
    boolean quarantineTrial;
    /** Whether an attempt has reached a replica, so that the next attempt counts against the retry budget. */
    boolean reachedReplica;

    /** The version of the software that began the stream, which no other version can continue; empty if not known. */
    Optional<SoftwareVersion> software = Optional.empty();

    /** The process that sent the first event of the response; empty before. */
    private Optional<ReplicaProcess> beginner = Optional.empty();

    /** Whether the streams of the call's slot were to be moved to a version with fewer calls. */
    boolean slotMoveTried;

    boolean loadCheckScheduled;
    /** Whether a part of the response was already forwarded to the caller. */
    boolean responseStarted;

    /** Whether that part belongs to a body, which no other replica can continue. */
    boolean bodyStarted;

    boolean finished;

    Exchange(
            HttpServerRequest request,
            CallHead head,
            Route route,
            ServiceName service,
            boolean teamsConfigured,
            Optional<Team> team,
            Buffer body,
            MemoryBudget.Reservation memory,
            QuotaReservation quota,
            long arrivalMillis,
            long deadlineMillis,
            long firstEventDeadlineMillis) {
        this.request = request;
        this.head = head;
        this.route = route;
        this.service = service;
        this.teamsConfigured = teamsConfigured;
        this.team = team;
        this.weights = head.model().map(model -> new WeightKey(service, model, head.adapter()));
        this.body = body;
        this.memory = memory;
        this.quota = quota;
        this.arrivalMillis = arrivalMillis;
        this.deadlineMillis = deadlineMillis;
        this.firstEventDeadlineMillis = firstEventDeadlineMillis;
        this.fairCall = teamsConfigured
                ? Optional.of(
                        new FairCall(team, route, service, weights, head.tokenCount(), arrivalMillis, deadlineMillis))
                : Optional.empty();
    }

    /** Returns what the replicas are told about the caller. */
    CallerIdentity callerIdentity() {
        return teamsConfigured ? new CallerIdentity(true, team.map(Team::name)) : CallerIdentity.WITHOUT_TEAMS;
    }

    /** Releases what the call holds, when it has ended. */
    void release() {
        memory.release();
        if (!reachedReplica) {
            quota.giveBack();
        }
    }

    /** Returns the fingerprint of the request. Computes it on first use, as most calls never need it. */
    RequestFingerprint fingerprint() {
        if (fingerprint == null) {
            String host = request.authority() == null ? "" : request.authority().host();
            fingerprint = RequestFingerprint.of(request.method().name(), host, request.uri(), body.getBytes());
        }
        return fingerprint;
    }

    /** Ends all requests to replicas but one, as its response is forwarded to the caller. */
    void endOthers(HttpClientRequest kept) {
        for (HttpClientRequest other : List.copyOf(activeRequests)) {
            if (other != kept) {
                activeRequests.remove(other);
                other.connection().close();
            }
        }
    }

    /** Returns the delay after which a call that every replica rejected is sent again. */
    Duration nextBackoff() {
        long delayMillis = MIN_BACKOFF_MILLIS << backoffs;
        if (delayMillis >= MAX_BACKOFF_MILLIS) {
            return Duration.ofMillis(MAX_BACKOFF_MILLIS);
        }
        backoffs++;
        return Duration.ofMillis(delayMillis);
    }

    /** Records the process that sends the first event of the response. */
    void begunBy(ReplicaProcess process) {
        beginner = Optional.of(process);
        software = software.or(process::software);
    }

    /** Returns whether the caller has got a part of the stream, in this call or in an earlier one. */
    boolean hasBegun() {
        return beginner.isPresent() || software.isPresent();
    }

    /** Returns whether a replica can continue the stream, if it has begun: at its software, or in the same process. */
    boolean isContinuedBy(ReplicaState candidate) {
        boolean isSameProcess = beginner.map(candidate.process()::isSameAs).orElse(false);
        boolean isSameSoftware =
                software.isPresent() && software.equals(candidate.process().software());
        return !hasBegun() || isSameProcess || isSameSoftware;
    }

    /** Returns the parts of the prompt that other requests may have, too. */
    List<Suspect> promptParts() {
        if (promptParts == null) {
            promptParts = Suspect.ofParts(head.sharedPromptParts());
        }
        return promptParts;
    }

    /** Returns what may be to blame if a replica fails while it runs the call: the request and parts of its prompt. */
    List<Suspect> suspects() {
        List<Suspect> suspects = new ArrayList<>();
        suspects.add(Suspect.ofRequest(fingerprint()));
        suspects.addAll(promptParts());
        return suspects;
    }

    /**
     * Returns the key by which calls with a common prompt prefix go to the same replica: model, adapter and the last
     * prompt part before the one of the call's own session. Empty if the call needs no model or names no prompt parts.
     */
    String affinityKey() {
        int parts = head.promptPrefixIds().size();
        if (weights.isEmpty() || parts == 0) {
            return "";
        }
        return promptKey(head.promptPrefixIds().get(Math.max(0, parts - 2)));
    }

    private String promptKey(String part) {
        return weights.orElseThrow().model() + "/" + weights.get().adapter() + "/" + part;
    }

    /** Returns what the choice among replicas of different speed takes into account. */
    CallProfile profile() {
        if (profile == null) {
            profile = new CallProfile(
                    route.name(),
                    weights.isPresent(),
                    head.tokenCount().map(TokenCount::promptTokens).orElse(0L),
                    head.tokenCount().map(TokenCount::maxOutputTokens).orElse(0L),
                    weights.isEmpty()
                            ? List.of()
                            : head.promptPrefixIds().stream()
                                    .map(this::promptKey)
                                    .toList(),
                    affinityKey(),
                    route.latencyObjective().toMillis());
        }
        return profile;
    }

    /** Returns what an attempt shows of the speed of its replica. */
    AttemptTiming.Kind timingKind() {
        if (weights.isEmpty()) {
            return AttemptTiming.Kind.PLAIN;
        }
        return route.kind() == RouteKind.STREAM ? AttemptTiming.Kind.MODEL_STREAM : AttemptTiming.Kind.MODEL_BODY;
    }
}
