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
 * What the dispatchers of an entry work with.
 *
 * @param clock the monotonic clock, not null
 * @param picker picks replicas, not null
 * @param ejections keeps calls away from failing upstreams, not null
 * @param mayGetCall says which upstreams may get a call now, not null
 * @param failureDomainOf tells an upstream's failure domain, not null
 * @param demand takes reports for the model's home, not null
 * @param limits the bounds, not null
 * @since 0.1.0
 */
public record DispatchContext(
        MonotonicClock clock,
        TargetPicker picker,
        Ejections ejections,
        Predicate<UpstreamId> mayGetCall,
        Function<UpstreamId, String> failureDomainOf,
        Consumer<PeerMessage.Demand> demand,
        DispatchLimits limits) {}
