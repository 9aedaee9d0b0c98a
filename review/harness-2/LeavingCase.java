import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A replica leaves without a report of draining and says so in its answers; the store comes back from an older copy, in
 * which the replica is still ready. Counts the requests that reach the replica from a machine later than the drain time
 * after that machine has passed on an answer with the announcement.
 *
 * <p>Disruption: 1 for the drill, 0 for none.
 */
final class LeavingCase {

    private static final long DRAIN_MILLIS = 2_000;
    private static final long WORK_MILLIS = 400;
    private static final int CLIENTS_PER_ENTRY = 6;

    /** How long the replica serves after its entry has been removed: the drain time and a little longer. */
    private static final long SERVED_ON_MILLIS = 3_400;

    /** When each entry passed on the first answer with the announcement. */
    private static final Map<Entry, Long> announcedMillis = new ConcurrentHashMap<>();

    private static final Map<String, Entry> entryOfRequest = new ConcurrentHashMap<>();
    private static final Map<String, Long> sentMillis = new ConcurrentHashMap<>();
    private static final AtomicInteger late = new AtomicInteger();
    private static final AtomicInteger lost = new AtomicInteger();
    private static final AtomicInteger answered = new AtomicInteger();
    private static volatile boolean over;

    private LeavingCase() {}

    static int run(Path folder, String disruption) throws Exception {
        boolean drill = disruption.equals("1");
        Store store = new Store();
        store.start();
        store.put("config", "main", config());
        List<Replica> replicas = List.of(replica("i-1", store), replica("i-2", store), replica("i-3", store));
        for (Replica replica : replicas) {
            replica.start();
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
        for (Entry entry : entries) {
            for (int i = 0; i < CLIENTS_PER_ENTRY; i++) {
                int number = i;
                TcpServer.daemon(() -> runClient(entry, number));
            }
        }
        TcpServer.sleep(3_000);
        Store.Copy copy = store.copy();
        TcpServer.sleep(1_000);
        Replica leaver = replicas.get(0);
        leaver.leave();
        long exitMillis = Record.millis() + SERVED_ON_MILLIS;
        TcpServer.sleep(2_500);
        if (drill) {
            Record.line("the store is away");
            store.goAway();
            TcpServer.sleep(300);
            store.comeBackFrom(copy);
            Record.line("the store is back from a copy that was made 3.5 s before it went away");
        }
        TcpServer.sleep(exitMillis - Record.millis());
        leaver.exit();
        TcpServer.sleep(1_500);
        over = true;
        TcpServer.sleep(2_600);
        Record.line(
                "answered %d, ended without an answer of a replica %d, late requests at the leaving replica %d",
                answered.get(), lost.get(), late.get());
        boolean canJudge = announcedMillis.size() == entries.size() && answered.get() > 100;
        Record.line(canJudge ? late.get() > 0 ? "DRAIN is broken" : "DRAIN holds" : "the case could not run");
        entries.forEach(Entry::kill);
        return canJudge ? late.get() > 0 ? 1 : 0 : 2;
    }

    private static Replica replica(String id, Store store) {
        return new Replica(id, "app", store, WORK_MILLIS, LeavingCase::onRun);
    }

    private static com.fasterxml.jackson.databind.JsonNode config() {
        return Json.parse("{\"version\":7,\"routes\":[{\"name\":\"r-book\",\"hostname\":\"site.example\",\"path_prefix\":\"/book/\","
                + "\"route_type\":\"unsafe\",\"timeout_ms\":2500,\"target_latency_ms\":500,\"priority\":1,\"service\":\"app\","
                + "\"max_attempts\":1}],\"services\":[{\"name\":\"app\",\"health_path\":\"/healthz\"}],\"limits\":"
                + "{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":10000,\"idle_timeout_ms\":30000}}");
    }

    private static void onRun(Replica replica, HttpMessage request) {
        String id = request.header("X-Tarragonring-Request-Id");
        Entry entry = entryOfRequest.get(id);
        Long announced = announcedMillis.get(entry);
        boolean isLate = replica.isLeaving() && announced != null && sentMillis.get(id) > announced + DRAIN_MILLIS;
        if (isLate) {
            late.incrementAndGet();
        }
        Record.line(
                "%s runs %s of %s%s",
                replica.id,
                id,
                entry.id,
                isLate
                        ? ", sent %d ms after %s had passed on that it leaves"
                                .formatted(sentMillis.get(id) - announced, entry.id)
                        : "");
    }

    private static void runClient(Entry entry, int number) {
        Client client = new Client("127.0.0.1", entry.callerPort);
        for (int i = 0; !over; i++) {
            String id = "%s-%d-%d".formatted(entry.id, number, i);
            Map<String, String> headers = new HashMap<>();
            headers.put("X-Tarragonring-Request-Id", id);
            headers.put("X-Tarragonring-Deadline-Ms", "2500");
            entryOfRequest.put(id, entry);
            sentMillis.put(id, Record.millis());
            try {
                HttpMessage answer = client.send("POST", "/book/" + number, headers, 2_500);
                Record.line("%s answers %s: %d %s", entry.id, id, answer.status(), answer.text().trim());
                if (answer.header("Server-Leaving") != null) {
                    announcedMillis.putIfAbsent(entry, Record.millis());
                }
                (answer.status() == 200 ? answered : lost).incrementAndGet();
            } catch (IOException e) {
                Record.line("%s does not answer %s: %s", entry.id, id, e.getMessage());
                lost.incrementAndGet();
            }
            TcpServer.sleep(20);
        }
    }
}
