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
import org.tarragonring.policy.placement.ServiceDemand;
import org.tarragonring.time.MonotonicClock;

/**
 * Aggregates the demand reports of all entries.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class DemandAggregator {

    /** The age at which a report is discarded, because its entry may have failed. */
    private static final Duration REPORT_LIFETIME = Duration.ofMillis(1_500);

    /**
     * The time constant of the exponentially decaying call rates, short enough to follow models whose calls cease
     * within seconds.
     */
    private static final double RATE_TIME_CONSTANT_SECONDS = 5;

    /** The time constant of the count of recent calls, which covers several calls of a model that is called rarely. */
    private static final double RECENT_TIME_CONSTANT_SECONDS = 20;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final MonotonicClock clock;
    private final Map<EntryId, Report> reports = new HashMap<>();
    private final Map<ModelKey, DecayingRate> rates = new HashMap<>();
    private final Map<ModelKey, DecayingRate> recentRates = new HashMap<>();
    private final Map<ServiceName, Long> firstCallMillis = new HashMap<>();

    /**
     * Creates an aggregator without reports.
     *
     * @param clock the monotonic clock, not null
     */
    public DemandAggregator(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Adds a report, which replaces the previous one of the same entry.
     *
     * @param from the id of the reporting entry, not null
     * @param demands the demand of its calls, not null
     * @param unreachable the replicas that the entry cannot use, not null
     */
    public void addReport(EntryId from, List<WeightDemand> demands, List<UpstreamId> unreachable) {
        long nowMillis = clock.millis();
        reports.put(from, new Report(nowMillis, List.copyOf(demands), List.copyOf(unreachable)));
        for (WeightDemand demand : demands) {
            if (demand.arrivals() > 0) {
                ModelKey key = key(demand);
                firstCallMillis.putIfAbsent(key.service, nowMillis);
                rates.computeIfAbsent(key, k -> new DecayingRate(nowMillis, RATE_TIME_CONSTANT_SECONDS))
                        .add(nowMillis, demand.arrivals());
                recentRates
                        .computeIfAbsent(key, k -> new DecayingRate(nowMillis, RECENT_TIME_CONSTANT_SECONDS))
                        .add(nowMillis, demand.arrivals());
            }
        }
    }

    /**
     * Returns the demand for the models of one service. Discards reports that are too old.
     *
     * @param service the service, not null
     * @return the demand of all entries
     */
    public ServiceDemand demand(ServiceName service) {
        long nowMillis = clock.millis();
        reports.values().removeIf(report -> nowMillis - report.receivedAtMillis > REPORT_LIFETIME.toMillis());
        Map<ModelName, AggregateDemand> demandByModel = new HashMap<>();
        rates.forEach((key, rate) -> {
            if (key.service.equals(service)) {
                double recentCalls = recentRates.get(key).perSecond(nowMillis) * RECENT_TIME_CONSTANT_SECONDS;
                demandByModel.put(
                        key.model,
                        new AggregateDemand(key.model, 0, 0, rate.perSecond(nowMillis), recentCalls, Long.MAX_VALUE));
            }
        });
        for (Report report : new ArrayList<>(reports.values())) {
            long ageMillis = nowMillis - report.receivedAtMillis;
            for (WeightDemand demand : report.demands) {
                if (demand.service().equals(service.value())) {
                    demandByModel.merge(demand.model(), toAggregate(demand, ageMillis), DemandAggregator::sum);
                }
            }
        }
        return new ServiceDemand(demandByModel, observedSeconds(service, nowMillis));
    }

    /** Returns the time that the recent calls cover, as a sum of seconds that count less the longer ago they were. */
    private double observedSeconds(ServiceName service, long nowMillis) {
        double seconds = (nowMillis - firstCallMillis.getOrDefault(service, nowMillis)) / MILLIS_PER_SECOND;
        return RECENT_TIME_CONSTANT_SECONDS * -Math.expm1(-seconds / RECENT_TIME_CONSTANT_SECONDS);
    }

    /**
     * Returns the calls of all entries that are running on replicas.
     *
     * @return the calls by replica and model
     */
    public Map<UpstreamId, Map<ModelName, RunningCalls>> runningCalls() {
        long nowMillis = clock.millis();
        Map<UpstreamId, Map<ModelName, RunningCalls>> running = new HashMap<>();
        for (Report report : reports.values()) {
            long ageMillis = nowMillis - report.receivedAtMillis;
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
     * Checks whether a replica is unreachable according to the current reports.
     *
     * @param replica the id of the replica, not null
     * @return true if at least two entries, or at least half of those with a report, cannot use it
     */
    public boolean isUnreachable(UpstreamId replica) {
        long unreachableCount = reports.values().stream()
                .filter(report -> report.unreachable.contains(replica))
                .count();
        return unreachableCount >= 2 || unreachableCount > 0 && unreachableCount * 2 >= reports.size();
    }

    private static AggregateDemand toAggregate(WeightDemand demand, long ageMillis) {
        long slackMillis = demand.waiting() > 0 ? demand.slackMillis() - ageMillis : Long.MAX_VALUE;
        return new AggregateDemand(demand.model(), demand.waiting(), demand.running(), 0, 0, slackMillis);
    }

    private static AggregateDemand sum(AggregateDemand first, AggregateDemand second) {
        return new AggregateDemand(
                first.model(),
                first.waitingCalls() + second.waitingCalls(),
                first.runningCalls() + second.runningCalls(),
                first.callsPerSecond() + second.callsPerSecond(),
                first.recentCalls() + second.recentCalls(),
                Math.min(first.slackMillis(), second.slackMillis()));
    }

    private static ModelKey key(WeightDemand demand) {
        return new ModelKey(new ServiceName(demand.service()), demand.model());
    }

    private record ModelKey(ServiceName service, ModelName model) {}

    private record Report(long receivedAtMillis, List<WeightDemand> demands, List<UpstreamId> unreachable) {}

    /** A call rate with exponential decay. */
    private static final class DecayingRate {

        private final double timeConstantSeconds;
        private double callsPerSecond;
        private long updatedAtMillis;

        DecayingRate(long updatedAtMillis, double timeConstantSeconds) {
            this.updatedAtMillis = updatedAtMillis;
            this.timeConstantSeconds = timeConstantSeconds;
        }

        void add(long nowMillis, int arrivals) {
            callsPerSecond = perSecond(nowMillis) + arrivals / timeConstantSeconds;
            updatedAtMillis = nowMillis;
        }

        double perSecond(long nowMillis) {
            return callsPerSecond * Math.exp(-(nowMillis - updatedAtMillis) / MILLIS_PER_SECOND / timeConstantSeconds);
        }
    }
}
