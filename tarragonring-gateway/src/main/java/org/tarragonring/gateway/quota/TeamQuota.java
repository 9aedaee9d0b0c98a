package org.tarragonring.gateway.quota;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.TeamName;
import org.tarragonring.log.LogEvent;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.policy.quota.EntryShare;
import org.tarragonring.policy.quota.QuotaBalance;
import org.tarragonring.policy.quota.QuotaLimit;
import org.tarragonring.policy.quota.QuotaSettings;
import org.tarragonring.policy.quota.TokenBucket;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/** The calls of one team at this entry that need tokens, and the requests for them. One request is open at a time. */
final class TeamQuota {

    /** A response takes 2 to 4 ms between failure domains; a small entry may be busy for some tens of milliseconds. */
    private static final Duration REPEAT_DELAY = Duration.ofMillis(60);

    /** After this time another entry coordinates the quota, if the one that does not respond has failed. */
    private static final long SILENT_RETRY_AFTER_MILLIS = 1_000;

    /** A shorter time would be little more than the way of the response and of the next request. */
    private static final long MIN_RETRY_AFTER_MILLIS = 50;

    private static final long LOG_INTERVAL_MILLIS = 1_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final TeamName team;
    private final QuotaPeers peers;
    private final EntryShare entryShare;
    private final QuotaMetrics metrics;
    private final MonotonicClock clock;
    private final Timers timers;
    private final QuotaBalance balance;
    private final Deque<QuotaReservation> waiting = new ArrayDeque<>();
    private Optional<QuotaBalance.Request> open = Optional.empty();
    private Timers.Task repetition = () -> {};
    private Optional<TokenBucket> reserve = Optional.empty();
    private QuotaLimit limit;
    private long refusedCalls;
    private long refusalLoggedMillis;
    private long silenceLoggedMillis;

    TeamQuota(
            TeamName team,
            QuotaLimit limit,
            QuotaBalance balance,
            QuotaPeers peers,
            EntryShare entryShare,
            QuotaMetrics metrics,
            MonotonicClock clock,
            Timers timers) {
        this.team = team;
        this.limit = limit;
        this.balance = balance;
        this.peers = peers;
        this.entryShare = entryShare;
        this.metrics = metrics;
        this.clock = clock;
        this.timers = timers;
        this.refusalLoggedMillis = clock.millis() - LOG_INTERVAL_MILLIS;
        this.silenceLoggedMillis = refusalLoggedMillis;
    }

    /** Returns the duty of the entry that coordinates the quota of a team. */
    static String duty(TeamName team) {
        return "quota-" + team;
    }

    /** Asks for the tokens of a call. */
    QuotaReservation reserve(long tokens) {
        QuotaReservation reservation = new QuotaReservation(tokens, giveBack(tokens, clock.millis()));
        waiting.add(reservation);
        if (open.isEmpty()) {
            request(true);
        }
        return reservation;
    }

    /** Sets another limit; tokens that were granted under a higher one are dropped at once. */
    void setLimit(QuotaLimit newLimit) {
        boolean isLowered = newLimit.ratePerSecond() < limit.ratePerSecond() || newLimit.burst() < limit.burst();
        if (isLowered || newLimit.countsTokens() != limit.countsTokens()) {
            balance.clear();
            reserve = Optional.empty();
        }
        limit = newLimit;
    }

    /** Handles the answer of the coordinator; one to another request than the open one is ignored. */
    void onGrant(PeerMessage.QuotaGrant grant) {
        if (open.isEmpty() || open.get().sequence() != grant.sequence()) {
            return;
        }
        QuotaBalance.Request request = open.get();
        open = Optional.empty();
        repetition.cancel();
        reserve = Optional.empty();
        balance.onAnswer(grant.grantedTokens());
        removeGivenUp();
        while (!waiting.isEmpty() && balance.trySpend(waiting.peek().tokens())) {
            grant(waiting.remove());
            removeGivenUp();
        }
        balance.closeGrant();
        boolean isDenied = grant.grantedTokens() < request.wanted();
        boolean isAskedForOneCall =
                !waiting.isEmpty() && request.wanted() <= waiting.peek().tokens();
        if (isDenied && isAskedForOneCall) {
            refuseWaiting(grant.retryAfterMillis());
        }
        if (!waiting.isEmpty()) {
            request(!isDenied);
        }
    }

    /** Returns unused tokens that no request of a call has returned. */
    void returnUnused() {
        if (open.isEmpty() && balance.hasUnused()) {
            send(balance.request(0));
        }
    }

    /** Ends the wait of all calls, as this entry stops. */
    void stop() {
        repetition.cancel();
        open = Optional.empty();
        refuseAll(SILENT_RETRY_AFTER_MILLIS);
    }

    private void request(boolean forAll) {
        long needed = forAll
                ? waiting.stream().mapToLong(QuotaReservation::tokens).reduce(0, TeamQuota::addWithoutOverflow)
                : waiting.peek().tokens();
        QuotaBalance.Request request = balance.request(needed);
        open = Optional.of(request);
        transmit(request);
    }

    /** Adds numbers of tokens, which callers choose freely. */
    private static long addWithoutOverflow(long one, long other) {
        return one > Long.MAX_VALUE - other ? Long.MAX_VALUE : one + other;
    }

    /** Sends the open request, and again until it is answered. The answer may arrive before this method returns. */
    private void transmit(QuotaBalance.Request request) {
        long remainingMillis = request.sentMillis() + QuotaSettings.MAX_WAIT.toMillis() - clock.millis();
        if (remainingMillis <= 0) {
            onSilence();
            return;
        }
        Duration delay = Duration.ofMillis(Math.min(remainingMillis, REPEAT_DELAY.toMillis()));
        repetition = timers.schedule(delay, () -> transmit(request));
        send(request);
    }

    private void send(QuotaBalance.Request request) {
        EntryId coordinator = peers.entryFor(duty(team));
        peers.send(
                coordinator,
                new PeerMessage.QuotaRequest(team, request.sequence(), request.wanted(), request.returned()));
    }

    /** Serves the waiting calls from the reserve of this entry, as the coordinator has not answered in time. */
    private void onSilence() {
        open = Optional.empty();
        if (clock.millis() - silenceLoggedMillis >= LOG_INTERVAL_MILLIS) {
            silenceLoggedMillis = clock.millis();
            LogEvent.QUOTA_COORDINATOR_SILENT.log(peers.entryFor(duty(team)), team);
        }
        TokenBucket bucket = reserve.orElseGet(() -> new TokenBucket(clock));
        bucket.setLimit(
                limit.ratePerSecond() / entryShare.registered(), Math.max(1, limit.burst() / entryShare.registered()));
        reserve = Optional.of(bucket);
        removeGivenUp();
        while (!waiting.isEmpty() && bucket.tryTake(waiting.peek().tokens(), 0)) {
            grant(waiting.remove());
            removeGivenUp();
        }
        refuseAll(SILENT_RETRY_AFTER_MILLIS);
    }

    private void grant(QuotaReservation reservation) {
        metrics.count(team, "granted", reservation.tokens());
        reservation.reserve();
    }

    /**
     * Refuses the first waiting call, and the others that need no less: the coordinator would refuse them, too. Each is
     * told to come back after the tokens of those before it have been added.
     */
    private void refuseWaiting(long retryAfterMillis) {
        long smallest = waiting.peek().tokens();
        List<QuotaReservation> refused = new ArrayList<>(waiting);
        refused.removeIf(reservation -> reservation.tokens() < smallest);
        waiting.removeAll(refused);
        double afterMillis = retryAfterMillis;
        for (QuotaReservation reservation : refused) {
            refuse(reservation, (long) afterMillis);
            afterMillis += reservation.tokens() / limit.ratePerSecond() * MILLIS_PER_SECOND;
        }
    }

    private void refuseAll(long retryAfterMillis) {
        List<QuotaReservation> refused = new ArrayList<>(waiting);
        waiting.clear();
        refused.forEach(reservation -> refuse(reservation, retryAfterMillis));
    }

    private void refuse(QuotaReservation reservation, long retryAfterMillis) {
        metrics.count(team, "refused", reservation.tokens());
        refusedCalls++;
        if (clock.millis() - refusalLoggedMillis >= LOG_INTERVAL_MILLIS) {
            LogEvent.TEAM_OVER_LIMIT.log(team, refusedCalls);
            refusalLoggedMillis = clock.millis();
            refusedCalls = 0;
        }
        reservation.refuse(Math.max(MIN_RETRY_AFTER_MILLIS, retryAfterMillis));
    }

    private void removeGivenUp() {
        waiting.removeIf(reservation -> !reservation.isPending());
    }

    private Runnable giveBack(long tokens, long spentMillis) {
        return () -> {
            if (balance.giveBack(tokens, spentMillis)) {
                metrics.count(team, "returned", tokens);
            }
        };
    }
}
