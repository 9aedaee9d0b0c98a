package org.tarragonring.caller;

import java.util.List;
import java.util.function.BooleanSupplier;
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
import org.tarragonring.spread.FailureReports;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.upstream.UpstreamClient;
import org.tarragonring.upstream.UpstreamDirectory;

/**
 * Groups the components that the processing of a call depends on.
 *
 * @param config the active configuration, not null
 * @param dispatchers assign calls to replicas, not null
 * @param adapters loads adapters, not null
 * @param claims stores which non-idempotent calls were started, and their responses, by idempotency key; not null
 * @param upstreamClient sends calls to upstreams, not null
 * @param directory lists the known upstreams, not null
 * @param ejections tracks the failing upstreams that receive no calls, not null
 * @param quarantine tracks requests whose replicas failed while running them, not null
 * @param failureReports records and shares which requests ran on an upstream that failed, not null
 * @param retryBudget limits retries, not null
 * @param teamShares divides the entry's capacity between teams, not null
 * @param homeEntries returns the entries to which callers of a model should connect, best first; not null
 * @param ready returns whether the entry has a configuration that it may use to serve calls, not null
 * @param shuttingDown returns whether the entry is shutting down, not null
 * @param callIds generates call ids, not null
 * @param clock the monotonic clock, not null
 * @param metrics records call metrics, not null
 * @param limits limits callers' requests, not null
 * @since 0.1.0
 */
public record CallDependencies(
        ConfigHolder config,
        ModelDispatchers dispatchers,
        AdapterLoader adapters,
        ClaimStore claims,
        UpstreamClient upstreamClient,
        UpstreamDirectory directory,
        Ejections ejections,
        Quarantine quarantine,
        FailureReports failureReports,
        RetryBudget retryBudget,
        TeamShares teamShares,
        Function<ModelName, List<Member>> homeEntries,
        BooleanSupplier ready,
        BooleanSupplier shuttingDown,
        Supplier<CallId> callIds,
        MonotonicClock clock,
        CallMetrics metrics,
        CallerLimits limits) {}
