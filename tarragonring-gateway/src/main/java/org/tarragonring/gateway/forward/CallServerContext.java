package org.tarragonring.gateway.forward;

import java.util.concurrent.CompletableFuture;
import java.util.function.DoubleSupplier;
import java.util.function.Function;

import io.vertx.core.Vertx;
import org.tarragonring.gateway.call.CallCodec;
import org.tarragonring.gateway.catalog.LeavingReplicas;
import org.tarragonring.gateway.catalog.ReplicaCatalog;
import org.tarragonring.gateway.mesh.Mesh;
import org.tarragonring.gateway.metrics.GatewayMetrics;
import org.tarragonring.gateway.quota.QuotaService;
import org.tarragonring.gateway.streams.ServingVersions;
import org.tarragonring.gateway.streams.StreamVersions;
import org.tarragonring.gateway.team.CallAuthenticator;
import org.tarragonring.ids.HostPort;
import org.tarragonring.policy.hedge.HedgeSettings;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.routing.Ejections;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * The collaborators of a call server.
 *
 * @param vertx the Vert.x instance that runs the server, not null
 * @param address the address to listen on, not null
 * @param failureDomain this entry's failure domain, not null
 * @param codec reads and writes the headers of calls, not null
 * @param catalog the known replicas, not null
 * @param ejections the failing replicas that get no calls, not null
 * @param mesh the connection to the other entries, not null
 * @param streamVersions knows which software version began a stream, not null
 * @param servingVersions knows which software versions may have begun streams, not null
 * @param processCheck asks a replica whether it still runs the known process; never fails, not null
 * @param leavingReplicas receives the announcements of replicas that are about to shut down, not null
 * @param clock the monotonic clock, not null
 * @param timers schedules timeouts and periodic reports, not null
 * @param random returns random numbers from 0 to 1, not null
 * @param metrics records metrics of calls, not null
 * @param authenticator finds the team of each call, not null
 * @param quotas holds the limits of teams, not null
 * @param hedging the limit for second attempts of slow calls, not null
 * @since 0.2.0
 */
public record CallServerContext(
        Vertx vertx,
        HostPort address,
        String failureDomain,
        CallCodec codec,
        ReplicaCatalog catalog,
        Ejections ejections,
        Mesh mesh,
        StreamVersions streamVersions,
        ServingVersions servingVersions,
        Function<ReplicaState, CompletableFuture<Boolean>> processCheck,
        LeavingReplicas leavingReplicas,
        MonotonicClock clock,
        Timers timers,
        DoubleSupplier random,
        GatewayMetrics metrics,
        CallAuthenticator authenticator,
        QuotaService quotas,
        HedgeSettings hedging) {}
