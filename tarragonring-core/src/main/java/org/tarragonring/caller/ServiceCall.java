package org.tarragonring.caller;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

import io.vertx.core.Context;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import org.tarragonring.claim.ClaimKey;
import org.tarragonring.claim.ClaimOutcome;
import org.tarragonring.claim.StoredResponse;
import org.tarragonring.config.PlainService;
import org.tarragonring.errors.CallException;
import org.tarragonring.errors.RefusalReason;
import org.tarragonring.errors.Verdict;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.objects.Instance;
import org.tarragonring.upstream.UpstreamAnswer;
import org.tarragonring.upstream.UpstreamRequest;

/**
 * Serves one call of a plain service. A call whose class is not repeatable is sent at most once: under its
 * idempotency key's claim if it has one, and never again otherwise. Runs on one event loop.
 */
final class ServiceCall {

    private static final int MAX_ATTEMPTS = 3;
    private static final Duration UNKNOWN_RETRY_AFTER = Duration.ofSeconds(1);

    private final CallServices services;
    private final CallDetails details;
    private final PlainService service;
    private final Optional<ClaimKey> key;
    private final HttpServerRequest request;
    private final HttpServerResponse response;
    private final Context context;
    private final CallEnd end;
    private final Set<UpstreamId> excluded = new HashSet<>();
    private long deadlineTimer = -1;
    private boolean sent;
    private boolean claimed;
    private int attempts;

    ServiceCall(
            CallServices services,
            CallDetails details,
            PlainService service,
            Optional<ClaimKey> key,
            HttpServerRequest request,
            Context context) {
        this.services = services;
        this.details = details;
        this.service = service;
        this.key = key;
        this.request = request;
        this.response = request.response();
        this.context = context;
        this.end = new CallEnd(services, details, response);
    }

    void start() {
        response.putHeader(CallerHeaders.CALL_ID, details.id().value());
        response.closeHandler(closed -> onCallerLeft());
        long leftMillis = details.deadlineMillis() - services.clock().millis();
        deadlineTimer = context.owner().setTimer(Math.max(1, leftMillis), id -> onDeadline());
        if (key.isPresent() && !details.callClass().repeatable()) {
            claim(key.get());
        } else {
            attempt();
        }
    }

    private void claim(ClaimKey claimKey) {
        services.claims()
                .claim(claimKey, details.id().value(), details.fingerprint())
                .whenComplete((outcome, failure) -> context.runOnContext(ignored -> {
                    if (failure != null) {
                        refuse(CallException.notRun(
                                RefusalReason.STORE_UNAVAILABLE,
                                "the call could not be claimed: " + failure.getMessage()));
                    } else {
                        onClaim(outcome);
                    }
                }));
    }

    private void onClaim(ClaimOutcome outcome) {
        switch (outcome.kind()) {
            case GRANTED -> {
                claimed = true;
                if (end.isOpen()) {
                    attempt();
                } else {
                    releaseClaim();
                }
            }
            case ANSWERED -> replay(outcome.response());
            case KEY_REUSED ->
                refuse(CallException.notRun(
                        RefusalReason.KEY_REUSED, "the idempotency key was used with another request"));
            default ->
                refuse(new CallException(
                        RefusalReason.OUTCOME_UNKNOWN,
                        Verdict.MAY_HAVE_RUN,
                        UNKNOWN_RETRY_AFTER,
                        "an earlier attempt under the same idempotency key may have run"));
        }
    }

    private void replay(StoredResponse stored) {
        cancelDeadline();
        if (end.answered()) {
            response.putHeader(CallerHeaders.REPLAYED, "true");
            write(stored.status(), stored.contentType(), Buffer.buffer(stored.body()));
        }
    }

    private void attempt() {
        if (!end.isOpen()) {
            releaseClaim();
            return;
        }
        Optional<Instance> instance = pick();
        if (instance.isEmpty()) {
            refuse(CallException.notRun(
                    RefusalReason.UPSTREAM_UNAVAILABLE,
                    "service \"%s\" has no instance that takes calls".formatted(service.name())));
            return;
        }
        attempts++;
        sent = true;
        services.metrics().sent(attempts > 1 ? "retry" : "first");
        UpstreamRequest upstreamRequest = new UpstreamRequest(
                instance.get().address(), request.method(), request.uri(), headers(), details.body(), details.id());
        services.client()
                .send(upstreamRequest)
                .onComplete(result -> context.runOnContext(ignored -> {
                    if (result.succeeded()) {
                        onAnswer(instance.get(), result.result());
                    } else {
                        onFailed(instance.get(), CallException.of(result.cause()));
                    }
                }));
    }

    private Optional<Instance> pick() {
        List<Instance> usable = new ArrayList<>(services.directory().serving(service.name()));
        usable.removeIf(i -> excluded.contains(i.id()) || !services.ejections().isAvailable(i.id()));
        if (usable.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(usable.get(ThreadLocalRandom.current().nextInt(usable.size())));
    }

    private MultiMap headers() {
        MultiMap headers = MultiMap.caseInsensitiveMultiMap();
        for (String name : List.of("Content-Type", "Accept", CallerHeaders.IDEMPOTENCY_KEY)) {
            String value = request.getHeader(name);
            if (value != null) {
                headers.set(name, value);
            }
        }
        headers.set("X-Team", details.team().name().value());
        return headers;
    }

    private void onAnswer(Instance instance, UpstreamAnswer head) {
        if (head.isNotRun()) {
            head.response().resume();
            onFailed(
                    instance,
                    CallException.notRun(
                            RefusalReason.UPSTREAM_UNAVAILABLE,
                            "upstream \"%s\" refused the call with status %d".formatted(instance.id(), head.status())));
            return;
        }
        head.response()
                .body()
                .onComplete(result -> context.runOnContext(ignored -> {
                    if (result.succeeded()) {
                        services.ejections().recordSuccess(instance.id());
                        onBody(head, result.result());
                    } else {
                        onFailed(instance, CallException.of(result.cause()));
                    }
                }));
        head.response().resume();
    }

    private void onBody(UpstreamAnswer head, Buffer body) {
        String contentType =
                Optional.ofNullable(head.response().getHeader("Content-Type")).orElse("application/octet-stream");
        if (claimed) {
            services.claims()
                    .complete(
                            key.orElseThrow(),
                            details.id().value(),
                            new StoredResponse(head.status(), contentType, body.getBytes()));
        }
        cancelDeadline();
        end.firstAnswer();
        if (end.answered()) {
            write(head.status(), contentType, body);
        }
    }

    private void onFailed(Instance instance, CallException failure) {
        services.ejections().recordFailure(instance.id());
        excluded.add(instance.id());
        if (failure.verdict() != Verdict.NOT_RUN) {
            refuse(failure);
            return;
        }
        sent = false;
        boolean retries =
                end.isOpen() && attempts < MAX_ATTEMPTS && services.retries().tryAcquire();
        if (retries) {
            attempt();
        } else {
            refuse(failure);
        }
    }

    private void refuse(CallException failure) {
        cancelDeadline();
        if (failure.verdict() == Verdict.NOT_RUN) {
            releaseClaim();
        }
        end.refuse(failure);
    }

    private void releaseClaim() {
        if (claimed && !sent) {
            claimed = false;
            services.claims().release(key.orElseThrow(), details.id().value());
        }
    }

    private void onDeadline() {
        deadlineTimer = -1;
        Verdict verdict = sent ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
        end.refuse(new CallException(
                RefusalReason.DEADLINE, verdict, Duration.ZERO, "no answer came before the deadline"));
        if (!sent) {
            releaseClaim();
        }
    }

    private void onCallerLeft() {
        cancelDeadline();
        end.abandoned();
    }

    private void write(int status, String contentType, Buffer body) {
        if (response.closed()) {
            return;
        }
        response.setStatusCode(status);
        response.putHeader("Content-Type", contentType);
        response.putHeader(CallerHeaders.VERDICT, Verdict.RAN.text());
        response.end(body);
    }

    private void cancelDeadline() {
        if (deadlineTimer >= 0) {
            context.owner().cancelTimer(deadlineTimer);
            deadlineTimer = -1;
        }
    }
}
