import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A process of the system gets SIGTERM while clients read their answers slowly. Counts the answers that are cut before the
 * grace has passed.
 *
 * <p>Disruption: 1 for the stop, 0 for none.
 */
final class SlowReaderCase {

    private static final int BODY_BYTES = 1_000_000;
    private static final int BYTES_PER_SECOND = 180_000;
    private static final int RECEIVE_BUFFER_BYTES = 16_384;
    private static final long WORK_MILLIS = 100;
    private static final int CLIENTS = 6;
    private static final long DEADLINE_MILLIS = 15_000;
    private static final long GRACE_MILLIS = 8_000;

    private static final AtomicInteger runs = new AtomicInteger();
    private static final AtomicInteger complete = new AtomicInteger();
    private static final AtomicInteger cut = new AtomicInteger();
    private static volatile long stoppedMillis = Long.MAX_VALUE;

    private SlowReaderCase() {}

    static int run(Path folder, String disruption) throws Exception {
        boolean stops = disruption.equals("1");
        Store store = new Store();
        store.start();
        store.put("config", "main", config());
        for (int i = 1; i <= 2; i++) {
            new Replica("i-" + i, "app", store, WORK_MILLIS, (replica, request) -> {
                runs.incrementAndGet();
                Record.line("%s runs %s", replica.id, request.header("X-Tarragonring-Request-Id"));
            }).answering("x".repeat(BODY_BYTES)).start();
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
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            TcpServer.daemon(() -> read(entries.get(0), "r" + number));
        }
        TcpServer.sleep(600);
        if (stops) {
            stoppedMillis = Record.millis();
            entries.get(0).terminate();
            entries.get(0).process().onExit().thenRun(() ->
                    Record.line("%s has ended, %d ms after SIGTERM", entries.get(0).id, Record.millis() - stoppedMillis));
        }
        long endMillis = Record.millis() + DEADLINE_MILLIS;
        while (complete.get() + cut.get() < CLIENTS && Record.millis() < endMillis) {
            TcpServer.sleep(50);
        }
        Record.line("runs %d, complete answers %d, cut answers %d", runs.get(), complete.get(), cut.get());
        boolean canJudge = complete.get() + cut.get() == CLIENTS && runs.get() == CLIENTS;
        Record.line(canJudge ? cut.get() > 0 ? "LOST is broken" : "LOST holds" : "the case could not run");
        entries.forEach(Entry::kill);
        return canJudge ? cut.get() > 0 ? 1 : 0 : 2;
    }

    private static com.fasterxml.jackson.databind.JsonNode config() {
        return Json.parse("{\"version\":7,\"routes\":[{\"name\":\"r-book\",\"hostname\":\"site.example\",\"path_prefix\":\"/book/\","
                + "\"route_type\":\"unsafe\",\"timeout_ms\":15000,\"target_latency_ms\":500,\"priority\":1,\"service\":\"app\","
                + "\"max_attempts\":1}],\"services\":[{\"name\":\"app\",\"health_path\":\"/healthz\"}],\"limits\":"
                + "{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":10000,\"idle_timeout_ms\":30000}}");
    }

    private static void read(Entry entry, String id) {
        int length = 0;
        try (Socket connection = new Socket()) {
            connection.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            connection.connect(new InetSocketAddress("127.0.0.1", entry.callerPort), 1_000);
            connection.setSoTimeout(5_000);
            String head = "POST /book/x HTTP/1.1\r\nHost: site.example\r\nX-Tarragonring-Request-Id: %s\r\n".formatted(id)
                    + "X-Tarragonring-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n".formatted(DEADLINE_MILLIS);
            connection.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            Record.line("%s sent", id);
            InputStream in = connection.getInputStream();
            HttpMessage answer = HttpMessage.readHead(in);
            int expected = Integer.parseInt(answer.header("content-length"));
            byte[] part = new byte[BYTES_PER_SECOND / 20];
            while (length < expected) {
                int count = in.read(part, 0, Math.min(part.length, expected - length));
                if (count < 0) {
                    throw new IOException("the connection is closed");
                }
                length += count;
                TcpServer.sleep(count * 1_000L / BYTES_PER_SECOND);
            }
            complete.incrementAndGet();
            Record.line("%s has the whole answer, status %d", id, answer.status());
        } catch (IOException | RuntimeException e) {
            long sinceStop = Record.millis() - stoppedMillis;
            Record.line("%s is cut after %d bytes, %d ms after SIGTERM: %s", id, length, sinceStop, e.getMessage());
            if (sinceStop < GRACE_MILLIS) {
                cut.incrementAndGet();
            }
        }
    }
}
