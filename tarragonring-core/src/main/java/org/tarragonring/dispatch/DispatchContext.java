package org.tarragonring.dispatch;

import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;

import org.tarragonring.ids.UpstreamId;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.routing.Ejections;
import org.tarragonring.routing.TargetPicker;
import org.tarragonring.time.MonotonicClock;

/**
 * Holds the dependencies of an entry's dispatchers.
 *
 * @param clock the monotonic clock, not null
 * @param picker chooses the replica of a call, not null
 * @param ejections tracks failing upstreams, which temporarily get no calls; not null
 * @param isAvailable tests whether an upstream may currently get calls, not null
 * @param failureDomainOf returns the failure domain of an upstream, not null
 * @param demandReporter sends a demand report to the home entry of its model, not null
 * @param limits the queue limit and the report intervals, not null
 * @since 0.1.0
 */
public record DispatchContext(
        MonotonicClock clock,
        TargetPicker picker,
        Ejections ejections,
        Predicate<UpstreamId> isAvailable,
        Function<UpstreamId, String> failureDomainOf,
        Consumer<PeerMessage.Demand> demandReporter,
        DispatchLimits limits) {}
