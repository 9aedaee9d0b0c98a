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
import org.tarragonring.upstream.UpstreamAnswer;
import org.tarragonring.upstream.UpstreamHeaders;
import org.tarragonring.upstream.UpstreamRequest;

/**
 * Serves one call of a model: finds a replica, sends the request, passes the answer on and resumes a stream on
 * another replica when its upstream dies. Runs on one event loop.
 */
final class ModelCall {

    private static final int MAX_ATTEMPTS = 4;
    private static final long EXCLUSION_MILLIS = 2_000;

    private final CallServices services;
    private final CallDetails details;
    private final Model model;
    private final Optional<Adapter> adapter;
    private final ChatRequest chat;
    private final HttpServerResponse response;
    private final Context context;
    private final CallEnd end;
    private final Set<UpstreamId> avoided = new HashSet<>();
    private final Set<String> excluded = new HashSet<>();
    private CallAssignment seat;
    private UpstreamAnswer answer;
    private EventRelay relay;
    private long deadlineTimer = -1;
    private int attempts;
    private long delivered;
    private long dueMillis;
    private long excludedUntilMillis;

    ModelCall(
            CallServices services,
            CallDetails details,
            Model model,
            Optional<Adapter> adapter,
            ChatRequest chat,
            HttpServerResponse response,
            Context context) {
        this.services = services;
        this.details = details;
        this.model = model;
        this.adapter = adapter;
        this.chat = chat;
        this.response = response;
        this.context = context;
        this.end = new CallEnd(services, details, response);
        this.dueMillis = details.deadlineMillis();
    }

    void start() {
        response.putHeader(CallerHeaders.CALL_ID, details.id().value());
        response.closeHandler(closed -> onCallerLeft());
        response.exceptionHandler(failure -> onCallerLeft());
        long leftMillis = details.deadlineMillis() - services.clock().millis();
        deadlineTimer = context.owner().setTimer(Math.max(1, leftMillis), id -> onDeadline());
        attempt();
    }

    private void attempt() {
        attempts++;
        DispatchRequest request = new DispatchRequest(
                details.priority(), dueMillis, chat.prefixHash(), avoided, excluded, excludedUntilMillis);
        onContext(services.dispatchers().getOrCreate(model.name()).acquire(model, request), this::onSeat, this::refuse);
    }

    private void onSeat(CallAssignment taken) {
        if (!end.isOpen()) {
            taken.release(CallAssignment.Outcome.ABANDONED);
            return;
        }
        seat = taken;
        if (adapter.isEmpty()) {
            send();
            return;
        }
        onContext(services.adapters().ensureLoaded(taken.target(), adapter.get()), done -> send(), failure -> {
            releaseSeat(CallAssignment.Outcome.FAILED);
            retryOrRefuse(failure);
        });
    }

    private void send() {
        if (!end.isOpen()) {
            releaseSeat(CallAssignment.Outcome.ABANDONED);
            return;
        }
        services.metrics().sent(delivered > 0 ? "resume" : attempts > 1 ? "retry" : "first");
        MultiMap headers = MultiMap.caseInsensitiveMultiMap();
        headers.set("Content-Type", "application/json");
        headers.set(UpstreamHeaders.SLOT, seat.target().name());
        headers.set(UpstreamHeaders.PRIORITY, Integer.toString(details.priority()));
        headers.set(UpstreamHeaders.RESUME_FROM, Long.toString(delivered));
        adapter.ifPresent(a -> headers.set(UpstreamHeaders.ADAPTER, a.name().value()));
        UpstreamRequest request = new UpstreamRequest(
                seat.target().address(),
                HttpMethod.POST,
                "/v1/chat/completions",
                headers,
                details.body(),
                details.id());
        services.client()
                .send(request)
                .onComplete(result -> context.runOnContext(ignored -> {
                    if (result.succeeded()) {
                        onAnswer(result.result());
                    } else {
                        onSendFailed(CallException.of(result.cause()));
                    }
                }));
    }

    private void onSendFailed(CallException failure) {
        boolean died = failure.verdict() != Verdict.NOT_RUN;
        if (died) {
            suspect();
        }
        releaseSeat(CallAssignment.Outcome.FAILED);
        if (!end.isOpen()) {
            return;
        }
        if (died) {
            resumeOrRefuse(failure);
        } else {
            retryOrRefuse(failure);
        }
    }

    private void onAnswer(UpstreamAnswer head) {
        if (!end.isOpen()) {
            head.cancel();
            releaseSeat(CallAssignment.Outcome.ABANDONED);
            return;
        }
        if (head.isNotRun()) {
            onRefusedByUpstream(head);
            return;
        }
        answer = head;
        if (chat.stream() && head.isOk()) {
            relayEvents(head);
        } else {
            relayWhole(head);
        }
    }

    private void onRefusedByUpstream(UpstreamAnswer head) {
        head.response().resume();
        if (head.isNotLoaded() && adapter.isPresent()) {
            services.adapters().invalidate(seat.target(), adapter.get());
        }
        boolean lostModel = head.isNotLoaded() && adapter.isEmpty();
        releaseSeat(lostModel ? CallAssignment.Outcome.NOT_LOADED : CallAssignment.Outcome.FAILED);
        if (lostModel && end.isOpen() && attempts < MAX_ATTEMPTS) {
            attempt();
            return;
        }
        retryOrRefuse(CallException.notRun(
                RefusalReason.UPSTREAM_UNAVAILABLE,
                "the upstream refused the call with status %d".formatted(head.status())));
    }

    private void relayEvents(UpstreamAnswer head) {
        relay = new EventRelay(
                head, response, context, services.limits().tokenTimeout(), delivered, new EventRelay.Listener() {
                    @Override
                    public void onFirst() {
                        cancelDeadline();
                        end.firstAnswer();
                    }

                    @Override
                    public void onEnd() {
                        releaseSeat(CallAssignment.Outcome.ANSWERED);
                        end.answered();
                    }

                    @Override
                    public void onBroken(String why) {
                        onStreamBroken(why);
                    }
                });
        relay.start();
    }

    private void relayWhole(UpstreamAnswer head) {
        head.response()
                .body()
                .onComplete(result -> context.runOnContext(ignored -> {
                    if (!end.isOpen()) {
                        releaseSeat(CallAssignment.Outcome.ABANDONED);
                        return;
                    }
                    if (result.failed()) {
                        onStreamBroken(result.cause().getMessage());
                        return;
                    }
                    cancelDeadline();
                    releaseSeat(CallAssignment.Outcome.ANSWERED);
                    end.firstAnswer();
                    if (end.answered()) {
                        response.setStatusCode(head.status());
                        response.putHeader("Content-Type", "application/json");
                        response.putHeader(CallerHeaders.VERDICT, Verdict.RAN.text());
                        response.end(result.result());
                    }
                }));
        head.response().resume();
    }

    private void onStreamBroken(String why) {
        if (relay != null) {
            delivered = relay.delivered();
            relay = null;
        }
        answer = null;
        suspect();
        releaseSeat(CallAssignment.Outcome.FAILED);
        if (end.isOpen()) {
            resumeOrRefuse(new CallException(
                    RefusalReason.UPSTREAM_BROKE_OFF,
                    Verdict.MAY_HAVE_RUN,
                    Duration.ZERO,
                    "the upstream broke off after %d tokens: %s".formatted(delivered, why)));
        }
    }

    private void suspect() {
        excluded.add(seat.target().name());
        excludedUntilMillis = services.clock().millis() + EXCLUSION_MILLIS;
        String subject = services.quarantine()
                .recordFailure(details.fingerprint(), seat.target().name());
        if (!subject.isEmpty()) {
            services.suspects().accept(subject);
        }
    }

    /** Retries a call that did not run, within the retry budget. */
    private void retryOrRefuse(CallException failure) {
        boolean retries = end.isOpen()
                && failure.verdict() == Verdict.NOT_RUN
                && attempts < MAX_ATTEMPTS
                && services.retries().tryAcquire();
        if (retries) {
            attempt();
        } else {
            refuse(failure);
        }
    }

    /**
     * Runs a repeatable call on another upstream, a stream from the token after the last delivered one. This takes
     * nothing from the retry budget: a call is resumed at most once before its request is quarantined.
     */
    private void resumeOrRefuse(CallException failure) {
        if (services.quarantine().isQuarantined(details.fingerprint())) {
            refuse(new CallException(
                    RefusalReason.QUARANTINED,
                    Verdict.MAY_HAVE_RUN,
                    Duration.ZERO,
                    "the request broke %d upstreams"
                            .formatted(services.quarantine().failedReplicaCount(details.fingerprint()))));
            return;
        }
        boolean resumes = details.callClass().repeatable() && attempts < MAX_ATTEMPTS;
        if (!resumes) {
            refuse(failure);
            return;
        }
        if (end.isStarted()) {
            dueMillis =
                    services.clock().millis() + details.callClass().deadline().toMillis();
        }
        LogEvent.STREAM_RESUMED.logForCall(details.id().value(), "any other", delivered);
        attempt();
    }

    private void refuse(CallException failure) {
        cancelDeadline();
        releaseSeat(CallAssignment.Outcome.ABANDONED);
        end.refuse(failure);
    }

    private void onDeadline() {
        deadlineTimer = -1;
        if (!end.isOpen() || end.isStarted()) {
            return;
        }
        Verdict verdict = seat == null ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
        cancelUpstream();
        refuse(new CallException(RefusalReason.DEADLINE, verdict, Duration.ZERO, "no answer came before the deadline"));
    }

    private void onCallerLeft() {
        if (!end.isOpen()) {
            return;
        }
        end.abandoned();
        cancelDeadline();
        cancelUpstream();
        releaseSeat(CallAssignment.Outcome.ABANDONED);
    }

    private void cancelUpstream() {
        if (relay != null) {
            relay.cancel();
        } else if (answer != null) {
            answer.cancel();
        }
    }

    private void releaseSeat(CallAssignment.Outcome how) {
        if (seat != null) {
            if (how == CallAssignment.Outcome.FAILED) {
                avoided.add(seat.target().upstream());
            }
            seat.release(how);
            seat = null;
        }
    }

    private void cancelDeadline() {
        if (deadlineTimer >= 0) {
            context.owner().cancelTimer(deadlineTimer);
            deadlineTimer = -1;
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
