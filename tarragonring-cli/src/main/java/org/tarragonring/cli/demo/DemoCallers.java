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
 * Calls a site in bursts after quiet spells, with plain calls among them, some of which are sent again through
 * another entry.
 */
final class DemoCallers {

    private static final int BURST_PERIOD_MILLIS = 400;
    private static final int PLAIN_PERIOD_MILLIS = 60;
    private static final int MAX_BURST = 24;
    private static final int TOKENS = 24;
    private static final double RESEND_SHARE = 0.2;
    private static final double ADAPTER_SHARE = 0.4;
    private static final double NEW_MODEL_SHARE = 0.5;
    private static final int RECENT_MODELS = 6;

    private final Vertx vertx;
    private final LocalSite site;
    private final ConfigSet set;
    private final DemoReport report;
    private final Random random;
    private final CallClient client;
    private final List<Model> models;
    private final List<Model> recent = new ArrayList<>();
    private final List<Future<?>> pending = Collections.synchronizedList(new ArrayList<>());
    private long burstTimer;
    private long plainTimer;
    private int calls;

    DemoCallers(Vertx vertx, LocalSite site, ConfigSet set, DemoReport report, long seed) {
        this.vertx = vertx;
        this.site = site;
        this.set = set;
        this.report = report;
        this.random = new Random(seed);
        this.client = new CallClient(vertx);
        this.models = set.models().stream()
                .sorted((a, b) -> a.name().compareTo(b.name()))
                .toList();
    }

    void start() {
        burstTimer = vertx.setPeriodic(1, BURST_PERIOD_MILLIS, id -> burst());
        plainTimer = vertx.setPeriodic(1, PLAIN_PERIOD_MILLIS, id -> plain());
    }

    /** Stops calling and waits for the calls under way. */
    CompletableFuture<Void> stop() {
        vertx.cancelTimer(burstTimer);
        vertx.cancelTimer(plainTimer);
        List<Future<?>> open = List.copyOf(pending);
        return Future.join(new ArrayList<>(open))
                .toCompletionStage()
                .toCompletableFuture()
                .thenAccept(done -> {});
    }

    private void burst() {
        Model model = nextModel();
        boolean wasCold = site.engines().stream()
                .allMatch(e -> e.engine().slotsOf(model.name()).isEmpty());
        int size = 1 + random.nextInt(MAX_BURST);
        for (int i = 0; i < size; i++) {
            chat(model, wasCold);
        }
    }

    private Model nextModel() {
        Model model = recent.isEmpty() || random.nextDouble() < NEW_MODEL_SHARE
                ? models.get(random.nextInt(models.size()))
                : recent.get(random.nextInt(recent.size()));
        recent.remove(model);
        recent.add(model);
        if (recent.size() > RECENT_MODELS) {
            recent.remove(0);
        }
        return model;
    }

    private void chat(Model model, boolean wasCold) {
        String name = calledName(model);
        String prompt = "call " + calls++;
        String key = key(random(List.copyOf(model.teams())));
        ChatCall call = new ChatCall(entry(), key, name, prompt, TOKENS);
        Future<CallResult> result = client.chat(call, token -> {}).map(r -> checked(r, prompt));
        track(result.onSuccess(r -> report.add(model.callClass().name(), wasCold, r)));
    }

    private String calledName(Model model) {
        List<ModelName> adapters = set.adapters().stream()
                .filter(a -> a.model().equals(model.name()))
                .map(a -> a.name())
                .sorted()
                .toList();
        boolean useAdapter = !adapters.isEmpty() && random.nextDouble() < ADAPTER_SHARE;
        return (useAdapter ? random(adapters) : model.name()).value();
    }

    /** Counts an answer that is not the caller's own or not whole as lost. */
    private static CallResult checked(CallResult result, String prompt) {
        if (!result.isAnswered()) {
            return result;
        }
        StringBuilder expected = new StringBuilder();
        for (int i = 1; i <= TOKENS; i++) {
            expected.append(EngineServer.tokenText(prompt, i));
        }
        return expected.toString().equals(result.text())
                ? result
                : new CallResult(CallResult.Outcome.LOST, "wrong-answer", "", result.text(), 0, -1);
    }

    private void plain() {
        PlainService service = random(set.services());
        String key = key(random(List.copyOf(service.teams())));
        if (service.callClass().retryable()) {
            Future<CallResult> status =
                    client.service(entry(), key, HttpMethod.GET, service.route() + "/" + calls++, null, "");
            track(status.onSuccess(r -> report.add(service.callClass().name(), false, r)));
            return;
        }
        String idempotencyKey = "plain-" + calls++;
        Future<CallResult> first = book(service, key, idempotencyKey);
        track(first.onSuccess(r -> report.add(service.callClass().name(), false, r)));
        if (random.nextDouble() < RESEND_SHARE) {
            track(book(service, key, idempotencyKey).onSuccess(r -> report.addResend(r)));
        }
    }

    private Future<CallResult> book(PlainService service, String key, String idempotencyKey) {
        return client.service(entry(), key, HttpMethod.POST, service.route(), idempotencyKey, idempotencyKey);
    }

    private void track(Future<?> future) {
        pending.add(future);
        future.onComplete(done -> pending.remove(future));
    }

    private HostPort entry() {
        List<Entry> entries = site.entries();
        return entries.get(random.nextInt(entries.size())).callerAddress();
    }

    private <T> T random(List<T> items) {
        return items.get(random.nextInt(items.size()));
    }

    private static String key(TeamName team) {
        return team + "-key";
    }
}
