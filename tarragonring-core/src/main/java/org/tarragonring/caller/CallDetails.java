package org.tarragonring.caller;

import java.util.Optional;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.apache.commons.codec.digest.DigestUtils;
import org.tarragonring.config.CallClass;
import org.tarragonring.config.Team;
import org.tarragonring.config.ValueParser;
import org.tarragonring.errors.CallException;
import org.tarragonring.errors.RefusalReason;
import org.tarragonring.ids.CallId;
import org.tarragonring.time.MonotonicClock;

/**
 * What every call has, whatever it calls.
 *
 * @param id the call's id, not null
 * @param team who calls, not null
 * @param callClass the call's class, not null
 * @param priority 0 goes first, 9 last
 * @param arrivedMillis when it arrived, on the monotonic clock
 * @param deadlineMillis when its first answer is due, on the monotonic clock
 * @param body the request's body, not null
 * @param fingerprint the hash of route and body, not null
 * @since 0.1.0
 */
public record CallDetails(
        CallId id,
        Team team,
        CallClass callClass,
        int priority,
        long arrivedMillis,
        long deadlineMillis,
        Buffer body,
        String fingerprint) {

    private static final int LOWEST_PRIORITY = 9;
    private static final int MAX_DEADLINE_MILLIS = 3_600_000;
    private static final int FINGERPRINT_DIGITS = 32;

    /**
     * Reads a call's details from its request.
     *
     * @param id the call's id, not null
     * @param team who calls, not null
     * @param callClass the call's class, not null
     * @param request the request, not null
     * @param body its body, not null
     * @param clock the monotonic clock, not null
     * @return the details
     * @throws CallException if a header is malformed
     */
    public static CallDetails read(
            CallId id, Team team, CallClass callClass, HttpServerRequest request, Buffer body, MonotonicClock clock) {
        long arrivedMillis = clock.millis();
        int classMillis =
                (int) Math.min(MAX_DEADLINE_MILLIS, callClass.deadline().toMillis());
        int deadline = header(request, CallerHeaders.DEADLINE_MILLIS, 1, MAX_DEADLINE_MILLIS)
                .map(asked -> Math.min(asked, classMillis))
                .orElse(classMillis);
        int priority = header(request, CallerHeaders.PRIORITY, 0, LOWEST_PRIORITY)
                .map(asked -> Math.max(asked, callClass.priority()))
                .orElse(callClass.priority());
        String fingerprint = DigestUtils.sha256Hex(
                        Buffer.buffer(request.path() + "\n").appendBuffer(body).getBytes())
                .substring(0, FINGERPRINT_DIGITS);
        return new CallDetails(
                id, team, callClass, priority, arrivedMillis, arrivedMillis + deadline, body, fingerprint);
    }

    private static Optional<Integer> header(HttpServerRequest request, String name, int least, int most) {
        String text = request.getHeader(name);
        if (text == null) {
            return Optional.empty();
        }
        try {
            return Optional.of(ValueParser.parseInteger(text, least, most));
        } catch (IllegalArgumentException e) {
            throw CallException.notRun(RefusalReason.BAD_REQUEST, "header %s: %s".formatted(name, e.getMessage()));
        }
    }
}
