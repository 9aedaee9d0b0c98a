package org.tarragonring.gateway.quota;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

import org.tarragonring.entry.Clocks;
import org.tarragonring.gateway.GatewaySettings;
import org.tarragonring.gateway.call.TokenCount;
import org.tarragonring.gateway.mesh.Mesh;
import org.tarragonring.gateway.metrics.GatewayMetrics;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.TeamName;
import org.tarragonring.log.LogEvent;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.policy.config.ServingConfig;
import org.tarragonring.policy.quota.EntryShare;
import org.tarragonring.policy.quota.QuotaAccount;
import org.tarragonring.policy.quota.QuotaBalance;
import org.tarragonring.policy.quota.QuotaLimit;
import org.tarragonring.policy.quota.QuotaSettings;
import org.tarragonring.policy.team.Team;
import org.tarragonring.policy.team.TeamDirectory;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * Holds the limits of teams together with the other entries: reserves tokens for the calls of this entry, and grants
 * tokens of the teams whose quotas this entry coordinates.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class QuotaService {

    /** The interval in which unused tokens are returned, entries counted and accounts closed. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(250);

    /** The time in which an entry that joins learns of the others. */
    private static final Duration JOIN_TIME = Duration.ofSeconds(1);

    /** The part of the registered entries from which on an entry that joins knows the coordinators of most teams. */
    private static final double MIN_JOINED_SHARE = 0.5;

    /** The interval in which accounts are opened although the number of entries has not changed. */
    private static final Duration OPEN_INTERVAL = Duration.ofSeconds(2);

    /**
     * How long an account is kept that another entry coordinates now: until the others have noticed, in which a failed
     * entry is detected.
     */
    private static final Duration CLOSED_ACCOUNT_VALIDITY = Duration.ofSeconds(3);

    private final EntryId self;
    private final QuotaSettings settings;
    private final Supplier<Optional<ServingConfig>> config;
    private final QuotaPeers peers;
    private final QuotaMetrics metrics;
    private final MonotonicClock clock;
    private final Timers timers;
    private final EntryShare entryShare;
    private final long firstSequence;
    private final Map<TeamName, TeamQuota> quotas = new HashMap<>();
    private final Map<TeamName, CoordinatedAccount> accounts = new HashMap<>();
    private Optional<Long> listedMillis = Optional.empty();
    private Timers.Task checks = () -> {};
    private long openedMillis;
    private int openedAlive;

    /**
     * Creates a service that is connected to the mesh but not started.
     *
     * @param settings the settings of this entry, not null
     * @param config returns the configuration in force, not null
     * @param mesh the connection to the other entries, not null
     * @param metrics counts tokens, not null
     * @param clocks the monotonic clock, and the wall clock, by which requests are numbered higher than those of earlier
     *     processes of this entry; not null
     * @param timers schedules repetitions and checks, not null
     * @return the service, never null
     */
    public static QuotaService create(
            GatewaySettings settings,
            Supplier<Optional<ServingConfig>> config,
            Mesh mesh,
            GatewayMetrics metrics,
            Clocks clocks,
            Timers timers) {
        QuotaService service = new QuotaService(
                settings.id(),
                settings.quotas(),
                config,
                QuotaPeers.of(mesh),
                metrics,
                clocks.monotonic(),
                clocks.wall().millis(),
                timers);
        mesh.on(PeerMessage.QuotaRequest.class, service::onRequest);
        mesh.on(PeerMessage.QuotaGrant.class, (from, grant) -> service.onGrant(grant));
        mesh.onListed(service::onListed);
        return service;
    }

    QuotaService(
            EntryId self,
            QuotaSettings settings,
            Supplier<Optional<ServingConfig>> config,
            QuotaPeers peers,
            GatewayMetrics metrics,
            MonotonicClock clock,
            long firstSequence,
            Timers timers) {
        this.self = Objects.requireNonNull(self, "self");
        this.settings = Objects.requireNonNull(settings, "settings");
        this.config = Objects.requireNonNull(config, "config");
        this.peers = Objects.requireNonNull(peers, "peers");
        this.metrics = new QuotaMetrics(metrics);
        this.clock = Objects.requireNonNull(clock, "clock");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.firstSequence = firstSequence;
        this.openedMillis = clock.millis() - OPEN_INTERVAL.toMillis();
        this.entryShare = new EntryShare(clock);
    }

    /** Starts to return unused tokens, if limits are held at all. */
    public void start() {
        if (settings.isEnabled()) {
            check();
            checks = timers.scheduleWithFixedDelay(CHECK_INTERVAL, this::check);
        }
    }

    /** Stops; calls that wait for tokens are refused. */
    public void stop() {
        checks.cancel();
        quotas.values().forEach(TeamQuota::stop);
    }

    /**
     * Reserves the tokens of a call.
     *
     * @param team the team of the call, empty for an anonymous call; not null
     * @param tokenCount the size of the call, empty if it is not known; not null
     * @return the reservation, which is granted or refused now or within {@link QuotaSettings#MAX_WAIT}; never null
     */
    public QuotaReservation reserve(Optional<Team> team, Optional<TokenCount> tokenCount) {
        Optional<QuotaLimit> limit = settings.isEnabled() ? team.flatMap(Team::quota) : Optional.empty();
        if (limit.isEmpty()) {
            return QuotaReservation.unlimited();
        }
        TeamQuota quota = quotas.computeIfAbsent(team.get().name(), name -> createQuota(name, limit.get()));
        return quota.reserve(cost(limit.get(), tokenCount));
    }

    /** Applies a new configuration, at once and not only with the next call, so that a lowered limit holds. */
    public void onConfigChanged() {
        quotas.forEach((name, quota) -> limitOf(name).ifPresent(quota::setLimit));
        accounts.forEach(this::applyLimit);
        openedMillis = clock.millis() - OPEN_INTERVAL.toMillis();
    }

    private void applyLimit(TeamName team, CoordinatedAccount account) {
        if (!account.isClosed()) {
            limitOf(team).ifPresent(limit -> account.account.setLimit(limit, entryShare.share()));
        }
    }

    private static long cost(QuotaLimit limit, Optional<TokenCount> tokenCount) {
        if (!limit.countsTokens()) {
            return 1;
        }
        return tokenCount.map(TokenCount::total).orElse(limit.plainTokens());
    }

    private TeamQuota createQuota(TeamName team, QuotaLimit limit) {
        QuotaBalance balance = new QuotaBalance(firstSequence, clock);
        return new TeamQuota(team, limit, balance, peers, entryShare, metrics, clock, timers);
    }

    private Optional<QuotaLimit> limitOf(TeamName team) {
        return config.get()
                .flatMap(ServingConfig::teams)
                .flatMap(teams -> teams.find(team))
                .flatMap(Team::quota);
    }

    /** Records the number of registered entries, when this entry has joined. */
    void onListed(int count) {
        listedMillis = listedMillis.or(() -> Optional.of(clock.millis()));
        entryShare.onListed(count);
    }

    void onGrant(PeerMessage.QuotaGrant grant) {
        TeamQuota quota = quotas.get(grant.team());
        if (quota != null) {
            quota.onGrant(grant);
        }
    }

    /** Answers a request for tokens, unless another entry coordinates the quota or this one does not know the limit. */
    void onRequest(EntryId from, PeerMessage.QuotaRequest request) {
        Optional<QuotaLimit> limit = settings.isEnabled() ? limitOf(request.team()) : Optional.empty();
        if (limit.isEmpty()) {
            return;
        }
        entryShare.onAlive(peers.aliveCount());
        CoordinatedAccount account = accounts.get(request.team());
        boolean coordinates = coordinates(request.team());
        if (coordinates && (account == null || account.isClosed()) && !isJoining()) {
            account = open(request.team(), limit.get());
        }
        if (account == null) {
            return;
        }
        if (coordinates) {
            account.account.setLimit(limit.get(), entryShare.share());
        } else {
            close(request.team(), account);
        }
        QuotaAccount.Answer answer =
                account.account.onRequest(from, request.sequence(), request.wantedTokens(), request.returnedTokens());
        if (request.wantedTokens() > 0) {
            peers.send(
                    from,
                    new PeerMessage.QuotaGrant(
                            request.team(), request.sequence(), answer.granted(), answer.retryAfterMillis()));
        }
    }

    /**
     * Returns whether this entry has joined just now and does not know most of the others. It would take itself for the
     * coordinator of all teams, and grant its calls a small part of the limit.
     */
    private boolean isJoining() {
        return listedMillis.isEmpty()
                || clock.millis() - listedMillis.get() < JOIN_TIME.toMillis() && entryShare.share() < MIN_JOINED_SHARE;
    }

    private boolean coordinates(TeamName team) {
        return peers.entryFor(TeamQuota.duty(team)).equals(self);
    }

    private CoordinatedAccount open(TeamName team, QuotaLimit limit) {
        double share = entryShare.share();
        LogEvent.QUOTA_COORDINATED.log(self, team, true, share);
        CoordinatedAccount account = new CoordinatedAccount(new QuotaAccount(settings, limit, share, clock));
        accounts.put(team, account);
        return account;
    }

    private void close(TeamName team, CoordinatedAccount account) {
        if (!account.isClosed()) {
            LogEvent.QUOTA_COORDINATED.log(self, team, false, entryShare.share());
            account.account.close();
            account.closedMillis = Optional.of(clock.millis());
        }
    }

    /**
     * Opens the accounts of all teams whose quotas this entry coordinates now, so that they have begun to fill when the
     * first request comes.
     */
    private void openAccounts() {
        int alive = peers.aliveCount();
        boolean isDue = alive != openedAlive || clock.millis() - openedMillis >= OPEN_INTERVAL.toMillis();
        Optional<TeamDirectory> teams = config.get().flatMap(ServingConfig::teams);
        if (teams.isEmpty() || isJoining() || !isDue) {
            return;
        }
        openedMillis = clock.millis();
        openedAlive = alive;
        for (Team team : teams.get().teams()) {
            CoordinatedAccount account = accounts.get(team.name());
            boolean isMissing = account == null || account.isClosed();
            if (isMissing && team.quota().isPresent() && coordinates(team.name())) {
                open(team.name(), team.quota().get());
            }
        }
    }

    private void check() {
        entryShare.onAlive(peers.aliveCount());
        quotas.values().forEach(TeamQuota::returnUnused);
        openAccounts();
        Iterator<Map.Entry<TeamName, CoordinatedAccount>> all =
                accounts.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<TeamName, CoordinatedAccount> entry = all.next();
            CoordinatedAccount account = entry.getValue();
            account.account.removeOldAnswers();
            if (!coordinates(entry.getKey())) {
                close(entry.getKey(), account);
            } else {
                applyLimit(entry.getKey(), account);
            }
            if (account.isClosed()
                    && clock.millis() - account.closedMillis.get() >= CLOSED_ACCOUNT_VALIDITY.toMillis()) {
                all.remove();
            }
        }
    }

    /** An account of this entry; closed once another entry coordinates the quota. */
    private static final class CoordinatedAccount {

        private final QuotaAccount account;
        private Optional<Long> closedMillis = Optional.empty();

        CoordinatedAccount(QuotaAccount account) {
            this.account = account;
        }

        boolean isClosed() {
            return closedMillis.isPresent();
        }
    }
}
