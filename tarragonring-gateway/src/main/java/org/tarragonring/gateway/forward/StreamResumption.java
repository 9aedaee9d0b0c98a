package org.tarragonring.gateway.forward;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.tarragonring.gateway.call.CallHead;
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
    private final InstantSource wallClock;

    StreamResumption(StreamVersions versions, ReplicaCatalog catalog, InstantSource wallClock) {
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
                .thenApply(version -> version.or(() -> onlyVersion(exchange)));
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
