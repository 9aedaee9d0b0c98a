package org.tarragonring.gateway.forward;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import org.tarragonring.errors.Verdict;
import org.tarragonring.gateway.call.CallCodec;
import org.tarragonring.gateway.call.WeightKey;
import org.tarragonring.ids.ModelName;
import org.tarragonring.log.LogEvent;
import org.tarragonring.policy.config.RouteKind;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.routing.Ejections;
import org.tarragonring.time.MonotonicClock;

/**
 * One request to a replica, from its connection to the end of its answer. Not safe for use by several threads.
 */
final class Attempt {

    private static final int MISDIRECTED = 421;
    private static final int SERVER_ERROR = 500;

    /** How long a replica is not asked for an adapter that it said it does not hold; its load may end meanwhile. */
    private static final long ABSENT_ADAPTER_MILLIS = 60;

    /** How long it is not asked for a model, unless there is news of its orders; the list takes a second or two. */
    private static final long ABSENT_MODEL_MILLIS = 1_500;

    private final Context context;
    private final Exchange exchange;
    private final ReplicaState replica;
    private final HttpClientRequest request;
    private boolean over;
    private boolean connectionFailed;

    Attempt(Context context, Exchange exchange, ReplicaState replica, HttpClientRequest request) {
        this.context = context;
        this.exchange = exchange;
        this.replica = replica;
        this.request = request;
    }

    void begin() {
        exchange.current = request;
        replica.callStarted(model());
        context.runTimes.started(replica.id(), exchange);
        exchange.runs++;
        LogEvent.CALL_SENT.logForCall(
                exchange.head.id(),
                exchange.attempt,
                replica.id(),
                replica.inFlight() - 1,
                context.clock.millis() - exchange.arrivedMillis,
                exchange.endMillis - context.clock.millis());
        request.connection().exceptionHandler(failure -> connectionFailed = true);
        request.connection().closeHandler(closed -> onClosed());
        request.send(exchange.body)
                .onSuccess(this::onAnswer)
                .onFailure(failure -> failed(Verdict.MAY_HAVE_RUN, "no answer: " + failure.getMessage()));
    }

    private ModelName model() {
        return exchange.weights.map(WeightKey::model).orElse(null);
    }

    /** Uncounts the attempt; true the first time. */
    private boolean end(boolean succeeded) {
        if (over) {
            return false;
        }
        over = true;
        context.runTimes.ended(replica.id(), exchange, succeeded);
        replica.callEnded(model());
        if (exchange.current == request) {
            exchange.current = null;
        }
        return true;
    }

    private void onClosed() {
        if (!over) {
            failed(Verdict.MAY_HAVE_RUN, "the replica closed the connection");
        }
    }

    private void failed(Verdict verdict, String reason) {
        boolean isCurrent = exchange.current == request;
        if (!end(false)) {
            return;
        }
        request.connection().close();
        if (exchange.finished || !isCurrent) {
            return;
        }
        if (verdict == Verdict.NOT_RUN) {
            exchange.runs--;
        } else {
            context.ejections.recordFailure(replica.id());
        }
        context.owner.onFailed(exchange, replica, verdict, reason);
    }

    private void onAnswer(HttpClientResponse answer) {
        if (over || exchange.finished) {
            request.connection().close();
            end(false);
            return;
        }
        CallCodec.AnswerHead head =
                context.codec.decodeAnswer(answer.statusCode(), answer.headers(), exchange.head.id());
        boolean isSuccess = answer.statusCode() / 100 == 2;
        if (!head.belongsToCall()) {
            failed(Verdict.MAY_HAVE_RUN, "the answer belongs to another call");
        } else if (head.notRun()) {
            onRejected(answer.statusCode());
        } else if (isSuccess && !head.genuine()) {
            failed(Verdict.MAY_HAVE_RUN, "the answer is not vouched for");
        } else if (answer.statusCode() >= SERVER_ERROR && mayTryAgain()) {
            failed(Verdict.RAN, "the replica answered with status " + answer.statusCode());
        } else if (isSuccess && exchange.route.kind() == RouteKind.STREAM) {
            new StreamRelay(answer).begin();
        } else {
            new BodyRelay(answer).begin();
        }
    }

    private boolean mayTryAgain() {
        return !exchange.answering && exchange.route.mayRunAgain() && exchange.runs < exchange.route.maxAttempts();
    }

    private void onRejected(int status) {
        if (status == MISDIRECTED) {
            exchange.weights.ifPresent(this::noteAbsent);
        }
        failed(Verdict.NOT_RUN, "the replica rejected the call with status " + status);
    }

    private void noteAbsent(WeightKey key) {
        long forMillis = key.adapter().isEmpty() ? ABSENT_MODEL_MILLIS : ABSENT_ADAPTER_MILLIS;
        replica.onAbsent(key.model(), key.adapter(), forMillis);
    }

    private void succeeded(int status, String reason) {
        boolean isCurrent = exchange.current == request;
        if (!end(status / 100 == 2)) {
            return;
        }
        request.connection().close();
        if (status < SERVER_ERROR) {
            context.ejections.recordSuccess(replica.id());
        } else {
            context.ejections.recordFailure(replica.id());
        }
        if (isCurrent && !exchange.finished) {
            context.owner.onAnswered(exchange, status, reason);
        }
    }

    /** Passes an answer on that is one body, once it is complete. */
    private final class BodyRelay {

        private final HttpClientResponse answer;
        private final Buffer collected = Buffer.buffer();

        BodyRelay(HttpClientResponse answer) {
            this.answer = answer;
        }

        void begin() {
            answer.exceptionHandler(failure -> failed(Verdict.MAY_HAVE_RUN, "the answer broke off"));
            answer.handler(collected::appendBuffer);
            answer.endHandler(end -> onEnd());
        }

        private void onEnd() {
            if (over || exchange.finished) {
                return;
            }
            if (connectionFailed) {
                failed(Verdict.MAY_HAVE_RUN, "the connection broke off at the answer's end");
                return;
            }
            var response = exchange.request.response();
            response.setStatusCode(answer.statusCode());
            response.headers().setAll(context.codec.toCaller(answer.headers()));
            context.answers.prepare(response);
            response.end(collected);
            succeeded(answer.statusCode(), "complete");
        }
    }

    /** Passes the events of a stream on as they arrive. */
    private final class StreamRelay {

        private final HttpClientResponse answer;

        StreamRelay(HttpClientResponse answer) {
            this.answer = answer;
        }

        void begin() {
            answer.exceptionHandler(failure -> onBroken("the stream broke off: " + failure.getMessage()));
            answer.handler(this::onBytes);
            answer.endHandler(end -> onEnd());
        }

        private void onBytes(Buffer bytes) {
            if (over || exchange.finished) {
                return;
            }
            Buffer whole = exchange.framer.feed(bytes);
            if (whole.length() == 0) {
                return;
            }
            var response = exchange.request.response();
            if (!exchange.answering) {
                exchange.answering = true;
                context.owner.onFirstEvent(exchange);
                response.setStatusCode(answer.statusCode());
                response.headers().setAll(context.codec.toCaller(answer.headers()));
                context.answers.prepare(response);
                response.setChunked(true);
            }
            response.write(whole);
            if (response.writeQueueFull()) {
                answer.pause();
                response.drainHandler(drained -> answer.resume());
            }
        }

        private void onEnd() {
            if (over || exchange.finished) {
                return;
            }
            if (connectionFailed || exchange.framer.partial().length() > 0 || !exchange.answering) {
                onBroken("the stream ended inside an event");
                return;
            }
            exchange.request.response().end();
            succeeded(answer.statusCode(), exchange.framer.events() + " events");
        }

        private void onBroken(String reason) {
            exchange.framer.dropPartial();
            failed(Verdict.MAY_HAVE_RUN, reason);
        }
    }

    /** Hears how attempts go. */
    interface Owner {

        /** Takes an attempt without a usable answer. */
        void onFailed(Exchange exchange, ReplicaState replica, Verdict verdict, String reason);

        /** Takes an attempt whose whole answer was passed on. */
        void onAnswered(Exchange exchange, int status, String reason);

        /** Notes that a stream has begun to reach the caller. */
        void onFirstEvent(Exchange exchange);
    }

    /** What all attempts work with. */
    record Context(
            CallCodec codec,
            Ejections ejections,
            MonotonicClock clock,
            RunTimes runTimes,
            Answers answers,
            Owner owner) {}
}
