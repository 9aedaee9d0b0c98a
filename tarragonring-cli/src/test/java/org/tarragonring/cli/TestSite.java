package org.tarragonring.cli;

import java.net.URISyntaxException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import org.tarragonring.cli.client.CallClient;
import org.tarragonring.cli.client.CallResult;
import org.tarragonring.cli.client.ChatCall;
import org.tarragonring.cli.demo.LocalSite;
import org.tarragonring.entry.SettingKey;
import org.tarragonring.ids.HostPort;
import org.tarragonring.standin.engine.EngineProfile;
import org.tarragonring.standin.engine.EngineServer;

/** A small site that runs in the process of the test. */
final class TestSite implements AutoCloseable {

    static final String TEAM_KEY = "atelier-key";
    private static final int TIMEOUT_SECONDS = 90;

    final Vertx vertx = Vertx.vertx();
    final LocalSite localSite;
    final CallClient client = new CallClient(vertx);

    TestSite(int entries, int engines, Map<SettingKey, String> settings) throws Exception {
        this(entries, engines, settings, EngineProfile.withShortDelays(40L << 30, true));
    }

    TestSite(int entries, int engines, Map<SettingKey, String> settings, EngineProfile profile) throws Exception {
        localSite = new LocalSite(vertx, new LocalSite.Options(entries, 3, engines, 2, profile, settings));
        localSite.start(objects());
    }

    static Path objects() throws URISyntaxException {
        return Path.of(TestSite.class.getResource("/objects").toURI());
    }

    HostPort entry(int index) {
        return localSite.entries().get(index).callerAddress();
    }

    Future<CallResult> chat(int entry, String model, String prompt, int tokens) {
        return client.chat(new ChatCall(entry(entry), TEAM_KEY, model, prompt, tokens), token -> {});
    }

    Future<CallResult> book(int entry, String key) {
        return client.service(entry(entry), TEAM_KEY, HttpMethod.POST, "/bookings", key, "booking " + key);
    }

    /** Returns how often the plain service ran the request with an idempotency key. */
    int runCount(String key) {
        return localSite.runsByKey().containsKey(key)
                ? localSite.runsByKey().get(key).get()
                : 0;
    }

    /** Returns the complete text that an engine generates for a prompt. */
    static String expectedText(String prompt, int tokens) {
        StringBuilder text = new StringBuilder();
        for (int i = 1; i <= tokens; i++) {
            text.append(EngineServer.tokenText(prompt, i));
        }
        return text.toString();
    }

    static <T> T join(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    static void await(BooleanSupplier condition) throws InterruptedException {
        for (long i = 0; i < Duration.ofSeconds(TIMEOUT_SECONDS).toMillis() / 10; i++) {
            if (condition.getAsBoolean()) {
                return;
            }
            Thread.sleep(10);
        }
        throw new AssertionError("condition was not met within " + TIMEOUT_SECONDS + " seconds");
    }

    @Override
    public void close() throws Exception {
        localSite.stop();
        join(vertx.close());
    }
}
