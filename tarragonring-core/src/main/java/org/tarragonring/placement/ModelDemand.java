package org.tarragonring.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.tarragonring.ids.EntryId;
import org.tarragonring.peer.PeerMessage;

/**
 * Aggregates the demand for one model that the entries report. Not thread-safe.
 *
 * @since 0.1.0
 */
public final class ModelDemand {

    private static final long REPORT_VALIDITY_MILLIS = 6_000;
    private static final long SUBSCRIPTION_MILLIS = 60_000;

    private final Map<EntryId, Report> reports = new HashMap<>();
    private final IdlePeriodHistory idlePeriods = new IdlePeriodHistory();
    private long lastUseAtMillis = Long.MIN_VALUE;

    /**
     * Replaces an entry's previous demand report, and records an idle period if this report ends one that was longer
     * than the validity of a report.
     *
     * @param from the reporting entry, not null
     * @param demand the report, not null
     * @param nowMillis the current time in milliseconds on the monotonic clock
     */
    public void report(EntryId from, PeerMessage.Demand demand, long nowMillis) {
        reports.put(from, new Report(demand.queued(), demand.inFlight(), nowMillis));
        boolean used = demand.arrivals() > 0 || demand.queued() > 0 || demand.inFlight() > 0;
        if (!used) {
            return;
        }
        if (demand.arrivals() > 0 && lastUseAtMillis != Long.MIN_VALUE) {
            long idlePeriodMillis = nowMillis - lastUseAtMillis;
            if (idlePeriodMillis > REPORT_VALIDITY_MILLIS) {
                idlePeriods.add(Duration.ofMillis(idlePeriodMillis));
            }
        }
        lastUseAtMillis = nowMillis;
    }

    /**
     * Returns the number of calls queued or running on all entries.
     *
     * @param nowMillis the current time in milliseconds on the monotonic clock
     * @return the number of calls, 0 or more; reports that have expired are not counted
     */
    public int calls(long nowMillis) {
        return reports.values().stream()
                .filter(r -> nowMillis - r.receivedAtMillis < REPORT_VALIDITY_MILLIS)
                .mapToInt(r -> r.queued + r.inFlight)
                .sum();
    }

    /**
     * Returns the entries that receive updates of the model's placement, and discards entries whose subscription has
     * expired.
     *
     * @param nowMillis the current time in milliseconds on the monotonic clock
     * @return the entries that sent a report within the subscription period
     */
    public List<EntryId> subscribers(long nowMillis) {
        reports.values().removeIf(r -> nowMillis - r.receivedAtMillis >= SUBSCRIPTION_MILLIS);
        return new ArrayList<>(reports.keySet());
    }

    /**
     * Returns how long the model has been idle.
     *
     * @param nowMillis the current time in milliseconds on the monotonic clock
     * @param createdAtMillis the time at which the model's coordinator was created, which counts as a use, in
     *     milliseconds on the monotonic clock
     * @return the time since the last use, never null
     */
    public Duration idleTime(long nowMillis, long createdAtMillis) {
        return Duration.ofMillis(nowMillis - Math.max(lastUseAtMillis, createdAtMillis));
    }

    /**
     * Returns the model's recorded idle periods.
     *
     * @return the history, never null
     */
    public IdlePeriodHistory idlePeriods() {
        return idlePeriods;
    }

    private record Report(int queued, int inFlight, long receivedAtMillis) {}
}
