package org.tarragonring.cli.demo;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import org.tarragonring.cli.client.CallClient;
import org.tarragonring.cli.client.CallResult;
import org.tarragonring.cli.client.ChatCall;
import org.tarragonring.config.ConfigSet;
import org.tarragonring.config.Model;
import org.tarragonring.config.PlainService;
import org.tarragonring.entry.Entry;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.TeamName;
import org.tarragonring.standin.engine.EngineServer;

/**
 * Generates the calls of the demo: bursts of chat calls to one model, and single calls to plain services in between.
 * Some service calls are sent a second time with the same idempotency key, usually through another entry.
 */
final class DemoCallers {

    private static final int BURST_PERIOD_MILLIS = 400;
    private static final int SERVICE_CALL_PERIOD_MILLIS = 60;
    private static final int MAX_CALLS_PER_BURST = 24;
    private static final int TOKENS_PER_CALL = 24;
    private static final double RESEND_PROBABILITY = 0.2;
    private static final double ADAPTER_PROBABILITY = 0.4;
    private static final double RANDOM_MODEL_PROBABILITY = 0.5;
    private static final int MAX_RECENT_MODELS = 6;

    private final Vertx vertx;
    private final LocalSite site;
    private final ConfigSet config;
    private final DemoReport report;
    private final Random random;
    private final CallClient client;
    private final List<Model> models;
    private final List<Model> recentModels = new ArrayList<>();
    private final List<Future<?>> pendingCalls = Collections.synchronizedList(new ArrayList<>());
    private long burstTimer;
    private long serviceCallTimer;
    private int callCount;

    DemoCallers(Vertx vertx, LocalSite site, ConfigSet config, DemoReport report, long seed) {
        this.vertx = vertx;
        this.site = site;
        this.config = config;
        this.report = report;
        this.random = new Random(seed);
        this.client = new CallClient(vertx);
        this.models = config.models().stream()
                .sorted((a, b) -> a.name().compareTo(b.name()))
                .toList();
    }

    void start() {
        burstTimer = vertx.setPeriodic(1, BURST_PERIOD_MILLIS, id -> sendBurst());
        serviceCallTimer = vertx.setPeriodic(1, SERVICE_CALL_PERIOD_MILLIS, id -> callService());
    }

    /** Stops sending calls and returns a future that completes when the pending calls have ended. */
    CompletableFuture<Void> stop() {
        vertx.cancelTimer(burstTimer);
        vertx.cancelTimer(serviceCallTimer);
        List<Future<?>> unfinishedCalls = List.copyOf(pendingCalls);
        return Future.join(new ArrayList<>(unfinishedCalls))
                .toCompletionStage()
                .toCompletableFuture()
                .thenAccept(done -> {});
    }

    /** Sends several calls to one model at once. The model counts as cold if no engine holds or loads it. */
    private void sendBurst() {
        Model model = chooseModel();
        boolean wasCold = site.engines().stream()
                .allMatch(e -> e.engine().slotsOf(model.name()).isEmpty());
        int callsInBurst = 1 + random.nextInt(MAX_CALLS_PER_BURST);
        for (int i = 0; i < callsInBurst; i++) {
            sendChat(model, wasCold);
        }
    }

    /** Returns one of the recently called models or, with a fixed probability, any model. */
    private Model chooseModel() {
        Model model = recentModels.isEmpty() || random.nextDouble() < RANDOM_MODEL_PROBABILITY
                ? models.get(random.nextInt(models.size()))
                : recentModels.get(random.nextInt(recentModels.size()));
        recentModels.remove(model);
        recentModels.add(model);
        if (recentModels.size() > MAX_RECENT_MODELS) {
            recentModels.remove(0);
        }
        return model;
    }

    private void sendChat(Model model, boolean wasCold) {
        String name = chooseModelOrAdapter(model);
        String prompt = "call " + callCount++;
        String teamKey = teamKey(randomElement(List.copyOf(model.teams())));
        ChatCall call = new ChatCall(randomEntryAddress(), teamKey, name, prompt, TOKENS_PER_CALL);
        Future<CallResult> result = client.chat(call, token -> {}).map(r -> verifyTokens(r, prompt));
        track(result.onSuccess(r -> report.add(model.callClass().name(), wasCold, r)));
    }

    private String chooseModelOrAdapter(Model model) {
        List<ModelName> adapters = config.adapters().stream()
                .filter(a -> a.model().equals(model.name()))
                .map(a -> a.name())
                .sorted()
                .toList();
        boolean useAdapter = !adapters.isEmpty() && random.nextDouble() < ADAPTER_PROBABILITY;
        return (useAdapter ? randomElement(adapters) : model.name()).value();
    }

    /** Returns a result with outcome LOST instead of a response whose text is incomplete or belongs to another call. */
    private static CallResult verifyTokens(CallResult result, String prompt) {
        if (!result.isAnswered()) {
            return result;
        }
        StringBuilder expected = new StringBuilder();
        for (int i = 1; i <= TOKENS_PER_CALL; i++) {
            expected.append(EngineServer.tokenText(prompt, i));
        }
        return expected.toString().equals(result.text())
                ? result
                : new CallResult(CallResult.Outcome.LOST, "wrong-answer", "", result.text(), 0, -1);
    }

    /** Calls a random service, with an idempotency key if its call class must not be retried. */
    private void callService() {
        PlainService service = randomElement(config.services());
        String teamKey = teamKey(randomElement(List.copyOf(service.teams())));
        if (service.callClass().retryable()) {
            Future<CallResult> status = client.service(
                    randomEntryAddress(), teamKey, HttpMethod.GET, service.route() + "/" + callCount++, null, "");
            track(status.onSuccess(r -> report.add(service.callClass().name(), false, r)));
            return;
        }
        String idempotencyKey = "plain-" + callCount++;
        Future<CallResult> first = sendKeyedCall(service, teamKey, idempotencyKey);
        track(first.onSuccess(r -> report.add(service.callClass().name(), false, r)));
        if (random.nextDouble() < RESEND_PROBABILITY) {
            track(sendKeyedCall(service, teamKey, idempotencyKey).onSuccess(r -> report.addResend(r)));
        }
    }

    private Future<CallResult> sendKeyedCall(PlainService service, String teamKey, String idempotencyKey) {
        return client.service(
                randomEntryAddress(), teamKey, HttpMethod.POST, service.route(), idempotencyKey, idempotencyKey);
    }

    private void track(Future<?> future) {
        pendingCalls.add(future);
        future.onComplete(done -> pendingCalls.remove(future));
    }

    private HostPort randomEntryAddress() {
        List<Entry> entries = site.entries();
        return entries.get(random.nextInt(entries.size())).callerAddress();
    }

    private <T> T randomElement(List<T> items) {
        return items.get(random.nextInt(items.size()));
    }

    private static String teamKey(TeamName team) {
        return team + "-key";
    }
}
