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
import org.tarragonring.time.VertxTimers;
import org.tarragonring.upstream.UpstreamRequest;
import org.tarragonring.upstream.UpstreamResponse;

/**
 * Processes one call of a plain service. The request is sent again only if the previous attempt did not run. If the
 * call's class is not retryable and it has an idempotency key, the call claims the key first; a later call with the
 * same key receives the stored response or is refused. Not thread-safe; runs on one event loop.
 */
final class ServiceCall {

    private static final int MAX_ATTEMPTS = 3;
    private static final Duration UNKNOWN_OUTCOME_RETRY_AFTER = Duration.ofSeconds(1);

    private final CallDependencies dependencies;
    private final CallDetails details;
    private final PlainService service;
    private final Optional<ClaimKey> claimKey;
    private final HttpServerRequest request;
    private final HttpServerResponse response;
    private final Context context;
    private final CallCompletion completion;
    private final Set<UpstreamId> excludedUpstreams = new HashSet<>();
    private boolean sent;
    private boolean claimed;
    private int attempts;

    ServiceCall(
            CallDependencies dependencies,
            CallDetails details,
            PlainService service,
            Optional<ClaimKey> claimKey,
            HttpServerRequest request,
            Context context) {
        this.dependencies = dependencies;
        this.details = details;
        this.service = service;
        this.claimKey = claimKey;
        this.request = request;
        this.response = request.response();
        this.context = context;
        this.completion = new CallCompletion(dependencies, details, response, new VertxTimers(context.owner()));
    }

    void start() {
        response.putHeader(CallerHeaders.CALL_ID, details.id().value());
        response.closeHandler(closed -> onCallerDisconnected());
        completion.setDeadline(details.deadlineMillis(), this::onDeadline);
        if (claimKey.isPresent() && !details.callClass().retryable()) {
            claim(claimKey.get());
        } else {
            attempt();
        }
    }

    private void claim(ClaimKey key) {
        dependencies
                .claims()
                .claim(key, details.id().value(), details.bodyHash())
                .whenComplete((outcome, failure) -> context.runOnContext(ignored -> {
                    if (failure != null) {
                        refuse(CallException.notRun(
                                RefusalReason.STORE_UNAVAILABLE,
                                "idempotency key could not be claimed: " + failure.getMessage()));
                    } else {
                        onClaim(outcome);
                    }
                }));
    }

    private void onClaim(ClaimOutcome outcome) {
        switch (outcome.kind()) {
            case GRANTED -> {
                claimed = true;
                if (completion.isOpen()) {
                    attempt();
                } else {
                    releaseClaim();
                }
            }
            case ANSWERED -> replay(outcome.response());
            case KEY_REUSED ->
                refuse(CallException.notRun(
                        RefusalReason.KEY_REUSED, "idempotency key was already used with a different request"));
            default ->
                refuse(new CallException(
                        RefusalReason.OUTCOME_UNKNOWN,
                        Verdict.MAY_HAVE_RUN,
                        UNKNOWN_OUTCOME_RETRY_AFTER,
                        "an earlier request with the same idempotency key may have run, its response is not known"));
        }
    }

    private void replay(StoredResponse storedResponse) {
        if (completion.complete()) {
            response.putHeader(CallerHeaders.REPLAYED, "true");
            write(storedResponse.status(), storedResponse.contentType(), Buffer.buffer(storedResponse.body()));
        }
    }

    private void attempt() {
        if (!completion.isOpen()) {
            releaseClaim();
            return;
        }
        Optional<Instance> instance = selectInstance();
        if (instance.isEmpty()) {
            refuse(CallException.notRun(
                    RefusalReason.UPSTREAM_UNAVAILABLE,
                    "service \"%s\" has no available instance".formatted(service.name())));
            return;
        }
        attempts++;
        sent = true;
        long sentMillis = dependencies.clock().millis();
        dependencies.metrics().recordUpstreamRequest(attempts > 1 ? "retry" : "first");
        UpstreamRequest upstreamRequest = new UpstreamRequest(
                instance.get().address(),
                request.method(),
                request.uri(),
                upstreamHeaders(),
                details.body(),
                details.id());
        dependencies
                .upstreamClient()
                .send(upstreamRequest)
                .onComplete(result -> context.runOnContext(ignored -> {
                    if (result.succeeded()) {
                        onResponse(instance.get(), sentMillis, result.result());
                    } else {
                        onAttemptFailed(instance.get(), sentMillis, CallException.of(result.cause()));
                    }
                }));
    }

    private Optional<Instance> selectInstance() {
        List<Instance> candidates = new ArrayList<>(dependencies.directory().availableInstances(service.name()));
        candidates.removeIf(instance -> excludedUpstreams.contains(instance.id())
                || !dependencies.ejections().isAvailable(instance.id()));
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(candidates.get(ThreadLocalRandom.current().nextInt(candidates.size())));
    }

    private MultiMap upstreamHeaders() {
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

    private void onResponse(Instance instance, long sentMillis, UpstreamResponse upstreamResponse) {
        if (upstreamResponse.isNotRun()) {
            upstreamResponse.response().resume();
            onAttemptFailed(
                    instance,
                    sentMillis,
                    CallException.notRun(
                            RefusalReason.UPSTREAM_UNAVAILABLE,
                            "upstream \"%s\" refused the call with status %d"
                                    .formatted(instance.id(), upstreamResponse.status())));
            return;
        }
        upstreamResponse
                .readBody()
                .onComplete(result -> context.runOnContext(ignored -> {
                    if (result.succeeded()) {
                        dependencies.ejections().recordSuccess(instance.id());
                        if (upstreamResponse.isOk()) {
                            dependencies.failureReports().publishAnswered(details::fingerprint, List.of());
                        }
                        onBody(upstreamResponse, result.result());
                    } else {
                        onAttemptFailed(instance, sentMillis, CallException.of(result.cause()));
                    }
                }));
    }

    private void onBody(UpstreamResponse upstreamResponse, Buffer body) {
        String contentType = Optional.ofNullable(upstreamResponse.response().getHeader("Content-Type"))
                .orElse("application/octet-stream");
        if (claimed) {
            dependencies
                    .claims()
                    .complete(
                            claimKey.orElseThrow(),
                            details.id().value(),
                            new StoredResponse(upstreamResponse.status(), contentType, body.getBytes()));
        }
        completion.markResponseStarted();
        if (completion.complete()) {
            write(upstreamResponse.status(), contentType, body);
        }
    }

    private void onAttemptFailed(Instance instance, long sentMillis, CallException failure) {
        dependencies.ejections().recordFailure(instance.id());
        excludedUpstreams.add(instance.id());
        if (failure.verdict() != Verdict.NOT_RUN) {
            dependencies
                    .failureReports()
                    .publish(details.failedRuns(
                            instance.id(), sentMillis, dependencies.clock().millis()));
            refuse(failure);
            return;
        }
        sent = false;
        boolean retry = completion.isOpen()
                && attempts < MAX_ATTEMPTS
                && dependencies.retryBudget().tryAcquire();
        if (retry) {
            attempt();
        } else {
            refuse(failure);
        }
    }

    private void refuse(CallException failure) {
        completion.refuse(failure);
        if (failure.verdict() == Verdict.NOT_RUN) {
            releaseClaim();
        }
    }

    private void releaseClaim() {
        if (claimed && !sent) {
            claimed = false;
            dependencies.claims().release(claimKey.orElseThrow(), details.id().value());
        }
    }

    /** Releases the claim of a call that has not run, and returns why it ends. */
    private CallException onDeadline() {
        Verdict verdict = sent ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
        releaseClaim();
        return new CallException(
                RefusalReason.DEADLINE, verdict, Duration.ZERO, "response did not start before the deadline");
    }

    private void onCallerDisconnected() {
        completion.abandon();
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
}
