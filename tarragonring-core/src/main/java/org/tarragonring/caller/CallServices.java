package org.tarragonring.caller;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

import org.tarragonring.admission.RetryBudget;
import org.tarragonring.admission.TeamShares;
import org.tarragonring.claim.ClaimStore;
import org.tarragonring.config.ConfigHolder;
import org.tarragonring.dispatch.AdapterLoader;
import org.tarragonring.dispatch.ModelDispatchers;
import org.tarragonring.ids.CallId;
import org.tarragonring.ids.ModelName;
import org.tarragonring.peer.Member;
import org.tarragonring.routing.Ejections;
import org.tarragonring.routing.Quarantine;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.upstream.UpstreamClient;
import org.tarragonring.upstream.UpstreamDirectory;

/**
 * What calls work with.
 *
 * @param config the configuration in force, not null
 * @param dispatchers bring calls to replicas, not null
 * @param adapters load adapters, not null
 * @param claims keep non-idempotent calls, not null
 * @param client sends calls to upstreams, not null
 * @param directory the upstreams, not null
 * @param ejections keep calls away from failing upstreams, not null
 * @param quarantine knows crashing requests, not null
 * @param suspects is told of a request that was in flight on an upstream that died, as a notice subject; not null
 * @param retries bounds retries, not null
 * @param shares divides the entry between teams, not null
 * @param homes tells where callers of a model should connect, best first, not null
 * @param ready says if the entry holds a configuration that it may serve by, not null
 * @param leaving says if the entry is shutting down, not null
 * @param callIds makes call ids, not null
 * @param clock the monotonic clock, not null
 * @param metrics counts calls, not null
 * @param limits bounds requests, not null
 * @since 0.1.0
 */
public record CallServices(
        ConfigHolder config,
        ModelDispatchers dispatchers,
        AdapterLoader adapters,
        ClaimStore claims,
        UpstreamClient client,
        UpstreamDirectory directory,
        Ejections ejections,
        Quarantine quarantine,
        Consumer<String> suspects,
        RetryBudget retries,
        TeamShares shares,
        Function<ModelName, List<Member>> homes,
        BooleanSupplier ready,
        BooleanSupplier leaving,
        Supplier<CallId> callIds,
        MonotonicClock clock,
        CallMetrics metrics,
        CallerLimits limits) {}
