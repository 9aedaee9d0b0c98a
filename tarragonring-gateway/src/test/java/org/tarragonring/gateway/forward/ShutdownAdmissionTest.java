package org.tarragonring.gateway.forward;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.vertx.core.buffer.Buffer;
import org.junit.jupiter.api.Test;
import org.tarragonring.gateway.ManualTime;
import org.tarragonring.gateway.call.CallHead;
import org.tarragonring.gateway.quota.QuotaReservation;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.policy.config.Route;
import org.tarragonring.policy.config.RouteKind;
import org.tarragonring.policy.config.WeightedService;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** A call that is taken during a shutdown and does not end in time is cut off, although another entry could have run it. */
class ShutdownAdmissionTest {

    private static final Duration LIMIT = Duration.ofSeconds(7);
    private static final UpstreamId REPLICA = new UpstreamId("replica-1");

    private final ManualTime time = new ManualTime();
    private final CallDurationEstimator estimator = new CallDurationEstimator(time);
    private final ShutdownAdmission admission = new ShutdownAdmission(estimator, time);

    @Test
    void everyCallIsAdmittedBeforeAShutdown() {
        assertTrue(admission.admits(call(RouteKind.NON_IDEMPOTENT, Duration.ofSeconds(30))));
    }

    @Test
    void callOfUnknownDurationIsAdmittedOnlyIfItsTimeoutIsEarlier() {
        admission.begin(LIMIT);

        assertTrue(admission.admits(call(RouteKind.IDEMPOTENT, Duration.ofSeconds(6))));
        assertFalse(admission.admits(call(RouteKind.IDEMPOTENT, Duration.ofSeconds(12))));
    }

    @Test
    void callIsAdmittedWhileTheLongestOfItsRouteWouldStillEnd() {
        observe(RouteKind.IDEMPOTENT, Duration.ofSeconds(2));
        admission.begin(LIMIT);

        assertTrue(admission.admits(call(RouteKind.IDEMPOTENT, Duration.ofSeconds(12))));
        time.advance(Duration.ofMillis(4_700));
        assertTrue(admission.admits(call(RouteKind.IDEMPOTENT, Duration.ofSeconds(12))));
        time.advance(Duration.ofMillis(200));
        assertFalse(admission.admits(call(RouteKind.IDEMPOTENT, Duration.ofSeconds(12))));
    }

    @Test
    void callThatMustNotRunTwiceIsRefusedEarlier() {
        observe(RouteKind.NON_IDEMPOTENT, Duration.ofSeconds(2));
        admission.begin(LIMIT);
        time.advance(Duration.ofMillis(3_000));

        assertFalse(admission.admits(call(RouteKind.NON_IDEMPOTENT, Duration.ofSeconds(12))));
    }

    private void observe(RouteKind kind, Duration duration) {
        Exchange observed = call(kind, Duration.ofSeconds(12));
        estimator.onStarted(REPLICA, observed);
        time.advance(duration);
        estimator.onEnded(REPLICA, observed, true);
    }

    private Exchange call(RouteKind kind, Duration timeout) {
        Route route = new Route(
                kind.name(),
                "h.example",
                "/x/",
                kind,
                timeout,
                timeout,
                Duration.ZERO,
                0,
                1,
                false,
                false,
                List.of(new WeightedService(new ServiceName("app"), 1)));
        CallHead head = new CallHead(
                "call-1",
                Optional.empty(),
                Optional.empty(),
                "",
                List.of(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty());
        long deadlineMillis = time.millis() + timeout.toMillis();
        return new Exchange(
                null,
                head,
                route,
                new ServiceName("app"),
                false,
                Optional.empty(),
                Buffer.buffer(),
                new MemoryBudget(0).reserve(),
                QuotaReservation.unlimited(),
                time.millis(),
                deadlineMillis,
                deadlineMillis);
    }
}
