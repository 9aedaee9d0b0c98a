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

/** A small site in the test's own process. */
final class TestSite implements AutoCloseable {

    static final String KEY = "atelier-key";
    private static final int GUARD_SECONDS = 90;

    final Vertx vertx = Vertx.vertx();
    final LocalSite site;
    final CallClient client = new CallClient(vertx);

    TestSite(int entries, int engines, Map<SettingKey, String> settings) throws Exception {
        this(entries, engines, settings, EngineProfile.withShortDelays(40L << 30, true));
    }

    TestSite(int entries, int engines, Map<SettingKey, String> settings, EngineProfile profile) throws Exception {
        site = new LocalSite(vertx, new LocalSite.Options(entries, 3, engines, 2, profile, settings));
        site.start(objects());
    }

    static Path objects() throws URISyntaxException {
        return Path.of(TestSite.class.getResource("/objects").toURI());
    }

    HostPort entry(int index) {
        return site.entries().get(index).callerAddress();
    }

    Future<CallResult> chat(int entry, String model, String prompt, int tokens) {
        return client.chat(new ChatCall(entry(entry), KEY, model, prompt, tokens), token -> {});
    }

    Future<CallResult> book(int entry, String key) {
        return client.service(entry(entry), KEY, HttpMethod.POST, "/bookings", key, "booking " + key);
    }

    int runs(String key) {
        return site.executionsByKey().containsKey(key)
                ? site.executionsByKey().get(key).get()
                : 0;
    }

    static String whole(String prompt, int tokens) {
        StringBuilder text = new StringBuilder();
        for (int i = 1; i <= tokens; i++) {
            text.append(EngineServer.tokenText(prompt, i));
        }
        return text.toString();
    }

    static <T> T join(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(GUARD_SECONDS, TimeUnit.SECONDS);
    }

    static void await(BooleanSupplier condition) throws InterruptedException {
        for (long i = 0; i < Duration.ofSeconds(GUARD_SECONDS).toMillis() / 10; i++) {
            if (condition.getAsBoolean()) {
                return;
            }
            Thread.sleep(10);
        }
        throw new AssertionError("the condition did not come about");
    }

    @Override
    public void close() throws Exception {
        site.stop();
        join(vertx.close());
    }
}
