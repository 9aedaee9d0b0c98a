package org.tarragonring.gateway.planning;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.peer.PeerMessage.WeightDemand;
import org.tarragonring.policy.placement.AggregateDemand;
import org.tarragonring.policy.placement.ReplicaSnapshot.RunningCalls;
import org.tarragonring.time.MonotonicClock;

/**
 * Adds up what all entries report of their demand.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.2.0
 */
public final class DemandBook {

    /** Reports older than this no longer count, as their entry may be gone. */
    private static final Duration REPORT_LIFETIME = Duration.ofMillis(1_500);

    /** The time constant of the rates: short enough to follow models that fall silent within seconds. */
    private static final double RATE_WINDOW_SECONDS = 5;

    private final MonotonicClock clock;
    private final Map<EntryId, Report> reports = new HashMap<>();
    private final Map<ModelKey, Rate> rates = new HashMap<>();

    /**
     * Creates an empty book.
     *
     * @param clock the monotonic clock, not null
     */
    public DemandBook(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Takes a report, which replaces the entry's last one.
     *
     * @param from the entry, not null
     * @param demands its demands, not null
     * @param unreachable the replicas that it cannot use, not null
     */
    public void report(EntryId from, List<WeightDemand> demands, List<UpstreamId> unreachable) {
        long now = clock.millis();
        reports.put(from, new Report(now, List.copyOf(demands), List.copyOf(unreachable)));
        for (WeightDemand demand : demands) {
            if (demand.arrivals() > 0) {
                rates.computeIfAbsent(key(demand), key -> new Rate(now)).add(now, demand.arrivals());
            }
        }
    }

    /**
     * Returns what entries need of one service's models.
     *
     * @param service the service, not null
     * @return the needs by model
     */
    public Map<ModelName, AggregateDemand> needs(ServiceName service) {
        long now = clock.millis();
        reports.values().removeIf(report -> now - report.atMillis > REPORT_LIFETIME.toMillis());
        Map<ModelName, AggregateDemand> needs = new HashMap<>();
        rates.forEach((key, rate) -> {
            if (key.service.equals(service)) {
                needs.put(key.model, new AggregateDemand(key.model, 0, 0, rate.perSecond(now), Long.MAX_VALUE));
            }
        });
        for (Report report : new ArrayList<>(reports.values())) {
            long ageMillis = now - report.atMillis;
            for (WeightDemand demand : report.demands) {
                if (demand.service().equals(service.value())) {
                    needs.merge(demand.model(), need(demand, ageMillis), DemandBook::sum);
                }
            }
        }
        return needs;
    }

    /**
     * Returns the calls of all entries that replicas run.
     *
     * @return counts by replica and model
     */
    public Map<UpstreamId, Map<ModelName, RunningCalls>> running() {
        long now = clock.millis();
        Map<UpstreamId, Map<ModelName, RunningCalls>> running = new HashMap<>();
        for (Report report : reports.values()) {
            long ageMillis = now - report.atMillis;
            for (WeightDemand demand : report.demands) {
                RunningCalls calls = new RunningCalls(demand.running(), demand.slackMillis() - ageMillis);
                demand.replica()
                        .ifPresent(replica -> running.computeIfAbsent(replica, id -> new HashMap<>())
                                .merge(demand.model(), calls, RunningCalls::plus));
            }
        }
        return running;
    }

    /**
     * Checks if entries say that they cannot use a replica.
     *
     * @param replica the replica, not null
     * @return true if two of those that reported say so, or half of them
     */
    public boolean isUnreachable(UpstreamId replica) {
        long complaints = reports.values().stream()
                .filter(report -> report.unreachable.contains(replica))
                .count();
        return complaints >= 2 || complaints > 0 && complaints * 2 >= reports.size();
    }

    private static AggregateDemand need(WeightDemand demand, long ageMillis) {
        long slackMillis = demand.waiting() > 0 ? demand.slackMillis() - ageMillis : Long.MAX_VALUE;
        return new AggregateDemand(demand.model(), demand.waiting(), demand.running(), 0, slackMillis);
    }

    private static AggregateDemand sum(AggregateDemand first, AggregateDemand second) {
        return new AggregateDemand(
                first.model(),
                first.waitingCalls() + second.waitingCalls(),
                first.runningCalls() + second.runningCalls(),
                first.callsPerSecond() + second.callsPerSecond(),
                Math.min(first.slackMillis(), second.slackMillis()));
    }

    private static ModelKey key(WeightDemand demand) {
        return new ModelKey(new ServiceName(demand.service()), demand.model());
    }

    private record ModelKey(ServiceName service, ModelName model) {}

    private record Report(long atMillis, List<WeightDemand> demands, List<UpstreamId> unreachable) {}

    /** A rate that decays exponentially. */
    private static final class Rate {

        private double value;
        private long atMillis;

        Rate(long atMillis) {
            this.atMillis = atMillis;
        }

        void add(long nowMillis, int arrivals) {
            value = perSecond(nowMillis) + arrivals / RATE_WINDOW_SECONDS;
            atMillis = nowMillis;
        }

        double perSecond(long nowMillis) {
            return value * Math.exp(-(nowMillis - atMillis) / 1_000.0 / RATE_WINDOW_SECONDS);
        }
    }
}
