package org.tarragonring.gateway.forward;

import java.util.Objects;
import java.util.Optional;

import org.tarragonring.gateway.metrics.GatewayMetrics;
import org.tarragonring.gateway.quarantine.RequestQuarantine;
import org.tarragonring.log.LogEvent;
import org.tarragonring.routing.Quarantine;
import org.tarragonring.routing.Suspect;

/**
 * Decides before each attempt whether a call is refused as its request, or a part of its prompt, makes replicas fail.
 *
 * <p>Not thread-safe.
 */
final class QuarantineCheck {

    private final RequestQuarantine quarantine;
    private final GatewayMetrics metrics;

    QuarantineCheck(RequestQuarantine quarantine, GatewayMetrics metrics) {
        this.quarantine = Objects.requireNonNull(quarantine, "quarantine");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    /** Returns why the call must be refused now, empty if it may run. */
    Optional<Refusal> refusal(Exchange exchange) {
        boolean isFirstRunOfTrial = exchange.quarantineTrial && exchange.possibleRuns == 0;
        if (isFirstRunOfTrial) {
            return Optional.empty();
        }
        Optional<Quarantine.Refusal> refusal = quarantine.refusal(exchange::suspects);
        if (refusal.isEmpty()) {
            exchange.quarantineTrial = quarantine.isQuarantined(exchange::suspects);
            return Optional.empty();
        }
        metrics.countQuarantined();
        return Optional.of(refuse(
                exchange, refusal.get().suspect(), refusal.get().remaining().toMillis()));
    }

    private static Refusal refuse(Exchange exchange, Suspect suspect, long remainingMillis) {
        String callId = exchange.head.id();
        if (suspect.isPromptPart()) {
            String part = exchange.head.sharedPromptParts().get(suspect.promptPart() - 1);
            LogEvent.CALL_WITH_QUARANTINED_PART.logForCall(callId, part, suspect.fingerprint(), remainingMillis);
            return new Refusal("a part of the prompt made several replicas fail", remainingMillis);
        }
        LogEvent.CALL_QUARANTINED.logForCall(callId, suspect.fingerprint(), remainingMillis);
        return new Refusal("the request made several replicas fail", remainingMillis);
    }

    /**
     * Tells that a call is refused.
     *
     * @param reason the reason for the caller, not null
     * @param retryAfterMillis the time after which the caller may come back
     */
    record Refusal(String reason, long retryAfterMillis) {}
}
