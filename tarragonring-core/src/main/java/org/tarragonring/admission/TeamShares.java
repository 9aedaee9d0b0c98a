package org.tarragonring.admission;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.tarragonring.ids.TeamName;

/**
 * Divides an entry's capacity for calls between teams. While the entry has free capacity, any team may use it. An entry
 * at capacity still accepts calls of teams that are below their share, so it can temporarily exceed its capacity.
 * Thread-safe.
 *
 * @since 0.1.0
 */
public final class TeamShares {

    private final int capacity;
    private final AtomicInteger totalInFlight = new AtomicInteger();
    private final Map<TeamName, AtomicInteger> inFlightByTeam = new ConcurrentHashMap<>();

    /**
     * Creates an instance without calls in flight.
     *
     * @param capacity the maximum number of calls in flight, except for calls of teams below their share; at least 1
     * @throws IllegalArgumentException if the capacity is less than 1
     */
    public TeamShares(int capacity) {
        if (capacity < 1) {
            throw new IllegalArgumentException("capacity %d is less than 1".formatted(capacity));
        }
        this.capacity = capacity;
    }

    /**
     * Tries to acquire capacity for a call.
     *
     * @param team the team, not null
     * @param teamGrantedCalls the number of calls in the grants of the team
     * @param totalGrantedCalls the number of calls in the grants of all teams, 0 if there are no grants
     * @return true if the call is accepted, in which case {@link #release} must be invoked when the call ends
     */
    public boolean tryAcquire(TeamName team, int teamGrantedCalls, int totalGrantedCalls) {
        AtomicInteger teamInFlight = inFlightByTeam.computeIfAbsent(team, key -> new AtomicInteger());
        if (totalInFlight.incrementAndGet() <= capacity) {
            teamInFlight.incrementAndGet();
            return true;
        }
        int share = totalGrantedCalls == 0 ? 0 : (int) ((long) capacity * teamGrantedCalls / totalGrantedCalls);
        if (teamInFlight.incrementAndGet() <= share) {
            return true;
        }
        teamInFlight.decrementAndGet();
        totalInFlight.decrementAndGet();
        return false;
    }

    /**
     * Releases the capacity of a call that ended.
     *
     * @param team the team of the call, not null
     */
    public void release(TeamName team) {
        inFlightByTeam.get(team).decrementAndGet();
        totalInFlight.decrementAndGet();
    }

    /**
     * Returns the number of calls in flight of all teams.
     *
     * @return the number of calls, 0 or more
     */
    public int totalInFlight() {
        return totalInFlight.get();
    }
}
