package org.tarragonring.gateway.fairness;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.Supplier;

import org.tarragonring.gateway.call.WeightKey;
import org.tarragonring.gateway.catalog.ReplicaCatalog;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.policy.config.Route;
import org.tarragonring.policy.config.ServingConfig;
import org.tarragonring.policy.fairness.CapacityRecovery;
import org.tarragonring.policy.fairness.PriorityScale;
import org.tarragonring.policy.fairness.RetryAfterSchedule;
import org.tarragonring.policy.fairness.TeamExcess;
import org.tarragonring.policy.fairness.WaitingOrder;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.policy.team.Team;
import org.tarragonring.policy.team.TeamDirectory;
import org.tarragonring.time.MonotonicClock;

/**
 * Decides for the calls of this entry how urgent they are, in which order they are sent, and when refused ones come back.
 * Calls that arrived while the configuration had no teams, for which the argument is empty, are treated as if this class did
 * not exist.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class CallFairness {

    /** The time until a retry when nothing is known about the end of the shortage. */
    private static final long DEFAULT_SHORTAGE_MILLIS = 1_000;

    private final Supplier<Optional<ServingConfig>> config;
    private final ReplicaCatalog catalog;
    private final TeamExcess excess;
    private final ShareService shares;
    private final FairnessMetrics metrics;
    private final MonotonicClock clock;
    private final DoubleSupplier random;
    /** By service and model, of which the configuration bounds the number. */
    private final Map<CapacityKey, CapacityRecovery> recoveries = new HashMap<>();

    private Optional<ServingConfig> scaledConfig = Optional.empty();
    private PriorityScale scale = new PriorityScale(List.of(), List.of());

    /**
     * Creates an instance.
     *
     * @param config returns the active configuration, empty if there is none yet; not null
     * @param catalog the known replicas, not null
     * @param excess the teams above their share, not null
     * @param shares reports what teams use, not null
     * @param metrics records how calls end, not null
     * @param clock the monotonic clock, not null
     * @param random returns random numbers from 0 to 1, not null
     */
    public CallFairness(
            Supplier<Optional<ServingConfig>> config,
            ReplicaCatalog catalog,
            TeamExcess excess,
            ShareService shares,
            FairnessMetrics metrics,
            MonotonicClock clock,
            DoubleSupplier random) {
        this.config = Objects.requireNonNull(config, "config");
        this.catalog = Objects.requireNonNull(catalog, "catalog");
        this.excess = Objects.requireNonNull(excess, "excess");
        this.shares = Objects.requireNonNull(shares, "shares");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Admits a call that is to be forwarded. Each try of a caller is a call of its own, so that retries count within the share
     * of the team.
     *
     * @param call the call, not null
     */
    public void admit(Optional<FairCall> call) {
        call.ifPresent(admitted -> {
            admitted.position = random.getAsDouble();
            admitted.team.ifPresent(team -> shares.recordCall(team.name(), admitted.tokens));
        });
    }

    /**
     * Returns the urgency that the replica is told.
     *
     * @param call the call, not null
     * @return the urgency from 0, the highest, to {@value PriorityScale#LOWEST_URGENCY}; empty if none is sent
     */
    public OptionalInt urgency(Optional<FairCall> call) {
        return call.isEmpty() ? OptionalInt.empty() : OptionalInt.of(urgency(call.get()));
    }

    private int urgency(FairCall call) {
        if (excess.isReserved(call.team.map(Team::name), call.position)) {
            return 0;
        }
        boolean isDemoted = isDemoted(call);
        call.wasDemoted |= isDemoted;
        OptionalInt teamPriority =
                call.team.map(team -> OptionalInt.of(team.priority())).orElse(OptionalInt.empty());
        return scale().urgency(teamPriority, call.route.priority(), isDemoted);
    }

    /**
     * Orders calls that waited for the same weights.
     *
     * @param <T> the type of the calls
     * @param calls the calls in another order, which they keep unless all of them arrived while there were teams; not null
     * @param properties returns the properties of a call, not null
     * @return the calls, the first to be sent first
     */
    public <T> List<T> order(List<T> calls, Function<T, Optional<FairCall>> properties) {
        if (calls.stream().anyMatch(call -> properties.apply(call).isEmpty())) {
            return calls;
        }
        return WaitingOrder.order(
                calls, call -> toWaitingCall(properties.apply(call).get()));
    }

    private WaitingOrder.WaitingCall toWaitingCall(FairCall call) {
        long objectiveMillis = call.route.latencyObjective().toMillis();
        return new WaitingOrder.WaitingCall(urgency(call), call.arrivalMillis + objectiveMillis, call.arrivalMillis);
    }

    /**
     * Records that a call waits until a replica holds its weights.
     *
     * @param call the call, not null
     */
    public void onWaitingForLoad(Optional<FairCall> call) {
        call.ifPresent(known -> startWaiting(known, true));
    }

    private void startWaiting(FairCall call, boolean isForLoad) {
        if (call.waitingSinceMillis.isEmpty()) {
            call.waitingSinceMillis = OptionalLong.of(clock.millis());
            call.waitsForLoad = isForLoad;
        }
    }

    /**
     * Records that no replica has room for a call at the moment.
     *
     * @param call the call, not null
     */
    public void onNoRoom(Optional<FairCall> call) {
        call.ifPresent(known -> startWaiting(known, false));
        call.filter(known -> !known.lacksCapacity).ifPresent(known -> {
            known.lacksCapacity = true;
            recovery(known).onRefused();
            known.team.ifPresent(team -> shares.recordLack(team.name()));
        });
    }

    /**
     * Checks if it is known that no replica will have room for a call in time. How long calls waited for a load tells nothing
     * of that.
     *
     * @param call the call, not null
     * @param delay the time after which the call would be sent again, not null
     * @param latestMillis the time by which a replica must have responded, on the monotonic clock
     * @return true if the call should be refused now; false if the configuration has no teams
     */
    public boolean isTooLate(Optional<FairCall> call, Duration delay, long latestMillis) {
        return call.filter(known -> {
                    long expectedMillis = known.waitsForLoad
                            ? 0
                            : recovery(known).expectedWaitMillis().orElse(0) - waitedMillis(known);
                    return clock.millis() + Math.max(delay.toMillis(), expectedMillis) >= latestMillis;
                })
                .isPresent();
    }

    private long waitedMillis(FairCall call) {
        long now = clock.millis();
        return now - call.waitingSinceMillis.orElse(now);
    }

    /**
     * Records the refusal of a call and tells when its caller should come back.
     *
     * @param call the call, not null
     * @param defaultMillis the result if the configuration has no teams
     * @return the time until a retry in milliseconds
     */
    public long refuse(Optional<FairCall> call, long defaultMillis) {
        onNoRoom(call);
        call.ifPresent(known -> recovery(known).onGivenUpAfter(waitedMillis(known)));
        return call.map(known -> retryAfterMillis(known, shortageMillis(known))).orElse(defaultMillis);
    }

    /**
     * Records the refusal of a call for which it is known when there will be capacity again.
     *
     * @param call the call, not null
     * @param shortage the time until there is capacity, not null
     * @return the time until a retry in milliseconds, that time if the configuration has no teams
     */
    public long refuse(Optional<FairCall> call, Duration shortage) {
        onNoRoom(call);
        return call.map(known -> retryAfterMillis(known, shortage.toMillis())).orElse(shortage.toMillis());
    }

    private long retryAfterMillis(FairCall call, long shortageMillis) {
        long now = clock.millis();
        double ageFraction =
                (now - call.arrivalMillis) / (double) Math.max(1, call.deadlineMillis - call.arrivalMillis);
        return RetryAfterSchedule.retryAfterMillis(
                shortageMillis,
                recovery(call).intervalMillis(),
                RetryAfterSchedule.place(urgency(call), ageFraction, random.getAsDouble()),
                call.deadlineMillis - now);
    }

    private long shortageMillis(FairCall call) {
        OptionalLong loadMillis = call.weights.map(this::loadMillis).orElse(OptionalLong.empty());
        // How long a call has waited in vain tells nothing of the end, so that the expected wait counts as a whole.
        return loadMillis.orElseGet(() -> recovery(call).expectedWaitMillis().orElse(DEFAULT_SHORTAGE_MILLIS));
    }

    /** Returns the time until the first load of a model ends that no replica holds, empty if there is none. */
    private OptionalLong loadMillis(WeightKey key) {
        List<ReplicaState> replicas = catalog.serving(key.service());
        if (replicas.stream().anyMatch(replica -> replica.holds(key.model(), ""))) {
            return OptionalLong.empty();
        }
        return replicas.stream()
                .filter(replica -> replica.loading().equals(Optional.of(key.model())))
                .mapToLong(replica -> Math.max(0, replica.expectedLoadEndMillis() - clock.millis()))
                .min();
    }

    private CapacityRecovery recovery(FairCall call) {
        CapacityKey key = new CapacityKey(call.service, call.weights.map(WeightKey::model), call.waitsForLoad);
        return recoveries.computeIfAbsent(key, unused -> new CapacityRecovery(clock));
    }

    /**
     * Records that a replica has begun to respond to a call.
     *
     * @param call the call, not null
     */
    public void onServed(Optional<FairCall> call) {
        call.filter(known -> !known.served).ifPresent(known -> {
            known.served = true;
            if (known.waitingSinceMillis.isPresent()) {
                recovery(known).onServedAfter(waitedMillis(known));
            } else {
                recovery(known).onServed();
            }
        });
    }

    /**
     * Records the end of a call.
     *
     * @param call the call, not null
     * @param outcome the outcome, not null
     * @param isRefused whether it was refused
     */
    public void onEnded(Optional<FairCall> call, String outcome, boolean isRefused) {
        call.ifPresent(known -> {
            metrics.recordCall(known, outcome);
            if (isRefused) {
                metrics.recordRefusal(clock.millis() - known.arrivalMillis);
            }
        });
    }

    private boolean isDemoted(FairCall call) {
        return call.team
                .map(team -> excess.isDemoted(team.name(), call.position))
                .orElse(false);
    }

    /** Returns the scale of the active configuration, which is built once for each. */
    private PriorityScale scale() {
        Optional<ServingConfig> current = config.get();
        if (!current.equals(scaledConfig)) {
            scaledConfig = current;
            scale = current.map(CallFairness::scaleOf).orElse(scale);
        }
        return scale;
    }

    private static PriorityScale scaleOf(ServingConfig config) {
        return new PriorityScale(
                config.teams().stream()
                        .map(TeamDirectory::teams)
                        .flatMap(Collection::stream)
                        .map(Team::priority)
                        .toList(),
                config.routes().stream().map(Route::priority).toList());
    }

    /**
     * What needs the same capacity: the calls of a service that need no model, or those that need the same one and wait for the
     * same, a load or room.
     */
    private record CapacityKey(ServiceName service, Optional<ModelName> model, boolean isForLoad) {}
}
