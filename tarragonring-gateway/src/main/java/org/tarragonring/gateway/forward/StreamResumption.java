package org.tarragonring.gateway.forward;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import org.tarragonring.gateway.call.CallHead;
import org.tarragonring.gateway.catalog.ReplicaCatalog;
import org.tarragonring.gateway.streams.ServingVersions;
import org.tarragonring.gateway.streams.StreamVersions;
import org.tarragonring.ids.SoftwareVersion;
import org.tarragonring.ids.StreamId;
import org.tarragonring.policy.config.RouteKind;
import org.tarragonring.policy.replica.ReplicaProcess;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.policy.streams.StreamSlot;

/**
 * Keeps streams at the version of the replicas' software that began them, in one response and over several calls.
 *
 * <p>Not thread-safe.
 */
final class StreamResumption {

    private final StreamVersions versions;
    private final ServingVersions servingVersions;
    private final ReplicaCatalog catalog;
    private final Function<ReplicaState, CompletableFuture<Boolean>> processCheck;

    /**
     * Creates an instance.
     *
     * @param versions knows which version began a stream, not null
     * @param servingVersions knows which versions may have begun streams, not null
     * @param catalog the known replicas, not null
     * @param processCheck asks a replica whether it still runs the known process; never fails, not null
     */
    StreamResumption(
            StreamVersions versions,
            ServingVersions servingVersions,
            ReplicaCatalog catalog,
            Function<ReplicaState, CompletableFuture<Boolean>> processCheck) {
        this.versions = Objects.requireNonNull(versions, "versions");
        this.servingVersions = Objects.requireNonNull(servingVersions, "servingVersions");
        this.catalog = Objects.requireNonNull(catalog, "catalog");
        this.processCheck = Objects.requireNonNull(processCheck, "processCheck");
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
                        : servingVersions.onlyVersion(
                                exchange.service, firstCall(exchange).map(id -> slot(exchange, id))));
    }

    /**
     * Returns whether a replica must be asked for its process before it continues a stream: while the replica list may be
     * out of date, the replica may have started again with other software.
     */
    boolean mustCheckProcess(Exchange exchange) {
        return exchange.hasBegun() && !catalog.isListCurrent();
    }

    /**
     * Asks a replica whether it still runs the known process. As the connection for the call is open by then, and would not
     * outlive the process, the answer holds for the call.
     *
     * @return true if so, false if the replica does not tell; never fails
     */
    CompletableFuture<Boolean> checkProcess(ReplicaState replica) {
        return processCheck.apply(replica);
    }

    /** Returns whether a call begins a stream that may be resumed, so that the version that begins it must be known later. */
    boolean beginsStream(Exchange exchange) {
        return exchange.route.resumable() && !exchange.hasBegun();
    }

    /** Returns whether a call may be sent to a replica: a resumable stream begins where the record of versions says. */
    boolean mayBegin(Exchange exchange, ReplicaState replica) {
        return !beginsStream(exchange)
                || replica.process()
                        .software()
                        .map(version -> servingVersions.mayBegin(exchange.service, slotOfNew(exchange), version))
                        .orElse(true);
    }

    /** Returns whether the version of a replica's software is recorded, though perhaps not for the slot of the stream. */
    boolean isRecorded(ReplicaState replica) {
        return replica.process()
                .software()
                .map(version -> servingVersions.isRecorded(replica.listed().service(), version))
                .orElse(true);
    }

    /** Returns whether the streams of the call's slot may be moved to the version of a replica, only as that suits better. */
    boolean isMovable(Exchange exchange, ReplicaState replica) {
        return replica.process()
                .software()
                .map(version -> servingVersions.isMovable(exchange.service, slotOfNew(exchange), version))
                .orElse(false);
    }

    /**
     * Records the version of a replica's software, so that streams may begin there.
     *
     * @return whether the version is recorded now; never fails
     */
    CompletableFuture<Boolean> recordVersion(ReplicaState replica) {
        return replica.process()
                .software()
                .map(version -> servingVersions.record(replica.listed().service(), version))
                .orElse(CompletableFuture.completedFuture(true));
    }

    /**
     * Records that the streams of the call's slot begin at the version of a replica's software.
     *
     * @return whether that is recorded now; never fails
     */
    CompletableFuture<Boolean> allow(Exchange exchange, ReplicaState replica) {
        return replica.process()
                .software()
                .map(version -> servingVersions.allow(exchange.service, slotOfNew(exchange), version))
                .orElse(CompletableFuture.completedFuture(true));
    }

    private static StreamSlot slotOfNew(Exchange exchange) {
        return slot(exchange, new StreamId(exchange.head.id()));
    }

    private static StreamSlot slot(Exchange exchange, StreamId streamId) {
        return StreamSlot.of(exchange.head.model(), streamId);
    }

    /** Ties the stream to the process that sends its first event, and to the version of its software. */
    void onFirstEvent(Exchange exchange, ReplicaProcess process) {
        if (!exchange.route.resumable()) {
            return;
        }
        exchange.begunBy(process);
        process.software()
                .ifPresent(version ->
                        versions.onBegun(firstCall(exchange).orElse(new StreamId(exchange.head.id())), version));
    }

    private static Optional<StreamId> firstCall(Exchange exchange) {
        return exchange.head.resumedStream().flatMap(CallHead.ResumedStream::firstCall);
    }
}
