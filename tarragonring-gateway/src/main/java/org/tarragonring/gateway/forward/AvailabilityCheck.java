package org.tarragonring.gateway.forward;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.tarragonring.gateway.catalog.ReplicaCatalog;
import org.tarragonring.gateway.fairness.CallFairness;

/** Finds out whether it is known that no replica will be able to run a call for which there is none now. */
final class AvailabilityCheck {

    private final ReplicaCatalog catalog;
    private final CallFairness fairness;

    AvailabilityCheck(ReplicaCatalog catalog, CallFairness fairness) {
        this.catalog = Objects.requireNonNull(catalog, "catalog");
        this.fairness = Objects.requireNonNull(fairness, "fairness");
    }

    /** Returns why a call is refused, empty if it waits until its weights are resident. */
    Optional<QuarantineCheck.Refusal> refusal(Exchange exchange, long defaultRetryAfterMillis) {
        Optional<Duration> pause = catalog.pause(exchange.service);
        if (pause.isPresent()) {
            return Optional.of(new QuarantineCheck.Refusal(
                    "all replicas of the service ask for a pause", fairness.refuse(exchange.fairCall, pause.get())));
        }
        if (exchange.hasBegun() && catalog.usable(exchange.service).stream().noneMatch(exchange::isContinuedBy)) {
            return Optional.of(new QuarantineCheck.Refusal(
                    "no replica that can continue the stream is available", defaultRetryAfterMillis));
        }
        if (exchange.weights.isPresent()) {
            return Optional.empty();
        }
        return Optional.of(new QuarantineCheck.Refusal(
                "no available replica of service %s".formatted(exchange.service),
                fairness.refuse(exchange.fairCall, defaultRetryAfterMillis)));
    }
}
