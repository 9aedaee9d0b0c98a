import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients of one route read their answers slowly. Counts the requests of other clients, on another route, that have no
 * answer half a second after the timeout of their route.
 *
 * <p>Disruption: 1 for slow clients, 0 for clients that read at once.
 */
final class HeldAnswersCase {

    private static final int BODY_BYTES = 1_000_000;
    private static final int SLOW_BYTES_PER_SECOND = 55_000;
    private static final int RECEIVE_BUFFER_BYTES = 16_384;
    private static final long INTERVAL_MILLIS = 50;
    private static final long LOAD_MILLIS = 20_000;
    private static final int DEADLINE_MILLIS = 20_000;

    private static final int QUICK_CLIENTS = 10;
    private static final int QUICK_TIMEOUT_MILLIS = 2_500;
    private static final int QUICK_SLACK_MILLIS = 500;

    private static final AtomicInteger openAnswers = new AtomicInteger();
    private static final AtomicInteger mostOpenAnswers = new AtomicInteger();
    private static final AtomicInteger wholeAnswers = new AtomicInteger();
    private static final AtomicInteger answered = new AtomicInteger();
    private static final AtomicInteger late = new AtomicInteger();
    private static final AtomicInteger unanswered = new AtomicInteger();
    private static final AtomicLong peakMegabytes = new AtomicLong();
    private static volatile boolean over;

    private HeldAnswersCase() {}

    static int run(Path folder, String disruption) throws Exception {
        int bytesPerSecond = disruption.equals("1") ? SLOW_BYTES_PER_SECOND : Integer.MAX_VALUE;
        Store store = new Store();
        store.start();
        store.put("config", "main", config());
        for (int i = 1; i <= 3; i++) {
            new Replica("d-" + i, "docs", store, 50, (replica, request) -> {}).answering("x".repeat(BODY_BYTES)).start();
        }
        for (int i = 1; i <= 2; i++) {
            new Replica("i-" + i, "app", store, 40, (replica, request) ->
                            Record.line("%s runs %s", replica.id, request.header("X-Tarragonring-Request-Id")))
                    .start();
        }
        List<Entry> entries = List.of(
                new Entry("front-a-1", "zone-a", folder, store.address(), true),
                new Entry("front-b-1", "zone-b", folder, store.address(), true));
        for (Entry entry : entries) {
            entry.start();
        }
        for (Entry entry : entries) {
            entry.awaitReady();
        }
        TcpServer.sleep(4_000);
        Entry entry = entries.get(0);
        TcpServer.daemon(() -> followMemory(entry));
        for (int i = 0; i < QUICK_CLIENTS; i++) {
            int number = i;
            TcpServer.daemon(() -> runQuickClient(entry, number));
        }
        TcpServer.sleep(2_000);
        Record.line("answered so far %d, unanswered %d", answered.get(), unanswered.get());
        int sent = 0;
        for (long endMillis = Record.millis() + LOAD_MILLIS; Record.millis() < endMillis; sent++) {
            String id = "doc-" + sent;
            TcpServer.daemon(() -> read(entry, id, bytesPerSecond));
            TcpServer.sleep(INTERVAL_MILLIS);
        }
        TcpServer.sleep(4_000);
        over = true;
        TcpServer.sleep(QUICK_TIMEOUT_MILLIS + 2 * QUICK_SLACK_MILLIS);
        Record.line(
                "long answers: asked for %d, whole %d, most at a time %d; resident memory of the entry %d MB, alive %s",
                sent, wholeAnswers.get(), mostOpenAnswers.get(), peakMegabytes.get(), entry.isAlive());
        Record.line(
                "other requests: answered %d, of them after the timeout %d, without an answer %d ms after it %d",
                answered.get(), late.get(), QUICK_SLACK_MILLIS, unanswered.get());
        boolean isBroken = unanswered.get() >= 8 && unanswered.get() > late.get();
        Record.line(isBroken ? "CONFIG is broken" : "CONFIG holds");
        entries.forEach(Entry::kill);
        return isBroken ? 1 : 0;
    }

    private static com.fasterxml.jackson.databind.JsonNode config() {
        String route = "{\"name\":\"r-%s\",\"hostname\":\"site.example\",\"path_prefix\":\"/%s/\",\"route_type\":\"%s\",\"timeout_ms\":%d,"
                + "\"target_latency_ms\":500,\"priority\":1,\"service\":\"%s\",\"max_attempts\":1}";
        return Json.parse("{\"version\":7,\"routes\":[" + route.formatted("docs", "docs", "safe", DEADLINE_MILLIS, "docs") + ","
                + route.formatted("book", "book", "unsafe", QUICK_TIMEOUT_MILLIS, "app")
                + "],\"services\":[{\"name\":\"docs\",\"health_path\":\"/healthz\"},{\"name\":\"app\",\"health_path\":\"/healthz\"}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":10000,"
                + "\"idle_timeout_ms\":30000}}");
    }

    private static void followMemory(Entry entry) {
        Path status = Path.of("/proc/" + entry.process().pid() + "/status");
        while (!over) {
            try {
                for (String line : java.nio.file.Files.readAllLines(status)) {
                    if (line.startsWith("VmRSS:")) {
                        long megabytes = Long.parseLong(line.replaceAll("\\D", "")) / 1_024;
                        peakMegabytes.accumulateAndGet(megabytes, Math::max);
                    }
                }
            } catch (IOException e) {
                return;
            }
            TcpServer.sleep(100);
        }
    }

    private static void runQuickClient(Entry entry, int number) {
        Client client = new Client("127.0.0.1", entry.callerPort);
        for (int i = 0; !over; i++) {
            String id = "book-%d-%d".formatted(number, i);
            long sentMillis = Record.millis();
            Map<String, String> headers =
                    Map.of("X-Tarragonring-Request-Id", id, "X-Tarragonring-Deadline-Ms", "" + QUICK_TIMEOUT_MILLIS);
            try {
                HttpMessage answer = client.send("POST", "/book/x", headers, QUICK_TIMEOUT_MILLIS + QUICK_SLACK_MILLIS);
                answered.incrementAndGet();
                late.addAndGet(Record.millis() - sentMillis > QUICK_TIMEOUT_MILLIS ? 1 : 0);
                Record.line("%s is answered %d after %d ms", id, answer.status(), Record.millis() - sentMillis);
            } catch (IOException e) {
                unanswered.incrementAndGet();
                Record.line("%s has no answer after %d ms: %s", id, Record.millis() - sentMillis, e.getMessage());
            }
            TcpServer.sleep(100);
        }
    }

    private static void read(Entry entry, String id, int bytesPerSecond) {
        try (Socket connection = new Socket()) {
            mostOpenAnswers.accumulateAndGet(openAnswers.incrementAndGet(), Math::max);
            connection.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            connection.connect(new InetSocketAddress("127.0.0.1", entry.callerPort), 1_000);
            connection.setSoTimeout(DEADLINE_MILLIS);
            long endMillis = Record.millis() + DEADLINE_MILLIS;
            String head = "GET /docs/x HTTP/1.1\r\nHost: site.example\r\nX-Tarragonring-Request-Id: %s\r\n".formatted(id)
                    + "X-Tarragonring-Deadline-Ms: %d\r\n\r\n".formatted(DEADLINE_MILLIS);
            connection.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = connection.getInputStream();
            HttpMessage answer = HttpMessage.readHead(in);
            if (answer == null || answer.status() != 200) {
                Record.line("%s is answered %s", id, answer == null ? "with the end of the connection" : answer.startLine);
                return;
            }
            long startMillis = Record.millis();
            byte[] part = new byte[16_384];
            int length = 0;
            for (int count = in.read(part); count >= 0; count = in.read(part)) {
                length += count;
                if (length >= BODY_BYTES) {
                    wholeAnswers.incrementAndGet();
                    return;
                }
                if (Record.millis() > endMillis) {
                    return;
                }
                TcpServer.sleep(startMillis + length * 1_000L / bytesPerSecond - Record.millis());
            }
        } catch (IOException e) {
            Record.line("%s ends: %s", id, e.getMessage());
        } finally {
            openAnswers.decrementAndGet();
        }
    }
}
