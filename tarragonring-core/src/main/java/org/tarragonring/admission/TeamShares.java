package org.tarragonring.admission;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.tarragonring.ids.TeamName;

/**
 * Divides an entry's calls in flight between teams: a team may use what others leave, and an entry that is full
 * still takes calls of teams that are below their share.
 *
 * @since 0.1.0
 */
public final class TeamShares {

    private final int capacity;
    private final AtomicInteger total = new AtomicInteger();
    private final Map<TeamName, AtomicInteger> inFlight = new ConcurrentHashMap<>();

    /**
     * Creates shares without calls.
     *
     * @param capacity the calls that the entry takes at once
     */
    public TeamShares(int capacity) {
        if (capacity < 1) {
            throw new IllegalArgumentException("capacity is less than 1: " + capacity);
        }
        this.capacity = capacity;
    }

    /**
     * Takes a place for a call.
     *
     * @param team the team, not null
     * @param granted the calls that the team's grants allow
     * @param grantedToAll the calls that all grants allow
     * @return true if the call may come in; {@link #release} must follow when it ends
     */
    public boolean tryAcquire(TeamName team, int granted, int grantedToAll) {
        AtomicInteger mine = inFlight.computeIfAbsent(team, key -> new AtomicInteger());
        if (total.incrementAndGet() <= capacity) {
            mine.incrementAndGet();
            return true;
        }
        int share = grantedToAll == 0 ? 0 : (int) ((long) capacity * granted / grantedToAll);
        if (mine.incrementAndGet() <= share) {
            return true;
        }
        mine.decrementAndGet();
        total.decrementAndGet();
        return false;
    }

    /**
     * Gives a call's place back.
     *
     * @param team the team, not null
     */
    public void release(TeamName team) {
        inFlight.get(team).decrementAndGet();
        total.decrementAndGet();
    }

    /**
     * Returns the calls in flight.
     *
     * @return 0 or more
     */
    public int total() {
        return total.get();
    }
}
