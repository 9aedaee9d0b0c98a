package org.tarragonring.caller;

import java.util.List;
import java.util.Objects;
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
import org.tarragonring.ids.RequestFingerprint;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.routing.FailedRun;
import org.tarragonring.routing.Suspect;
import org.tarragonring.time.MonotonicClock;

/**
 * Holds the attributes that model calls and service calls have in common.
 *
 * @param id the call's id, not null
 * @param team the team that makes the call, not null
 * @param callClass the call's class, not null
 * @param priority the priority from 0 (highest) to 9 (lowest)
 * @param arrivedMillis the arrival time on the monotonic clock, in milliseconds
 * @param deadlineMillis the time on the monotonic clock by which the response must have started, in milliseconds
 * @param body the request body, not null
 * @param bodyHash the hash of the request path and body, which tells whether an idempotency key is used for another
 *     request; not null
 * @param fingerprint identifies the request when it is sent again, not null
 * @param promptParts the ids of the parts of the prompt that other requests may have, too, in their order; not null
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
        String bodyHash,
        RequestFingerprint fingerprint,
        List<String> promptParts) {

    private static final int LOWEST_PRIORITY = 9;
    private static final int MAX_DEADLINE_MILLIS = 3_600_000;
    private static final int BODY_HASH_LENGTH = 32;

    /**
     * Creates the details of a call from its HTTP request. The deadline and priority headers can make the deadline
     * shorter and the priority lower than the call class defines, but not the other way round.
     *
     * @param id the call's id, not null
     * @param team the team that makes the call, not null
     * @param callClass the call's class, not null
     * @param request the HTTP request, not null
     * @param body the request body, not null
     * @param clock the monotonic clock, not null
     * @return the details, never null
     * @throws CallException if the deadline or priority header is not an integer within its range
     */
    public static CallDetails read(
            CallId id, Team team, CallClass callClass, HttpServerRequest request, Buffer body, MonotonicClock clock) {
        long arrivedMillis = clock.millis();
        int classDeadlineMillis =
                (int) Math.min(MAX_DEADLINE_MILLIS, callClass.deadline().toMillis());
        int deadlineMillis = integerHeader(request, CallerHeaders.DEADLINE_MILLIS, 1, MAX_DEADLINE_MILLIS)
                .map(requestedMillis -> Math.min(requestedMillis, classDeadlineMillis))
                .orElse(classDeadlineMillis);
        int priority = integerHeader(request, CallerHeaders.PRIORITY, 0, LOWEST_PRIORITY)
                .map(requested -> Math.max(requested, callClass.priority()))
                .orElse(callClass.priority());
        String bodyHash = DigestUtils.sha256Hex(
                        Buffer.buffer(request.path() + "\n").appendBuffer(body).getBytes())
                .substring(0, BODY_HASH_LENGTH);
        return new CallDetails(
                id,
                team,
                callClass,
                priority,
                arrivedMillis,
                arrivedMillis + deadlineMillis,
                body,
                bodyHash,
                RequestFingerprint.of(request.method().name(), "", request.uri(), body.getBytes()),
                List.of());
    }

    /**
     * Returns these details with parts of the prompt.
     *
     * @param parts the ids of the parts that other requests may have, too, in their order; not null
     * @return new details, never null
     */
    public CallDetails withPromptParts(List<String> parts) {
        return new CallDetails(
                id, team, callClass, priority, arrivedMillis, deadlineMillis, body, bodyHash, fingerprint, parts);
    }

    /**
     * Returns what may be to blame if a replica fails while it runs the call.
     *
     * @return the request and the parts of its prompt, never null
     */
    public List<Suspect> suspects() {
        return Suspect.ofRequestAndParts(fingerprint, promptParts);
    }

    /**
     * Creates the evidence that a replica failed while it ran the call.
     *
     * @param replica the replica, not null
     * @param startedMillis the start of the run on the monotonic clock, in milliseconds
     * @param failedMillis the time of the failure on the monotonic clock, in milliseconds
     * @return a run for each suspect, never null
     */
    public List<FailedRun> failedRuns(UpstreamId replica, long startedMillis, long failedMillis) {
        long failureId = Objects.hash(id, startedMillis);
        return suspects().stream()
                .map(suspect -> new FailedRun(suspect, replica, startedMillis, failedMillis, failureId))
                .toList();
    }

    private static Optional<Integer> integerHeader(HttpServerRequest request, String name, int min, int max) {
        String value = request.getHeader(name);
        if (value == null) {
            return Optional.empty();
        }
        try {
            return Optional.of(ValueParser.parseInteger(value, min, max));
        } catch (IllegalArgumentException e) {
            throw CallException.notRun(RefusalReason.BAD_REQUEST, "header %s: %s".formatted(name, e.getMessage()));
        }
    }
}
