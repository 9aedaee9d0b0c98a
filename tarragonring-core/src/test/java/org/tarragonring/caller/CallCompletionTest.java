package org.tarragonring.caller;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import org.junit.jupiter.api.Test;
import org.tarragonring.admission.RetryBudget;
import org.tarragonring.admission.TeamShares;
import org.tarragonring.config.CallClass;
import org.tarragonring.config.Team;
import org.tarragonring.errors.CallException;
import org.tarragonring.errors.RefusalReason;
import org.tarragonring.ids.CallId;
import org.tarragonring.ids.RequestFingerprint;
import org.tarragonring.ids.TeamName;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** A call whose processing fails unexpectedly would never end if nothing ended it at its deadline. */
class CallCompletionTest {

    private static final TeamName TEAM = new TeamName("team");
    private static final long DEADLINE_MILLIS = 30_000;

    private final List<Runnable> timers = new ArrayList<>();
    private final List<Buffer> responses = new ArrayList<>();
    private final CallCompletion completion = new CallCompletion(dependencies(), details(), response(), this::schedule);

    @Test
    void deadlineEndsTheCall() {
        completion.setDeadline(DEADLINE_MILLIS, () -> CallException.notRun(RefusalReason.DEADLINE, "late"));

        runTimers();

        assertFalse(completion.isOpen());
        assertTrue(responses.get(0).toString().contains("not-run"));
    }

    @Test
    void deadlineEndsTheCallAlsoIfWhatItReleasesFails() {
        completion.setDeadline(DEADLINE_MILLIS, () -> {
            throw new IllegalStateException("release failed");
        });

        runTimers();

        assertFalse(completion.isOpen());
        assertTrue(responses.get(0).toString().contains("may-have-run"));
    }

    @Test
    void startOfTheResponseCancelsTheDeadline() {
        completion.setDeadline(DEADLINE_MILLIS, () -> CallException.notRun(RefusalReason.DEADLINE, "late"));
        completion.markResponseStarted();

        runTimers();

        assertTrue(completion.isOpen());
    }

    // Guards against a stream that waits for another replica without an end after its first one has failed.
    @Test
    void streamThatIsResumedHasADeadlineAgain() {
        completion.markResponseStarted();
        completion.setDeadline(DEADLINE_MILLIS, () -> CallException.notRun(RefusalReason.DEADLINE, "late"));

        runTimers();

        assertFalse(completion.isOpen());
        assertEquals(1, responses.size());
    }

    private void runTimers() {
        List.copyOf(timers).forEach(Runnable::run);
    }

    private Timers.Task schedule(Duration delay, Runnable action) {
        timers.add(action);
        return () -> timers.remove(action);
    }

    private HttpServerResponse response() {
        return (HttpServerResponse) Proxy.newProxyInstance(
                getClass().getClassLoader(), new Class<?>[] {HttpServerResponse.class}, (proxy, method, arguments) -> {
                    if (method.getName().equals("end")) {
                        responses.add((Buffer) arguments[0]);
                    }
                    return method.getReturnType() == boolean.class
                            ? false
                            : method.getReturnType().isInstance(proxy) ? proxy : null;
                });
    }

    private static CallDetails details() {
        CallClass callClass = new CallClass("quote", Duration.ofMillis(DEADLINE_MILLIS), 0, true, 1);
        return new CallDetails(
                new CallId("call-1"),
                new Team(TEAM, "", 10),
                callClass,
                0,
                0,
                DEADLINE_MILLIS,
                Buffer.buffer(),
                "",
                new RequestFingerprint("a0"),
                List.of());
    }

    private static CallDependencies dependencies() {
        MonotonicClock clock = () -> 0;
        TeamShares teamShares = new TeamShares(10);
        teamShares.tryAcquire(TEAM, 10, 10);
        return new CallDependencies(
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                new RetryBudget(),
                teamShares,
                null,
                null,
                null,
                null,
                clock,
                new CallMetrics(new SimpleMeterRegistry()),
                null);
    }
}
