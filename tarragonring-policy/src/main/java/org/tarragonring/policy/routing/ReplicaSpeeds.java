package org.tarragonring.policy.routing;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.Set;

import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.time.MonotonicClock;

/**
 * Estimates how fast each replica of a service is compared with the others, from the times of calls that all entries
 * report to the planning entry. One entry alone sees too few calls of a replica.
 *
 * <p>The effect of the load is removed ({@link LoadSlope}), and the speeds are relative to the median of the service. They
 * are used only while the replicas of the service differ by more than the noise of the estimates.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class ReplicaSpeeds {

    /** The number of replicas with known speed from which on they are compared, also if it is less than half of all. */
    private static final int MIN_KNOWN = 8;

    private static final double LOW_PERCENTILE = 0.1;
    private static final double HIGH_PERCENTILE = 0.9;

    /** The ratio of the high to the low percentile of speed from which on replicas count as different. */
    private static final double MIN_SPREAD = 1.4;

    /** The ratio below which they count as equal again, so that replicas near the bound do not change back and forth. */
    private static final double EQUAL_SPREAD = 1.25;

    /** How many standard errors of its estimate a replica must differ from the median to count as different. */
    private static final double STANDARD_ERRORS_WHILE_EQUAL = 3.5;

    /** The same while the replicas differ: slow ones get fewer calls, so that their estimates are less certain. */
    private static final double STANDARD_ERRORS_WHILE_DIFFERENT = 1;

    /** The assumed standard deviation of the logarithm of a time before there are samples. */
    private static final double PRIOR_DEVIATION = 0.3;

    /** The weight of a sample in the mean of the squared noise. */
    private static final double NOISE_WEIGHT = 0.01;

    /** Bounds of a speed; what is beyond them is a fault, which ejections handle. */
    private static final double MIN_SPEED = 0.05;

    private static final double MAX_SPEED = 5;

    /** Bounds of a ratio: a single stall says no more than that a replica was slow. */
    private static final double MAX_RATIO = 8;

    private final MonotonicClock clock;
    private final Map<ServiceName, Group> groups = new HashMap<>();
    private final Map<UpstreamId, ServiceName> services = new HashMap<>();

    /**
     * Creates an instance without estimates.
     *
     * @param clock the monotonic clock, not null
     */
    public ReplicaSpeeds(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Records how long calls took at a replica.
     *
     * @param service the service of the replica, not null
     * @param rule how the speeds of the service are followed, not null
     * @param replica the replica, not null
     * @param loadCalls the number of calls of all entries that the replica ran meanwhile, 0 or more
     * @param samples the number of calls, 1 or more
     * @param ratio the mean time as a multiple of the expected one, above 0; other values are ignored
     */
    public void record(
            ServiceName service, SpeedRule rule, UpstreamId replica, int loadCalls, int samples, double ratio) {
        if (samples < 1 || !(ratio > 0) || Double.isInfinite(ratio)) {
            return;
        }
        double logTime = Math.log(Math.min(MAX_RATIO, Math.max(1 / MAX_RATIO, ratio)));
        Group group = groups.computeIfAbsent(service, name -> new Group(rule));
        services.put(replica, service);
        SpeedEstimate estimate = group.estimates.computeIfAbsent(replica, id -> new SpeedEstimate(rule));
        double squaredNoise =
                estimate.add(clock.millis(), samples, LoadSlope.scaled(loadCalls), logTime, group.slope, group.noise);
        if (squaredNoise > 0) {
            group.noise += NOISE_WEIGHT * (squaredNoise - group.noise);
        }
    }

    /**
     * Takes over a speed that another entry has estimated, as a guess. Does nothing if the speed is already known.
     *
     * @param service the service of the replica, not null
     * @param rule how the speeds of the service are followed, not null
     * @param replica the replica, not null
     * @param speed the speed, above 0
     */
    public void guess(ServiceName service, SpeedRule rule, UpstreamId replica, double speed) {
        Group group = groups.computeIfAbsent(service, name -> new Group(rule));
        if (services.putIfAbsent(replica, service) == null) {
            SpeedEstimate estimate = new SpeedEstimate(rule);
            estimate.guess(clock.millis(), -Math.log(speed));
            group.estimates.put(replica, estimate);
            group.differ = true;
        }
    }

    /**
     * Forgets a replica that was restarted or removed.
     *
     * @param replica the replica, not null
     */
    public void forget(UpstreamId replica) {
        ServiceName service = services.remove(replica);
        if (service != null) {
            groups.get(service).estimates.remove(replica);
        }
    }

    /** Forgets everything. */
    public void clear() {
        groups.clear();
        services.clear();
    }

    /**
     * Decides anew whether the replicas of a service differ.
     *
     * @param service the service, not null
     * @param replicas the number of its replicas that are listed
     * @return true if this has changed
     */
    public boolean update(ServiceName service, int replicas) {
        Group group = groups.get(service);
        return group != null && group.update(clock.millis(), replicas);
    }

    /**
     * Checks whether the replicas of a service differ, so that their speeds are used.
     *
     * @param service the service, not null
     * @return true if they did at the last update
     */
    public boolean differ(ServiceName service) {
        return groups.containsKey(service) && groups.get(service).differ;
    }

    /**
     * Returns the services with estimates.
     *
     * @return the services, never null
     */
    public Set<ServiceName> services() {
        return Set.copyOf(groups.keySet());
    }

    /**
     * Returns the ratio of the 90th to the 10th percentile of speed, reduced by the noise of the estimates.
     *
     * @param service the service, not null
     * @return the ratio at the last update, 1 if too few speeds are known
     */
    public double spread(ServiceName service) {
        return groups.containsKey(service) ? groups.get(service).spread : 1;
    }

    /**
     * Returns the estimated speed of a replica, also while the replicas do not differ.
     *
     * @param replica the replica, not null
     * @return the speed as of the last update relative to the median of its service, empty if it is not known
     */
    public OptionalDouble estimate(UpstreamId replica) {
        ServiceName service = services.get(replica);
        return service == null ? OptionalDouble.empty() : groups.get(service).speed(replica, clock.millis());
    }

    /**
     * Returns the speed by which to decide.
     *
     * @param replica the replica, not null
     * @return the speed relative to the median of its service; 1 if it is not known or if the replicas do not differ
     */
    public double speedOf(UpstreamId replica) {
        ServiceName service = services.get(replica);
        return service != null && differ(service) ? estimate(replica).orElse(1) : 1;
    }

    private static double percentile(double[] sorted, double part) {
        double position = part * (sorted.length - 1);
        return sorted[(int) (part < HIGH_PERCENTILE / 2 ? Math.floor(position) : Math.ceil(position))];
    }

    /** The replicas of one service. */
    private static final class Group {

        private final SpeedRule rule;
        private final LoadSlope slope = new LoadSlope();
        private final Map<UpstreamId, SpeedEstimate> estimates = new HashMap<>();
        private double noise = PRIOR_DEVIATION * PRIOR_DEVIATION;
        private double medianLogTime;
        private double spread = 1;
        private boolean differ;
        private long unchangedMillis = Long.MIN_VALUE;

        Group(SpeedRule rule) {
            this.rule = rule;
        }

        boolean update(long nowMillis, int replicas) {
            SpeedEstimate[] known = estimates.values().stream()
                    .filter(estimate -> estimate.isKnown(nowMillis))
                    .toArray(SpeedEstimate[]::new);
            boolean isComparable = known.length >= MIN_KNOWN || known.length >= 2 && known.length * 2 >= replicas;
            spread = isComparable ? spread(known, nowMillis) : 1;
            boolean differNow = spread >= (differ ? EQUAL_SPREAD : MIN_SPREAD);
            if (differNow == differ || unchangedMillis == Long.MIN_VALUE) {
                unchangedMillis = nowMillis;
            }
            long delayMillis = (differ ? rule.offDelay() : rule.onDelay()).toMillis();
            if (differNow == differ || nowMillis - unchangedMillis < delayMillis) {
                return false;
            }
            differ = differNow;
            unchangedMillis = nowMillis;
            return true;
        }

        private double spread(SpeedEstimate[] known, long nowMillis) {
            double[] logTimes = Arrays.stream(known)
                    .mapToDouble(e -> e.logTime(slope))
                    .sorted()
                    .toArray();
            medianLogTime = logTimes[logTimes.length / 2];
            double[] differences = Arrays.stream(known)
                    .mapToDouble(e -> significantDifference(e, nowMillis))
                    .sorted()
                    .toArray();
            return Math.exp(percentile(differences, HIGH_PERCENTILE) - percentile(differences, LOW_PERCENTILE));
        }

        /** Returns the difference of a replica from the median, as far as it exceeds the noise. */
        private double significantDifference(SpeedEstimate estimate, long nowMillis) {
            double difference = (estimate.logTime(slope) - medianLogTime) * estimate.trust(nowMillis);
            double errors = differ ? STANDARD_ERRORS_WHILE_DIFFERENT : STANDARD_ERRORS_WHILE_EQUAL;
            double bound = errors * Math.sqrt(noise / estimate.weight());
            return Math.signum(difference) * Math.max(0, Math.abs(difference) - bound);
        }

        OptionalDouble speed(UpstreamId replica, long nowMillis) {
            SpeedEstimate estimate = estimates.get(replica);
            if (estimate == null || !estimate.isKnown(nowMillis)) {
                return OptionalDouble.empty();
            }
            double logSpeed = (medianLogTime - estimate.logTime(slope)) * estimate.trust(nowMillis);
            return OptionalDouble.of(Math.min(MAX_SPEED, Math.max(MIN_SPEED, Math.exp(logSpeed))));
        }
    }
}
