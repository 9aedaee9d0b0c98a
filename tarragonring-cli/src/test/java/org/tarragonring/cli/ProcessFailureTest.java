package org.tarragonring.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tarragonring.cli.client.CallResult;
import org.tarragonring.cli.client.ChatCall;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.objects.Instance;
import org.tarragonring.objects.Json;
import org.tarragonring.standin.proxy.FaultProxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * A call must not be lost or run twice, and no surplus replica may be loaded, while processes are killed, paused or
 * stopped with signals and while a proxy drops responses or closes connections between them.
 */
class ProcessFailureTest {

    private static final String MODEL = "quote-tote";

    @TempDir
    private Path folder;

    @Test
    void callsThroughOtherEntriesSurviveTheKillOfAnEntry() throws Exception {
        try (ProcessSite site = startSite(3, 3, true)) {
            List<Future<CallResult>> calls = IntStream.range(0, 12)
                    .mapToObj(i -> chat(site, 1 + i % 2, "kill " + i, 300))
                    .toList();
            assertTrue(TestSite.join(chat(site, 0, "first", 2)).isAnswered());
            site.entries.get(0).kill();
            for (int i = 0; i < calls.size(); i++) {
                CallResult result = TestSite.join(calls.get(i));
                assertTrue(result.isAnswered(), result.describe());
                assertEquals(TestSite.expectedText("kill " + i, 300), result.text());
            }
        }
    }

    @Test
    void shutdownCompletesOpenStreams() throws Exception {
        try (ProcessSite site = startSite(2, 2, true)) {
            AtomicInteger tokens = new AtomicInteger();
            ChatCall call = new ChatCall(site.entryAddresses.get(0), TestSite.TEAM_KEY, MODEL, "drain", 500);
            Future<CallResult> stream = site.client.chat(call, token -> tokens.incrementAndGet());
            TestSite.await(() -> tokens.get() > 3);
            site.entries.get(0).signal("TERM");
            CallResult result = TestSite.join(stream);
            assertTrue(result.isAnswered(), result.describe());
            assertEquals(TestSite.expectedText("drain", 500), result.text());
            assertEquals(0, site.entries.get(0).exitCode());
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void entryPausedPastItsLeaseCreatesNoSurplusReplica(boolean honoursFence) throws Exception {
        try (ProcessSite site = startSite(3, 2, honoursFence)) {
            List<Future<CallResult>> calls = IntStream.range(0, 3)
                    .mapToObj(i -> chat(site, i, "freeze " + i, 3))
                    .toList();
            int homeEntryIndex = homeEntryIndex(site);
            site.entries.get(homeEntryIndex).signal("STOP");
            for (int i = 0; i < 3; i++) {
                if (i != homeEntryIndex) {
                    CallResult result = TestSite.join(calls.get(i));
                    assertTrue(result.isAnswered(), result.describe());
                }
            }
            site.entries.get(homeEntryIndex).signal("CONT");
            CallResult after = TestSite.join(chat(site, homeEntryIndex, "after", 3));
            assertTrue(after.isAnswered(), after.describe());
            assertTrue(site.residentReplicas(MODEL) <= decidedReplicas(site), "more resident replicas than decided");
        }
    }

    @Test
    void bookingWhoseResponseIsLostIsNotRetried() throws Exception {
        try (ProcessSite site = new ProcessSite(folder)) {
            site.publish();
            HostPort service = site.startStandIn(
                    "service", "--platform", site.platform.toString(), "--id", "direct", "--service", "unused");
            FaultProxy proxy = new FaultProxy(site.vertx, service);
            HostPort proxied = TestSite.join(proxy.start());
            register(site, new Instance(new UpstreamId("proxied"), "bookings", proxied, "d0", false));
            site.startEntry("a", site.platform);
            site.startEntry("b", site.platform);
            site.awaitReady();
            assertTrue(retryUntilAnswered(site, "warm").isAnswered());
            proxy.setMode(FaultProxy.Mode.CLOSE_ON_RESPONSE);
            assertEquals("may-have-run", TestSite.join(book(site, 0, "cut")).verdict());
            proxy.setMode(FaultProxy.Mode.FORWARD);
            CallResult retried = TestSite.join(book(site, 1, "cut"));
            assertEquals("outcome_unknown", retried.code());
            CallResult direct = TestSite.join(site.client.service(
                    service, TestSite.TEAM_KEY, HttpMethod.POST, "/bookings", "cut", "booking cut"));
            assertEquals(
                    2,
                    new JsonObject(direct.text()).getInteger("run"),
                    "the entries must have run the booking once; this direct call is its second run");
        }
    }

    @Test
    void entryServesLoadedModelsWhileThePlatformDoesNotRespond() throws Exception {
        try (ProcessSite site = new ProcessSite(folder)) {
            site.publish();
            site.startEngine(0, true);
            FaultProxy proxy = new FaultProxy(site.vertx, site.platform);
            site.startEntry("a", TestSite.join(proxy.start()));
            site.awaitReady();
            CallResult before = TestSite.join(chat(site, 0, "before", 2));
            assertTrue(before.isAnswered(), before.describe());
            proxy.setMode(FaultProxy.Mode.DROP_RESPONSES);
            CallResult chat = TestSite.join(chat(site, 0, "during", 20));
            assertTrue(chat.isAnswered(), chat.describe());
            CallResult booking = TestSite.join(book(site, 0, "cut-off"));
            assertEquals("not-run", booking.verdict());
        }
    }

    private ProcessSite startSite(int entries, int engines, boolean honoursFence) throws Exception {
        ProcessSite site = new ProcessSite(folder);
        site.publish();
        for (int i = 0; i < engines; i++) {
            site.startEngine(i, honoursFence);
        }
        for (int i = 0; i < entries; i++) {
            site.startEntry("entry" + i, site.platform);
        }
        site.awaitReady();
        return site;
    }

    private static Future<CallResult> chat(ProcessSite site, int entry, String prompt, int tokens) {
        return site.client.chat(
                new ChatCall(site.entryAddresses.get(entry), TestSite.TEAM_KEY, MODEL, prompt, tokens), token -> {});
    }

    private static Future<CallResult> book(ProcessSite site, int entry, String key) {
        return site.client.service(
                site.entryAddresses.get(entry), TestSite.TEAM_KEY, HttpMethod.POST, "/bookings", key, "booking " + key);
    }

    private static CallResult retryUntilAnswered(ProcessSite site, String key) throws Exception {
        CallResult result = TestSite.join(book(site, 0, key));
        while (!result.isAnswered()) {
            Thread.sleep(50);
            result = TestSite.join(book(site, 0, key));
        }
        return result;
    }

    private static int homeEntryIndex(ProcessSite site) throws Exception {
        JsonObject resolved = TestSite.join(site.client.resolve(site.entryAddresses.get(0), TestSite.TEAM_KEY, MODEL));
        String first = resolved.getJsonArray("addresses").getString(0);
        return site.entryAddresses.indexOf(HostPort.parse(first));
    }

    private static int decidedReplicas(ProcessSite site) throws Exception {
        return site.json(site.platform, "/objects/models%2F" + MODEL)
                .getJsonObject("body")
                .getInteger("decidedReplicas");
    }

    private static void register(ProcessSite site, Instance instance) throws Exception {
        TestSite.join(site.web
                .post(site.platform.port(), site.platform.host(), "/instances")
                .sendBuffer(Buffer.buffer(Json.write(instance))));
    }
}
