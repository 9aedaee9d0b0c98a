package org.tarragonring.gateway.fairness;

import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.Supplier;

import org.tarragonring.policy.config.Route;
import org.tarragonring.policy.config.ServingConfig;
import org.tarragonring.policy.fairness.PriorityScale;
import org.tarragonring.policy.fairness.TeamExcess;
import org.tarragonring.policy.fairness.WaitingOrder;
import org.tarragonring.policy.team.Team;
import org.tarragonring.policy.team.TeamDirectory;

/**
 * Decides for the calls of this entry how urgent they are, and in which order they are sent. Calls that arrived while the configuration had no teams, for which
 * the argument is empty, are treated as if this class did not exist.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class CallFairness {

    private final Supplier<Optional<ServingConfig>> config;
    private final TeamExcess excess;
    private final DoubleSupplier random;
    private Optional<ServingConfig> scaledConfig = Optional.empty();
    private PriorityScale scale = new PriorityScale(List.of(), List.of());

    /**
     * Creates an instance.
     *
     * @param config returns the active configuration, empty if there is none yet; not null
     * @param excess the teams above their share, not null
     * @param random returns random numbers from 0 to 1, not null
     */
    public CallFairness(Supplier<Optional<ServingConfig>> config, TeamExcess excess, DoubleSupplier random) {
        this.config = Objects.requireNonNull(config, "config");
        this.excess = Objects.requireNonNull(excess, "excess");
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Admits a call that is to be forwarded.
     *
     * @param call the call, not null
     */
    public void admit(Optional<FairCall> call) {
        call.ifPresent(admitted -> admitted.position = random.getAsDouble());
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
}
