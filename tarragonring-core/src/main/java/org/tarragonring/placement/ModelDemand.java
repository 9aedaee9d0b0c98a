package org.tarragonring.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.tarragonring.ids.EntryId;
import org.tarragonring.peer.PeerMessage;

/**
 * Adds up how much all entries need a model. Not safe for use by several threads.
 *
 * @since 0.1.0
 */
public final class ModelDemand {

    private static final long FRESH_MILLIS = 6_000;
    private static final long SUBSCRIBED_MILLIS = 60_000;

    private final Map<EntryId, Report> reports = new HashMap<>();
    private final GapHistory gaps = new GapHistory();
    private long lastUseMillis = Long.MIN_VALUE;

    /**
     * Takes an entry's report.
     *
     * @param from the entry, not null
     * @param demand its report, not null
     * @param nowMillis the monotonic clock
     */
    public void report(EntryId from, PeerMessage.Demand demand, long nowMillis) {
        reports.put(from, new Report(demand.queued(), demand.inFlight(), nowMillis));
        boolean used = demand.arrivals() > 0 || demand.queued() > 0 || demand.inFlight() > 0;
        if (!used) {
            return;
        }
        if (demand.arrivals() > 0 && lastUseMillis != Long.MIN_VALUE) {
            long gapMillis = nowMillis - lastUseMillis;
            if (gapMillis > FRESH_MILLIS) {
                gaps.add(Duration.ofMillis(gapMillis));
            }
        }
        lastUseMillis = nowMillis;
    }

    /**
     * Returns the calls that wait or run on all entries.
     *
     * @param nowMillis the monotonic clock
     * @return 0 or more; reports that are no longer fresh do not count
     */
    public int calls(long nowMillis) {
        return reports.values().stream()
                .filter(r -> nowMillis - r.atMillis < FRESH_MILLIS)
                .mapToInt(r -> r.queued + r.inFlight)
                .sum();
    }

    /**
     * Returns the entries that want to hear of changes.
     *
     * @param nowMillis the monotonic clock
     * @return those that reported lately
     */
    public List<EntryId> subscribers(long nowMillis) {
        reports.values().removeIf(r -> nowMillis - r.atMillis >= SUBSCRIBED_MILLIS);
        return new ArrayList<>(reports.keySet());
    }

    /**
     * Returns how long the model has not been used.
     *
     * @param nowMillis the monotonic clock
     * @param sinceMillis when the home began to look after the model, which counts as a use
     * @return the time since the last use
     */
    public Duration idle(long nowMillis, long sinceMillis) {
        return Duration.ofMillis(nowMillis - Math.max(lastUseMillis, sinceMillis));
    }

    /**
     * Returns the quiet spells seen so far.
     *
     * @return the history, never null
     */
    public GapHistory gaps() {
        return gaps;
    }

    private record Report(int queued, int inFlight, long atMillis) {}
}
