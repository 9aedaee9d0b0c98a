package org.tarragonring.gateway.forward;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.tarragonring.gateway.catalog.ReplicaCatalog;
import org.tarragonring.gateway.routing.UnevenRouting;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.policy.streams.SlotMoves;

/**
 * Selects the replica to which a call is sent.
 *
 * <p>Not thread-safe.
 */
final class ReplicaSelector {

    private final ReplicaCatalog catalog;
    private final UnevenRouting routing;
    private final StreamResumption resumption;

    /**
     * Creates an instance.
     *
     * @param catalog the known replicas, not null
     * @param routing chooses one of several replicas, not null
     * @param resumption keeps streams at the software version that began them, not null
     */
    ReplicaSelector(ReplicaCatalog catalog, UnevenRouting routing, StreamResumption resumption) {
        this.catalog = Objects.requireNonNull(catalog, "catalog");
        this.routing = Objects.requireNonNull(routing, "routing");
        this.resumption = Objects.requireNonNull(resumption, "resumption");
    }

    /**
     * Selects a replica. If the one that suits best runs software at which the stream may not begin yet, another one is
     * selected if there is any.
     */
    Selection select(Exchange exchange) {
        List<ReplicaState> able = exchange.weights.isPresent()
                ? catalog.ableToRun(exchange.weights.get())
                : catalog.usable(exchange.service);
        List<ReplicaState> eligible =
                able.stream().filter(exchange::isContinuedBy).toList();
        List<ReplicaState> untried = eligible.stream()
                .filter(replica -> !exchange.failedReplicas.contains(replica.id()))
                .toList();
        Optional<ReplicaState> best = routing.pick(untried, exchange.profile());
        Optional<ReplicaState> notAllowed = best.filter(replica -> !resumption.mayBegin(exchange, replica));
        Optional<ReplicaState> picked = notAllowed.isEmpty() ? best : pickAllowed(exchange, untried);
        return new Selection(
                picked, notAllowed.flatMap(replica -> change(exchange, picked, replica)), !eligible.isEmpty());
    }

    /** Returns what is to be recorded so that a stream may begin at the replica that suits best. */
    private Optional<Change> change(Exchange exchange, Optional<ReplicaState> picked, ReplicaState best) {
        if (picked.isEmpty()) {
            return Optional.of(new Change(best, Change.Kind.REQUIRED));
        }
        if (!resumption.isRecorded(best)) {
            return Optional.of(new Change(best, Change.Kind.VERSION_ONLY));
        }
        boolean isWorthwhile = resumption.isMovable(exchange, best)
                && SlotMoves.isWorthwhile(picked.get().inFlight(), best.inFlight());
        return isWorthwhile ? Optional.of(new Change(best, Change.Kind.PREFERRED)) : Optional.empty();
    }

    /**
     * Selects a second replica for a call that another replica still works on: one of another failure domain if possible,
     * which does not load a model meanwhile.
     *
     * @return the replica, empty if no other one can run the call at once
     */
    Optional<ReplicaState> selectSecond(Exchange exchange) {
        List<ReplicaState> able = exchange.weights.isPresent()
                ? catalog.ableToRun(exchange.weights.get())
                : catalog.usable(exchange.service);
        List<ReplicaState> others = able.stream()
                .filter(replica -> !replica.id().equals(exchange.replica.id()))
                .filter(replica -> !exchange.failedReplicas.contains(replica.id()))
                .filter(replica -> replica.loading().isEmpty() && mayRun(exchange, replica))
                .toList();
        String firstDomain = exchange.replica.listed().failureDomain();
        List<ReplicaState> elsewhere = others.stream()
                .filter(replica -> !replica.listed().failureDomain().equals(firstDomain))
                .toList();
        return routing.pick(elsewhere.isEmpty() ? others : elsewhere, exchange.profile());
    }

    /** Returns whether a call may be sent to the replica that was selected for it, which may have changed since then. */
    boolean mayRun(Exchange exchange, ReplicaState replica) {
        return catalog.isUsable(replica) && exchange.isContinuedBy(replica) && resumption.mayBegin(exchange, replica);
    }

    private Optional<ReplicaState> pickAllowed(Exchange exchange, List<ReplicaState> candidates) {
        List<ReplicaState> allowed = candidates.stream()
                .filter(replica -> resumption.mayBegin(exchange, replica))
                .toList();
        return routing.pick(allowed, exchange.profile());
    }

    /**
     * The result of a selection.
     *
     * @param picked the replica to which the call is sent, empty if there is none now
     * @param change what is to be recorded so that a stream may begin at a replica that suits better or alone; empty if
     *     nothing is
     * @param isAnyEligible whether a replica can run the call, possibly one that has failed it before
     */
    record Selection(Optional<ReplicaState> picked, Optional<Change> change, boolean isAnyEligible) {}

    /**
     * A change of the record of versions.
     *
     * @param replica the replica at whose version the stream may not begin yet
     * @param kind why the record is to be changed
     */
    record Change(ReplicaState replica, Kind kind) {

        /** Why the record is to be changed. */
        enum Kind {
            /** The stream can begin nowhere else. */
            REQUIRED,
            /** The replica has far fewer calls than the one that was picked. */
            PREFERRED,
            /** The version is new; the stream begins at the replica that was picked. */
            VERSION_ONLY
        }
    }
}
