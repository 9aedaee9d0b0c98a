package org.tarragonring.gateway.fairness;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.TeamName;
import org.tarragonring.log.LogEvent;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.policy.config.ServingConfig;
import org.tarragonring.policy.fairness.ShortageDetector;
import org.tarragonring.policy.fairness.TeamExcess;
import org.tarragonring.policy.fairness.TeamShareCalculator;
import org.tarragonring.policy.fairness.TeamUseLedger;
import org.tarragonring.policy.team.TeamDirectory;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * Reports what teams use at this entry to the share coordinator and, while this entry is the coordinator, tells all entries which
 * teams use more than their share.
 *
 * <p>Does nothing unless a call of a team is recorded or a report arrives. No lease is needed: two coordinators at a time cost
 * accuracy only.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class ShareService {

    /** The name of the duty from which all entries derive the share coordinator. */
    public static final String DUTY = "team-shares";

    /** The minimum time between two reports of an entry, kept while there is a shortage. */
    static final Duration REPORT_PERIOD = Duration.ofMillis(500);

    /** The time between two reports otherwise: the coordinator receives those of all entries. */
    static final Duration CALM_REPORT_PERIOD = Duration.ofMillis(2_000);

    /** The time from a report to the evaluation, in which the reports of other entries arrive. */
    static final Duration EVALUATION_PERIOD = Duration.ofMillis(500);

    /** How often shares are repeated during a shortage: twice within the time after which entries drop them. */
    static final Duration SHARES_PERIOD = Duration.ofMillis(TeamExcess.MAX_AGE_MILLIS / 2);

    /** A team takes up to 220 bytes of a message, which has at most 8,192. */
    private static final int MAX_TEAMS_PER_MESSAGE = 35;

    /** The weight of the newest call in the mean size of calls. */
    private static final double NEWEST_WEIGHT = 0.02;

    /** The assumed size of a call before one was recorded. */
    private static final double DEFAULT_CALL_TOKENS = 1_000;

    private static final long MIN_LOG_INTERVAL_MILLIS = 1_000;

    private final ShareMessenger messenger;
    private final Supplier<Optional<ServingConfig>> config;
    private final TeamExcess excess;
    private final MonotonicClock clock;
    private final Timers timers;
    private final Map<TeamName, Totals> totals = new HashMap<>();
    private final Set<TeamName> unreported = new HashSet<>();
    private final Map<TeamName, Long> loggedMillis = new HashMap<>();
    private final TeamUseLedger ledger;
    private ShortageDetector detector = new ShortageDetector();
    private boolean shortage;
    private Set<TeamName> toldAboveShare = Set.of();
    private long lastSharesMillis;
    private double meanCallTokens = DEFAULT_CALL_TOKENS;
    private boolean anyCallRecorded;
    private Timers.Task nextReport = () -> {};
    private long reportDueMillis = Long.MAX_VALUE;
    private boolean evaluationScheduled;
    private boolean stopped;

    /**
     * Creates a service. It sets timers only when it has something to do.
     *
     * @param messenger the connection to the other entries, not null
     * @param config returns the active configuration, empty if there is none yet; not null
     * @param excess receives the teams above their share, not null
     * @param clock the monotonic clock, not null
     * @param timers schedules reports and evaluations, not null
     */
    public ShareService(
            ShareMessenger messenger,
            Supplier<Optional<ServingConfig>> config,
            TeamExcess excess,
            MonotonicClock clock,
            Timers timers) {
        this.messenger = Objects.requireNonNull(messenger, "messenger");
        this.config = Objects.requireNonNull(config, "config");
        this.excess = Objects.requireNonNull(excess, "excess");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.ledger = new TeamUseLedger(clock);
    }

    /** Stops reporting and coordinating. */
    public void stop() {
        stopped = true;
    }

    /**
     * Records a call that this entry forwards.
     *
     * @param team the team of the call, not null
     * @param tokens the size of the call
     */
    public void recordCall(TeamName team, long tokens) {
        meanCallTokens = anyCallRecorded ? meanCallTokens + NEWEST_WEIGHT * (tokens - meanCallTokens) : tokens;
        meanCallTokens = Math.max(1, meanCallTokens);
        anyCallRecorded = true;
        totalsOf(team).tokens += tokens;
        reportSoon(team, false);
    }

    /**
     * Records that there was no capacity for a call, once for each call.
     *
     * @param team the team of the call, not null
     */
    public void recordLack(TeamName team) {
        totalsOf(team).refusedCalls++;
        reportSoon(team, true);
    }

    private Totals totalsOf(TeamName team) {
        return totals.computeIfAbsent(team, name -> new Totals());
    }

    /** Reports the use of a team with that of others, earlier if there is too little capacity. */
    private void reportSoon(TeamName team, boolean isShort) {
        unreported.add(team);
        Duration delay = isShort || excess.isShortage() ? REPORT_PERIOD : CALM_REPORT_PERIOD;
        long dueMillis = clock.millis() + delay.toMillis();
        if (dueMillis < reportDueMillis && !stopped) {
            nextReport.cancel();
            reportDueMillis = dueMillis;
            nextReport = timers.schedule(delay, this::report);
        }
    }

    private void report() {
        reportDueMillis = Long.MAX_VALUE;
        if (stopped) {
            return;
        }
        List<PeerMessage.TeamUse> uses = unreported.stream()
                .map(team -> new PeerMessage.TeamUse(team, totals.get(team).tokens, totals.get(team).refusedCalls))
                .toList();
        unreported.clear();
        EntryId coordinator = messenger.coordinator();
        for (int from = 0; from < uses.size(); from += MAX_TEAMS_PER_MESSAGE) {
            int to = Math.min(uses.size(), from + MAX_TEAMS_PER_MESSAGE);
            messenger.send(coordinator, new PeerMessage.TeamUseReport(uses.subList(from, to)));
        }
        if (excess.expire()) {
            LogEvent.TEAM_SHARES_EXPIRED.log(coordinator, TeamExcess.MAX_AGE_MILLIS);
        }
    }

    /**
     * Handles a report. It is counted also if another entry coordinates, so that the use is known when this one takes over.
     *
     * @param from the sender, not null
     * @param report the report, not null
     */
    public void onReport(EntryId from, PeerMessage.TeamUseReport report) {
        for (PeerMessage.TeamUse use : report.uses()) {
            ledger.add(from, use.team(), use.admittedTokens(), use.refusedCalls());
        }
        evaluateSoon();
    }

    /**
     * Handles the shares that another entry has computed. Those of an entry that does not coordinate are ignored.
     *
     * @param from the sender, not null
     * @param shares the shares, not null
     */
    public void onShares(EntryId from, PeerMessage.TeamShares shares) {
        if (from.equals(messenger.coordinator())) {
            excess.update(shares.shortage(), shares.aboveShare());
        }
    }

    private void evaluateSoon() {
        if (!evaluationScheduled && !stopped) {
            evaluationScheduled = true;
            timers.schedule(EVALUATION_PERIOD, this::evaluate);
        }
    }

    private void evaluate() {
        evaluationScheduled = false;
        if (stopped) {
            return;
        }
        if (!messenger.coordinator().equals(messenger.self())) {
            resign();
            return;
        }
        ledger.prune(messenger::isAlive);
        Map<TeamName, TeamUseLedger.Use> uses = ledger.recent();
        double calls =
                uses.values().stream().mapToDouble(TeamUseLedger.Use::tokens).sum() / meanCallTokens;
        double refused = uses.values().stream()
                .mapToDouble(TeamUseLedger.Use::refusedCalls)
                .sum();
        boolean wasShortage = shortage;
        shortage = detector.update(calls, refused);
        Map<TeamName, Double> aboveShare = shortage ? aboveShare(uses) : Map.of();
        if (shortage != wasShortage) {
            LogEvent.CAPACITY_SHORTAGE.log(
                    shortage, Math.round(refused), Math.round(calls), TeamUseLedger.WINDOW_MILLIS);
        }
        tell(aboveShare, wasShortage);
        if (shortage) {
            evaluateSoon();
        }
    }

    /** Forgets what was evaluated here, as another entry coordinates. */
    private void resign() {
        detector = new ShortageDetector();
        shortage = false;
        toldAboveShare = Set.of();
        ledger.prune(messenger::isAlive);
    }

    private Map<TeamName, Double> aboveShare(Map<TeamName, TeamUseLedger.Use> uses) {
        Optional<TeamDirectory> teams = config.get().flatMap(ServingConfig::teams);
        Map<TeamName, Double> above = new TeamShareCalculator(meanCallTokens)
                .aboveShare(
                        uses, name -> teams.flatMap(known -> known.find(name)).orElse(null));
        return above.entrySet().stream()
                .sorted(Map.Entry.<TeamName, Double>comparingByValue(Comparator.reverseOrder()))
                .limit(MAX_TEAMS_PER_MESSAGE)
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    /** Tells all entries the shares: at once if the shortage or the teams have changed, else periodically during a shortage. */
    private void tell(Map<TeamName, Double> aboveShare, boolean wasShortage) {
        boolean isChanged = shortage != wasShortage || !aboveShare.keySet().equals(toldAboveShare);
        boolean isDue = shortage && clock.millis() - lastSharesMillis >= SHARES_PERIOD.toMillis();
        if (shortage) {
            excess.update(true, aboveShare);
        }
        if (!isChanged && !isDue) {
            return;
        }
        aboveShare.keySet().stream()
                .filter(team -> !toldAboveShare.contains(team))
                .forEach(team -> logAboveShare(team, aboveShare.get(team)));
        toldAboveShare = aboveShare.keySet();
        lastSharesMillis = clock.millis();
        excess.update(shortage, aboveShare);
        messenger.broadcast(new PeerMessage.TeamShares(shortage, aboveShare));
    }

    private void logAboveShare(TeamName team, double factor) {
        long now = clock.millis();
        Long last = loggedMillis.get(team);
        if (last == null || now - last >= MIN_LOG_INTERVAL_MILLIS) {
            loggedMillis.put(team, now);
            LogEvent.TEAM_ABOVE_SHARE.log(team, Math.round(factor * 100) / 100.0);
        }
    }

    private static final class Totals {

        private long tokens;
        private long refusedCalls;
    }
}
