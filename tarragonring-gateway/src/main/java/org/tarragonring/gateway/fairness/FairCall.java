package org.tarragonring.gateway.fairness;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import org.tarragonring.gateway.call.TokenCount;
import org.tarragonring.gateway.call.WeightKey;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.policy.config.Route;
import org.tarragonring.policy.quota.QuotaLimit;
import org.tarragonring.policy.team.Team;

/**
 * What decides about a call when capacity is insufficient. Exists only for calls that arrived while the configuration had
 * teams.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class FairCall {

    /** The size of a call that tells none, of a team without a limit that names one: a prompt of ordinary length. */
    private static final long DEFAULT_TOKENS = 1_000;

    /** Bounds what a caller can claim to use; about the largest context of models. */
    private static final long MAX_TOKENS = 1_000_000;

    final Optional<Team> team;
    final Route route;
    final ServiceName service;
    final Optional<WeightKey> weights;
    final long tokens;
    final long arrivalMillis;
    final long deadlineMillis;

    /** The position of the call among those of its team, from 0 to 1; drawn when the call is admitted. */
    double position;

    /** Whether the call was counted as one for which there was no capacity, which happens once. */
    boolean lacksCapacity;

    /** Since when the call waits for capacity, on the monotonic clock; empty if it has not waited. */
    OptionalLong waitingSinceMillis = OptionalLong.empty();

    /** Whether it waits for a load, and not for room at a replica. */
    boolean waitsForLoad;

    /** Whether a replica has begun to respond. */
    boolean served;

    /** Whether an attempt was sent with a lower urgency because of the excess of the team. */
    boolean wasDemoted;

    /**
     * Creates an instance.
     *
     * @param team the team of the caller, empty for an anonymous call; not null
     * @param route the route of the call, not null
     * @param service the service that is to run the call, not null
     * @param weights the weights that the call needs, empty if none; not null
     * @param size the size of the call as its caller tells, empty if it does not; not null
     * @param arrivalMillis the time of arrival, on the monotonic clock
     * @param deadlineMillis the time at which the call times out, on the monotonic clock
     */
    public FairCall(
            Optional<Team> team,
            Route route,
            ServiceName service,
            Optional<WeightKey> weights,
            Optional<TokenCount> size,
            long arrivalMillis,
            long deadlineMillis) {
        this.team = Objects.requireNonNull(team, "team");
        this.route = Objects.requireNonNull(route, "route");
        this.service = Objects.requireNonNull(service, "service");
        this.weights = Objects.requireNonNull(weights, "weights");
        this.tokens = Math.min(MAX_TOKENS, size.map(TokenCount::total).orElseGet(this::plainTokens));
        this.arrivalMillis = arrivalMillis;
        this.deadlineMillis = deadlineMillis;
    }

    private long plainTokens() {
        return team.flatMap(Team::quota)
                .map(QuotaLimit::plainTokens)
                .filter(plainTokens -> plainTokens > 0)
                .orElse(DEFAULT_TOKENS);
    }
}
