package org.tarragonring.caller;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

import io.vertx.core.Context;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerResponse;
import org.tarragonring.config.Adapter;
import org.tarragonring.config.Model;
import org.tarragonring.dispatch.CallAssignment;
import org.tarragonring.dispatch.DispatchRequest;
import org.tarragonring.errors.CallException;
import org.tarragonring.errors.RefusalReason;
import org.tarragonring.errors.Verdict;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.log.LogEvent;
import org.tarragonring.routing.Suspect;
import org.tarragonring.time.VertxTimers;
import org.tarragonring.upstream.UpstreamHeaders;
import org.tarragonring.upstream.UpstreamRequest;
import org.tarragonring.upstream.UpstreamResponse;

/**
 * Processes one call of a model: acquires an assignment to a replica, sends the request, relays the response, and
 * resumes a stream on another replica if its upstream fails. Not thread-safe; runs on one event loop.
 */
final class ModelCall {

    private static final int MAX_ATTEMPTS = 4;
    private static final long EXCLUSION_MILLIS = 2_000;

    private final CallDependencies dependencies;
    private final CallDetails details;
    private final Model model;
    private final Optional<Adapter> adapter;
    private final ChatRequest chatRequest;
    private final HttpServerResponse response;
    private final Context context;
    private final CallCompletion completion;
    private final Set<UpstreamId> avoidedUpstreams = new HashSet<>();
    private final Set<String> excludedReplicas = new HashSet<>();
    private CallAssignment assignment;
    private UpstreamResponse pendingResponse;
    private EventRelay relay;
    private int attempts;
    /** Whether an earlier attempt may have run, so that the call can no longer end as not run. */
    private boolean mayHaveRun;

    private long deliveredTokens;
    private long responseDeadlineMillis;
    private long sentMillis;
    private long excludedUntilMillis;

    ModelCall(
            CallDependencies dependencies,
            CallDetails details,
            Model model,
            Optional<Adapter> adapter,
            ChatRequest chatRequest,
            HttpServerResponse response,
            Context context) {
        this.dependencies = dependencies;
        this.details = details;
        this.model = model;
        this.adapter = adapter;
        this.chatRequest = chatRequest;
        this.response = response;
        this.context = context;
        this.completion = new CallCompletion(dependencies, details, response, new VertxTimers(context.owner()));
        this.responseDeadlineMillis = details.deadlineMillis();
    }

    void start() {
        response.putHeader(CallerHeaders.CALL_ID, details.id().value());
        response.closeHandler(closed -> onCallerDisconnected());
        response.exceptionHandler(failure -> onCallerDisconnected());
        completion.setDeadline(details.deadlineMillis(), this::onDeadline);
        attempt();
    }

    private void attempt() {
        attempts++;
        DispatchRequest request = new DispatchRequest(
                details.priority(),
                responseDeadlineMillis,
                chatRequest.prefixHash(),
                avoidedUpstreams,
                excludedReplicas,
                excludedUntilMillis);
        onContext(
                dependencies.dispatchers().getOrCreate(model.name()).acquire(model, request),
                this::onAssigned,
                this::refuse);
    }

    private void onAssigned(CallAssignment acquired) {
        if (!completion.isOpen()) {
            acquired.release(CallAssignment.Outcome.ABANDONED);
            return;
        }
        assignment = acquired;
        if (adapter.isEmpty()) {
            send();
            return;
        }
        onContext(dependencies.adapters().ensureLoaded(acquired.target(), adapter.get()), done -> send(), failure -> {
            releaseAssignment(CallAssignment.Outcome.FAILED);
            retryOrRefuse(failure);
        });
    }

    private void send() {
        if (!completion.isOpen()) {
            releaseAssignment(CallAssignment.Outcome.ABANDONED);
            return;
        }
        sentMillis = dependencies.clock().millis();
        dependencies.metrics().recordUpstreamRequest(deliveredTokens > 0 ? "resume" : attempts > 1 ? "retry" : "first");
        MultiMap headers = MultiMap.caseInsensitiveMultiMap();
        headers.set("Content-Type", "application/json");
        headers.set(UpstreamHeaders.SLOT, assignment.target().name());
        headers.set(UpstreamHeaders.PRIORITY, Integer.toString(details.priority()));
        headers.set(UpstreamHeaders.RESUME_FROM, Long.toString(deliveredTokens));
        adapter.ifPresent(a -> headers.set(UpstreamHeaders.ADAPTER, a.name().value()));
        UpstreamRequest request = new UpstreamRequest(
                assignment.target().address(),
                HttpMethod.POST,
                "/v1/chat/completions",
                headers,
                details.body(),
                details.id());
        dependencies
                .upstreamClient()
                .send(request)
                .onComplete(result -> context.runOnContext(ignored -> {
                    if (result.succeeded()) {
                        onResponse(result.result());
                    } else {
                        onSendFailed(CallException.of(result.cause()));
                    }
                }));
    }

    private void onSendFailed(CallException failure) {
        boolean upstreamFailed = failure.verdict() != Verdict.NOT_RUN;
        if (upstreamFailed) {
            recordRunOnFailedReplica();
        }
        releaseAssignment(CallAssignment.Outcome.FAILED);
        if (!completion.isOpen()) {
            return;
        }
        if (upstreamFailed) {
            resumeOrRefuse(failure);
        } else {
            retryOrRefuse(failure);
        }
    }

    private void onResponse(UpstreamResponse upstreamResponse) {
        if (!completion.isOpen()) {
            upstreamResponse.cancel();
            releaseAssignment(CallAssignment.Outcome.ABANDONED);
            return;
        }
        if (upstreamResponse.isNotRun()) {
            onRefusedByUpstream(upstreamResponse);
            return;
        }
        if (response.headWritten() && !upstreamResponse.isEventStream()) {
            onContinuationFailed(upstreamResponse);
            return;
        }
        pendingResponse = upstreamResponse;
        if (chatRequest.stream() && upstreamResponse.isOk()) {
            relayEvents(upstreamResponse);
        } else {
            relayCompleteResponse(upstreamResponse);
        }
    }

    /** Handles a response that is no part of the stream which has begun. */
    private void onContinuationFailed(UpstreamResponse upstreamResponse) {
        upstreamResponse.cancel();
        excludeReplica();
        releaseAssignment(CallAssignment.Outcome.FAILED);
        resumeOrRefuse(new CallException(
                RefusalReason.UPSTREAM_BROKE_OFF,
                Verdict.MAY_HAVE_RUN,
                Duration.ZERO,
                "upstream responded with status %d instead of the stream after %d tokens"
                        .formatted(upstreamResponse.status(), deliveredTokens)));
    }

    private void onRefusedByUpstream(UpstreamResponse upstreamResponse) {
        upstreamResponse.response().resume();
        if (upstreamResponse.isNotLoaded() && adapter.isPresent()) {
            dependencies.adapters().invalidate(assignment.target(), adapter.get());
        }
        boolean modelNotLoaded = upstreamResponse.isNotLoaded() && adapter.isEmpty();
        releaseAssignment(modelNotLoaded ? CallAssignment.Outcome.NOT_LOADED : CallAssignment.Outcome.FAILED);
        if (modelNotLoaded && completion.isOpen() && attempts < MAX_ATTEMPTS) {
            attempt();
            return;
        }
        retryOrRefuse(CallException.notRun(
                RefusalReason.UPSTREAM_UNAVAILABLE,
                "upstream refused the call with status %d".formatted(upstreamResponse.status())));
    }

    private void relayEvents(UpstreamResponse upstreamResponse) {
        relay = new EventRelay(
                upstreamResponse,
                response,
                context,
                dependencies.limits().tokenTimeout(),
                deliveredTokens,
                new EventRelay.Listener() {
                    @Override
                    public void onToken() {
                        completion.markResponseStarted();
                    }

                    @Override
                    public void onComplete() {
                        completion.complete();
                        releaseAssignment(CallAssignment.Outcome.ANSWERED);
                        recordAnswer();
                    }

                    @Override
                    public void onFailure(String cause) {
                        onResponseFailed(cause);
                    }
                });
        relay.start();
    }

    private void relayCompleteResponse(UpstreamResponse upstreamResponse) {
        upstreamResponse
                .readBody()
                .onComplete(result -> context.runOnContext(ignored -> {
                    if (!completion.isOpen()) {
                        releaseAssignment(CallAssignment.Outcome.ABANDONED);
                        return;
                    }
                    if (result.failed()) {
                        onResponseFailed(result.cause().getMessage());
                        return;
                    }
                    completion.markResponseStarted();
                    if (completion.complete()) {
                        response.setStatusCode(upstreamResponse.status());
                        response.putHeader("Content-Type", "application/json");
                        response.putHeader(CallerHeaders.VERDICT, Verdict.RAN.text());
                        response.end(result.result());
                    }
                    releaseAssignment(CallAssignment.Outcome.ANSWERED);
                    if (upstreamResponse.isOk()) {
                        recordAnswer();
                    }
                }));
    }

    private void onResponseFailed(String cause) {
        if (relay != null) {
            deliveredTokens = relay.deliveredTokens();
            relay = null;
        }
        pendingResponse = null;
        recordRunOnFailedReplica();
        releaseAssignment(CallAssignment.Outcome.FAILED);
        if (completion.isOpen()) {
            resumeOrRefuse(new CallException(
                    RefusalReason.UPSTREAM_BROKE_OFF,
                    Verdict.MAY_HAVE_RUN,
                    Duration.ZERO,
                    "upstream failed after %d tokens: %s".formatted(deliveredTokens, cause)));
        }
    }

    private void recordAnswer() {
        dependencies.failureReports().publishAnswered(details::fingerprint, Suspect.ofParts(details.promptParts()));
    }

    private void recordRunOnFailedReplica() {
        mayHaveRun = true;
        excludeReplica();
        dependencies
                .failureReports()
                .publish(details.failedRuns(
                        assignment.target().upstream(),
                        sentMillis,
                        dependencies.clock().millis()));
    }

    private void excludeReplica() {
        excludedReplicas.add(assignment.target().name());
        excludedUntilMillis = dependencies.clock().millis() + EXCLUSION_MILLIS;
    }

    /** Retries a call that did not run if the retry budget allows it, otherwise refuses it. */
    private void retryOrRefuse(CallException failure) {
        boolean retry = completion.isOpen()
                && failure.verdict() == Verdict.NOT_RUN
                && attempts < MAX_ATTEMPTS
                && dependencies.retryBudget().tryAcquire();
        if (retry) {
            attempt();
        } else {
            refuse(failure);
        }
    }

    /**
     * Runs a call of a retryable class again on another replica, resuming a stream after the last delivered token, or
     * refuses it. Does not use the retry budget, because a call is resumed at most once before its request is
     * quarantined.
     */
    private void resumeOrRefuse(CallException failure) {
        if (dependencies.failureReports().isQuarantined(details::suspects)) {
            refuse(new CallException(
                    RefusalReason.QUARANTINED,
                    Verdict.MAY_HAVE_RUN,
                    Duration.ZERO,
                    "request is quarantined because several replicas failed while running it or a part of its prompt"));
            return;
        }
        boolean resume = details.callClass().retryable() && attempts < MAX_ATTEMPTS;
        if (!resume) {
            refuse(failure);
            return;
        }
        if (completion.isResponseStarted()) {
            responseDeadlineMillis = dependencies.clock().millis()
                    + details.callClass().deadline().toMillis();
            completion.setDeadline(responseDeadlineMillis, this::onDeadline);
        }
        LogEvent.STREAM_RESUMED.logForCall(details.id().value(), "(not yet selected)", deliveredTokens);
        attempt();
    }

    private void refuse(CallException failure) {
        completion.refuse(mayHaveRun ? failure.withVerdict(Verdict.MAY_HAVE_RUN) : failure);
        releaseAssignment(CallAssignment.Outcome.ABANDONED);
    }

    /** Releases what the call occupies, and returns why it ends. */
    private CallException onDeadline() {
        boolean isNotRun = assignment == null && !mayHaveRun && !completion.isResponseStarted();
        cancelUpstreamRequest();
        releaseAssignment(CallAssignment.Outcome.ABANDONED);
        return new CallException(
                RefusalReason.DEADLINE,
                isNotRun ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN,
                Duration.ZERO,
                "response did not start before the deadline");
    }

    private void onCallerDisconnected() {
        if (!completion.isOpen()) {
            return;
        }
        completion.abandon();
        cancelUpstreamRequest();
        releaseAssignment(CallAssignment.Outcome.ABANDONED);
    }

    private void cancelUpstreamRequest() {
        if (relay != null) {
            relay.cancel();
        } else if (pendingResponse != null) {
            pendingResponse.cancel();
        }
    }

    private void releaseAssignment(CallAssignment.Outcome outcome) {
        if (assignment != null) {
            if (outcome == CallAssignment.Outcome.FAILED) {
                avoidedUpstreams.add(assignment.target().upstream());
            }
            assignment.release(outcome);
            assignment = null;
        }
    }

    private <T> void onContext(CompletionStage<T> stage, Consumer<T> success, Consumer<CallException> failure) {
        stage.whenComplete((value, error) -> context.runOnContext(ignored -> {
            if (error == null) {
                success.accept(value);
            } else {
                failure.accept(CallException.of(error));
            }
        }));
    }
}
