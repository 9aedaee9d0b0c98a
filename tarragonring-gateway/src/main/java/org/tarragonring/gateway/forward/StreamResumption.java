package org.tarragonring.gateway.forward;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.tarragonring.gateway.call.CallHead;
import org.tarragonring.gateway.catalog.CurrentReplicas;
import org.tarragonring.gateway.catalog.ReplicaCatalog;
import org.tarragonring.gateway.streams.StreamVersions;
import org.tarragonring.ids.CallId;
import org.tarragonring.ids.SoftwareVersion;
import org.tarragonring.policy.config.RouteKind;

/**
 * Keeps streams at the version of the replicas' software that began them, in one response and over several calls.
 *
 * <p>Not thread-safe.
 */
final class StreamResumption {

    /** Added to the time for which a stream may last, as the times of day of entries and replicas differ. */
    private static final Duration CLOCK_MARGIN = Duration.ofSeconds(3);

    private final StreamVersions versions;
    private final ReplicaCatalog catalog;
    private final CurrentReplicas currentReplicas;
    private final InstantSource wallClock;

    StreamResumption(
            StreamVersions versions, ReplicaCatalog catalog, CurrentReplicas currentReplicas, InstantSource wallClock) {
        this.currentReplicas = Objects.requireNonNull(currentReplicas, "currentReplicas");
        this.versions = Objects.requireNonNull(versions, "versions");
        this.catalog = Objects.requireNonNull(catalog, "catalog");
        this.wallClock = Objects.requireNonNull(wallClock, "wallClock");
    }

    /** Returns whether a call takes up a stream that has begun in another call. */
    boolean isResumedByCaller(Exchange exchange) {
        return exchange.route.kind() == RouteKind.STREAM
                && exchange.head.resumedStream().isPresent();
    }

    /** Finds the version that began the stream which a call takes up; empty if it is not known. */
    CompletableFuture<Optional<SoftwareVersion>> findVersion(Exchange exchange) {
        return firstCall(exchange)
                .map(versions::find)
                .orElse(CompletableFuture.completedFuture(Optional.empty()))
                .thenCompose(version -> version.isPresent()
                        ? CompletableFuture.completedFuture(version)
                        : confirmedOnlyVersion(exchange));
    }

    /**
     * Returns the only version that the catalog knows if the store confirms it: an entry that was suspended or cut off
     * does not know the replicas of a newer version that joined meanwhile, and the stream may have begun at one.
     */
    private CompletableFuture<Optional<SoftwareVersion>> confirmedOnlyVersion(Exchange exchange) {
        Optional<SoftwareVersion> only = onlyVersion(exchange);
        if (only.isEmpty()) {
            return CompletableFuture.completedFuture(only);
        }
        return currentReplicas
                .read()
                .thenApply(replicas -> replicas.isPresent()
                                && replicas.get().stream()
                                        .filter(replica -> replica.service().equals(exchange.service))
                                        .allMatch(replica -> replica.software().equals(only.get()))
                        ? only
                        : Optional.empty());
    }

    /** Returns the version of all replicas, if none of another one has served since the stream can have begun. */
    private Optional<SoftwareVersion> onlyVersion(Exchange exchange) {
        return catalog.onlyVersion(
                exchange.service, wallClock.millis(), exchange.route.timeout().plus(CLOCK_MARGIN));
    }

    /** Ties the stream to the version of the replica that sends its first event. */
    void onFirstEvent(Exchange exchange) {
        if (exchange.route.resumable()) {
            SoftwareVersion version = exchange.replica.listed().software();
            exchange.software = Optional.of(version);
            versions.onBegun(firstCall(exchange).orElse(new CallId(exchange.head.id())), version);
        }
    }

    private static Optional<CallId> firstCall(Exchange exchange) {
        return exchange.head.resumedStream().flatMap(CallHead.ResumedStream::firstCall);
    }
}
