package org.tarragonring.policy.fairness;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.tarragonring.ids.TeamName;
import org.tarragonring.time.MonotonicClock;

/**
 * Knows which teams use more than their fair share, as told by the share coordinator.
 *
 * <p>Of a team that uses a multiple of its share, the part that exceeds the share is demoted, not all of it: the team keeps its
 * share, and its calls do not alternate between all and none being demoted.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class TeamExcess {

    /** The age at which shares are dropped: the coordinator repeats them each second, and one message may be lost. */
    public static final long MAX_AGE_MILLIS = 2_000;

    /**
     * The part of the calls within the share that is not passed by more urgent ones. Each kind of call and each team is to be
     * served at least a quarter as often as all calls: with half of all calls served, that is one in eight.
     */
    static final double RESERVED_FRACTION = 0.125;

    private final MonotonicClock clock;
    private Map<TeamName, Double> factors = Map.of();
    private boolean shortage;
    private long receivedMillis;

    /**
     * Creates an instance that knows of no shortage.
     *
     * @param clock the monotonic clock, not null
     */
    public TeamExcess(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Replaces what is known.
     *
     * @param newShortage whether there is too little capacity for all calls
     * @param aboveShare the teams above their share, each with its use divided by its share; not null
     */
    public void update(boolean newShortage, Map<TeamName, Double> aboveShare) {
        shortage = newShortage;
        factors = newShortage ? Map.copyOf(aboveShare) : Map.of();
        receivedMillis = clock.millis();
    }

    /**
     * Drops what is too old, after which all teams count as equal.
     *
     * @return true if a shortage was known until now and is dropped
     */
    public boolean expire() {
        if (shortage && clock.millis() - receivedMillis > MAX_AGE_MILLIS) {
            shortage = false;
            factors = Map.of();
            return true;
        }
        return false;
    }

    /**
     * Checks if there is too little capacity for all calls.
     *
     * @return true during a shortage of which the coordinator has told within {@value #MAX_AGE_MILLIS} ms
     */
    public boolean isShortage() {
        return shortage && clock.millis() - receivedMillis <= MAX_AGE_MILLIS;
    }

    /**
     * Returns how far a team exceeds its share.
     *
     * @param team the team, not null
     * @return its use divided by its share, 1 if it does not exceed the share or if there is no shortage
     */
    public double factor(TeamName team) {
        return isShortage() ? Math.max(1, factors.getOrDefault(team, 1.0)) : 1;
    }

    /**
     * Checks if a call belongs to the excess of its team.
     *
     * @param team the team, not null
     * @param position the position of the call among those of its team, from 0 to 1; random, and the same at each check
     * @return true if the calls before that position use up the share
     */
    public boolean isDemoted(TeamName team, double position) {
        return position * factor(team) >= 1;
    }

    /**
     * Checks if a call is among those that keep its kind from starving while there is more demand for urgent calls than capacity.
     *
     * @param team the team, empty for an anonymous call; not null
     * @param position the position of the call among those of its team, from 0 to 1; random, and the same at each check
     * @return true for a fixed part of the calls within the share during a shortage
     */
    public boolean isReserved(Optional<TeamName> team, double position) {
        return isShortage() && position * team.map(this::factor).orElse(1.0) < RESERVED_FRACTION;
    }
}
