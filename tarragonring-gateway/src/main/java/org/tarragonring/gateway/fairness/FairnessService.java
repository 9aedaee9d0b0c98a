package org.tarragonring.gateway.fairness;

import java.util.Objects;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

import org.tarragonring.gateway.catalog.ReplicaCatalog;
import org.tarragonring.gateway.mesh.Mesh;
import org.tarragonring.gateway.metrics.GatewayMetrics;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.policy.config.ServingConfig;
import org.tarragonring.policy.fairness.TeamExcess;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * Decides who is served when capacity is insufficient, with what entries tell each other about the use of teams.
 *
 * @since 0.2.0
 */
public final class FairnessService {

    private final Mesh mesh;
    private final ShareService shares;
    private final CallFairness calls;

    /**
     * Creates a service; {@link #start} connects it to the other entries.
     *
     * @param mesh the connection to the other entries, not null
     * @param config returns the active configuration, empty if there is none yet; not null
     * @param catalog the known replicas, not null
     * @param metrics records how calls end, not null
     * @param clock the monotonic clock, not null
     * @param timers schedules reports, not null
     * @param random returns random numbers from 0 to 1, not null
     */
    public FairnessService(
            Mesh mesh,
            Supplier<Optional<ServingConfig>> config,
            ReplicaCatalog catalog,
            GatewayMetrics metrics,
            MonotonicClock clock,
            Timers timers,
            DoubleSupplier random) {
        this.mesh = Objects.requireNonNull(mesh, "mesh");
        TeamExcess excess = new TeamExcess(clock);
        this.shares = new ShareService(ShareMessenger.of(mesh), config, excess, clock, timers);
        this.calls = new CallFairness(
                config, catalog, excess, shares, new FairnessMetrics(metrics.registry()), clock, random);
    }

    /** Starts handling the messages of other entries. */
    public void start() {
        mesh.on(PeerMessage.TeamUseReport.class, shares::onReport);
        mesh.on(PeerMessage.TeamShares.class, shares::onShares);
    }

    /** Stops reporting to other entries and coordinating them; calls are still decided on. */
    public void stop() {
        shares.stop();
    }

    /**
     * Returns the decisions on calls.
     *
     * @return the decisions, never null
     */
    public CallFairness calls() {
        return calls;
    }
}
