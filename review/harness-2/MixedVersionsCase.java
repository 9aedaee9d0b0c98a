import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * During a release, all processes of the system are killed while the store is away and comes back from an older copy, which
 * does not have the replica of the new software version yet. Clients take up their broken streams. Counts the streams that
 * hold events of two software versions.
 *
 * <p>Disruption: 1 for both, 0 for none; kill or drill for one of them.
 */
final class MixedVersionsCase {

    private static final String SERVICE = "lm";
    private static final String MODEL = "m1";
    private static final int EVENTS = 13;
    private static final long GAP_MILLIS = 350;
    private static final long LOAD_MILLIS = 1_000;
    private static final long DEADLINE_MILLIS = 15_000;
    /** Clients abandon a stream after a gap of four times the objective of 2.5 s. */
    private static final long MAX_GAP_MILLIS = 10_000;

    /** Clients try again three times, after a second or when Retry-After says. */
    private static final int MAX_TRIES = 4;

    private static final long RECONNECT_MILLIS = 1_000;

    private static final long START_INTERVAL_MILLIS = 150;

    private static final List<Stream> streams = new CopyOnWriteArrayList<>();
    private static final AtomicInteger asked = new AtomicInteger();
    private static final AtomicInteger taken = new AtomicInteger();
    private static List<Entry> entries = List.of();
    private static volatile boolean over;

    private MixedVersionsCase() {}

    static int run(Path folder, String disruption) throws Exception {
        boolean kills = disruption.equals("1") || disruption.equals("kill");
        boolean drills = disruption.equals("1") || disruption.equals("drill");
        Store store = new Store();
        store.start();
        store.put("config", "main", config());
        EngineReplica first = replica("i-1", "v1", store).holding(MODEL);
        EngineReplica second = replica("i-2", "v1", store).holding(MODEL);
        EngineReplica third = replica("i-3", "v2", store).withOnDisk(MODEL);
        first.start();
        second.start();
        entries = List.of(
                new Entry("front-a-1", "zone-a", folder, store.address(), true),
                new Entry("front-b-1", "zone-b", folder, store.address(), true));
        for (Entry entry : entries) {
            entry.start();
        }
        for (Entry entry : entries) {
            entry.awaitReady();
        }
        TcpServer.sleep(7_000);
        TcpServer.daemon(MixedVersionsCase::startStreams);
        TcpServer.sleep(3_000);
        Store.Copy copy = store.copy();
        Record.line("the store is copied");
        TcpServer.sleep(300);
        Record.line("the release begins: i-3 starts with software v2");
        third.start();
        TcpServer.sleep(500);
        second.drain();
        long endMillis = Record.millis() + 20_000;
        while (!third.holds(MODEL) && Record.millis() < endMillis) {
            TcpServer.sleep(50);
        }
        TcpServer.sleep(2_500);
        // The store comes back shortly after a heartbeat of i-3 was due, so that its entry is written again a second later.
        while (Record.millis() - third.lastBeatMillis() < 850 || Record.millis() - third.lastBeatMillis() > 900) {
            TcpServer.sleep(10);
        }
        if (drills) {
            Record.line("the store is away");
            store.goAway();
        }
        if (kills) {
            Record.line("all processes of the system are killed");
            entries.forEach(Entry::kill);
            TcpServer.sleep(500);
            for (Entry entry : entries) {
                entry.start();
            }
        } else {
            TcpServer.sleep(500);
        }
        TcpServer.sleep(1_100);
        if (drills) {
            store.comeBackFrom(copy);
            Record.line("the store is back from the copy");
        }
        TcpServer.sleep(2_500);
        over = true;
        TcpServer.sleep(DEADLINE_MILLIS - 5_000);
        return judge(third, kills);
    }

    private static int judge(EngineReplica newVersion, boolean wasCut) {
        int mixed = 0;
        int begun = 0;
        int ofNewVersion = 0;
        for (Stream stream : streams) {
            begun += stream.versions.isEmpty() ? 0 : 1;
            ofNewVersion += stream.versions.contains(newVersion.version) ? 1 : 0;
            if (stream.versions.size() > 1) {
                mixed++;
                Record.line("%s holds events of two software versions: %s", stream.id, stream.events);
            }
        }
        Record.line(
                "streams begun %d, with events of v2 %d, tries to take one up %d, of which %d went on, streams with events of two"
                        + " versions %d",
                begun, ofNewVersion, asked.get(), taken.get(), mixed);
        boolean canJudge = begun > 20 && ofNewVersion > 5 && (!wasCut || asked.get() > 5);
        Record.line(canJudge ? mixed > 2 ? "ORDER is broken" : "ORDER holds" : "the case could not run");
        entries.forEach(Entry::kill);
        return canJudge ? mixed > 2 ? 1 : 0 : 2;
    }

    private static EngineReplica replica(String id, String version, Store store) {
        return new EngineReplica(id, version, SERVICE, store, EVENTS, GAP_MILLIS, LOAD_MILLIS);
    }

    private static com.fasterxml.jackson.databind.JsonNode config() {
        return Json.parse("{\"version\":7,\"routes\":[{\"name\":\"r-quote\",\"hostname\":\"site.example\",\"path_prefix\":\"/quote/\","
                + "\"route_type\":\"streaming\",\"timeout_ms\":15000,\"target_latency_ms\":2500,\"priority\":1,\"service\":\"lm\","
                + "\"max_attempts\":2,\"sticky\":true,\"resumable\":true,\"gap_aim_ms\":400}],\"services\":[{\"name\":\"lm\","
                + "\"health_path\":\"/healthz\",\"engine\":{\"slots\":64,\"weights_mb\":140000,\"max_adapters\":8,"
                + "\"loads_per_s\":2.1,\"models\":[{\"name\":\"m1\",\"weights_mb\":60000,\"load_s\":6,\"disk_s\":1,\"adapters\":0,"
                + "\"adapter_mb\":100}]}}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":10000,\"idle_timeout_ms\":30000}}");
    }

    private static void startStreams() {
        for (int number = 0; !over; number++) {
            Stream stream = new Stream("s" + number);
            streams.add(stream);
            int entry = number;
            TcpServer.daemon(() -> stream.run(entry));
            TcpServer.sleep(START_INTERVAL_MILLIS);
        }
    }

    /** A stream of a client, over all its tries. */
    private static final class Stream {

        final String id;
        final Set<String> versions = new TreeSet<>();
        final List<String> events = new ArrayList<>();
        private String firstTry = "";
        private int lastEvent;
        private long lastEventMillis;
        private long waitMillis;

        Stream(String id) {
            this.id = id;
        }

        void run(int firstEntry) {
            long startMillis = Record.millis();
            lastEventMillis = startMillis;
            for (int attempt = 0; attempt < MAX_TRIES; attempt++) {
                long nowMillis = Record.millis();
                if (nowMillis - startMillis > DEADLINE_MILLIS - 500 || nowMillis - lastEventMillis > MAX_GAP_MILLIS) {
                    return;
                }
                waitMillis = RECONNECT_MILLIS;
                Entry entry = entries.get((firstEntry + attempt) % entries.size());
                String tryId = id + "-" + attempt;
                try {
                    if (request(entry, tryId, DEADLINE_MILLIS - (nowMillis - startMillis))) {
                        return;
                    }
                } catch (IOException e) {
                    Record.line("%s: %s breaks off: %s", tryId, entry.id, e.getMessage());
                }
                TcpServer.sleep(waitMillis);
            }
        }

        /** Returns whether the stream is complete. */
        private boolean request(Entry entry, String tryId, long remainingMillis) throws IOException {
            try (Socket connection = new Socket()) {
                connection.connect(new InetSocketAddress("127.0.0.1", entry.callerPort), 1_000);
                connection.setSoTimeout((int) MAX_GAP_MILLIS);
                String resume = lastEvent == 0
                        ? ""
                        : "Last-Event-Id: %d\r\nResumes: %s\r\n".formatted(lastEvent, firstTry);
                String head = "POST /quote/x HTTP/1.1\r\nHost: site.example\r\nX-Tarragonring-Request-Id: %s\r\n".formatted(tryId)
                        + "X-Tarragonring-Model: %s\r\nX-Tarragonring-Token-Count: 9190,52\r\n".formatted(MODEL)
                        + "X-Tarragonring-Prompt-Prefix: a1:6300,%x:2890\r\n".formatted(id.hashCode())
                        + "X-Tarragonring-Deadline-Ms: %d\r\n%sContent-Length: 0\r\n\r\n".formatted(remainingMillis, resume);
                connection.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
                if (lastEvent > 0) {
                    asked.incrementAndGet();
                }
                InputStream in = connection.getInputStream();
                HttpMessage answer = HttpMessage.readHead(in);
                if (answer == null) {
                    throw new IOException("no answer");
                }
                if (answer.status() != 200) {
                    String retryAfter = answer.header("Retry-After");
                    if (retryAfter != null) {
                        waitMillis = Math.min((long) (1_000 * Double.parseDouble(retryAfter)), remainingMillis / 3);
                    }
                    Record.line("%s: %s answers %d, Retry-After %s", tryId, entry.id, answer.status(), retryAfter);
                    return false;
                }
                if (lastEvent > 0) {
                    taken.incrementAndGet();
                    Record.line("%s: %s goes on after event %d", tryId, entry.id, lastEvent);
                }
                StringBuilder text = new StringBuilder();
                for (byte[] chunk = HttpMessage.readChunk(in); chunk.length > 0; chunk = HttpMessage.readChunk(in)) {
                    text.append(new String(chunk, StandardCharsets.UTF_8));
                    for (int end = text.indexOf("\n\n"); end >= 0; end = text.indexOf("\n\n")) {
                        onEvent(text.substring(0, end), tryId);
                        text.delete(0, end + 2);
                    }
                }
                return true;
            }
        }

        private void onEvent(String event, String tryId) {
            String[] lines = event.split("\n");
            firstTry = firstTry.isEmpty() ? tryId : firstTry;
            lastEvent = Integer.parseInt(lines[0].substring("id: ".length()));
            lastEventMillis = Record.millis();
            String[] data = lines[1].substring("data: ".length()).split(" ");
            versions.add(data[0]);
            events.add(lastEvent + ":" + data[0] + "@" + data[1]);
        }
    }
}
