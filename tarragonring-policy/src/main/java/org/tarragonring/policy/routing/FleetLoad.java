package org.tarragonring.policy.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Objects;

import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.time.MonotonicClock;

/**
 * Adds up the calls that all entries have in flight at each replica, from their reports to the planning entry.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class FleetLoad {

    /** The age at which a report is discarded, three report periods: its entry may have failed. */
    private static final Duration REPORT_LIFETIME = Duration.ofMillis(1_500);

    private final MonotonicClock clock;
    private final Map<EntryId, Report> reports = new HashMap<>();
    private final Map<UpstreamId, Integer> totals = new HashMap<>();

    /**
     * Creates an instance without reports.
     *
     * @param clock the monotonic clock, not null
     */
    public FleetLoad(MonotonicClock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Adds a report, which replaces the previous one of the same entry.
     *
     * @param from the reporting entry, not null
     * @param running the number of its calls in flight by replica, not null
     */
    public void addReport(EntryId from, Map<UpstreamId, Integer> running) {
        Report report = new Report(clock.millis(), Map.copyOf(running));
        Report previous = reports.put(from, report);
        if (previous != null) {
            subtract(previous);
        }
        report.running.forEach((replica, count) -> totals.merge(replica, count, Integer::sum));
    }

    /** Discards reports that are too old. */
    public void expire() {
        for (Iterator<Report> all = reports.values().iterator(); all.hasNext(); ) {
            Report report = all.next();
            if (clock.millis() - report.receivedMillis > REPORT_LIFETIME.toMillis()) {
                subtract(report);
                all.remove();
            }
        }
    }

    /** Discards all reports. */
    public void clear() {
        reports.clear();
        totals.clear();
    }

    /**
     * Returns the number of calls in flight at a replica.
     *
     * @param replica the replica, not null
     * @return the number of calls of all entries
     */
    public int load(UpstreamId replica) {
        return totals.getOrDefault(replica, 0);
    }

    private void subtract(Report report) {
        report.running.forEach((replica, count) ->
                totals.computeIfPresent(replica, (id, total) -> total <= count ? null : total - count));
    }

    private record Report(long receivedMillis, Map<UpstreamId, Integer> running) {}
}
