import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * ORDER: the replicas of one software version leave, and all entries are killed at the same time and start again. Clients
 * take up their streams, which began at the version that has left.
 */
final class JoinedAfterKill extends Case {

    private static final long TIMEOUT_MILLIS = 13_000;
    private static final int STREAMS = 16;
    private static final int EVENTS = 45;
    private static final int RETRIES = 3;
    private static final int ALLOWED_JOINED_STREAMS = 2;

    /** How long both versions serve side by side before anything happens. */
    private static final long SIDE_BY_SIDE_MILLIS = 20_000;

    public static void main(String[] args) throws Exception {
        main(new JoinedAfterKill(), args);
    }

    @Override
    boolean run() throws Exception {
        writeConfig(List.of(route("summary", "streaming", "lm", TIMEOUT_MILLIS, 2, true)));
        List<Replica> old = List.of(replica("i-old-1", "v1"), replica("i-old-2", "v1"));
        replica("i-new-1", "v2");
        replica("i-new-2", "v2");
        for (String zone : List.of("sul-br-a", "sul-br-b", "sul-br-c")) {
            addEntry(zone);
        }
        startEntries();
        sleep(SIDE_BY_SIDE_MILLIS);

        List<TreeSet<String>> versions = Collections.synchronizedList(new ArrayList<>());
        List<Thread> streams = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            int number = i;
            streams.add(daemon(() -> versions.add(stream(number))));
            sleep(50);
        }
        sleep(1_000);
        if (trouble) {
            // planned: the replicas of the old version drain, serve for drain_ms and a little longer, and exit
            old.forEach(replica -> replica.drain(2_600));
            sleep(2_200);
            // herd_kill: all entries are killed at once and start again
            for (Entry entry : entries) {
                entry.kill();
            }
            sleep(1_000);
            for (Entry entry : entries) {
                entry.start();
            }
        }
        for (Thread stream : streams) {
            stream.join(30_000);
        }
        long joined = versions.stream().filter(each -> each.size() > 1).count();
        record("%d streams, %d hold events of two software versions", versions.size(), joined);
        if (versions.size() != STREAMS) {
            throw new IllegalStateException("not all streams have ended");
        }
        return joined > ALLOWED_JOINED_STREAMS;
    }

    private Replica replica(String id, String version) throws Exception {
        return new Replica(id, "lm", version, true, store);
    }

    /** Reads one stream over several attempts and returns the versions of its events. */
    private TreeSet<String> stream(int number) throws Exception {
        Client client = new Client(entries, random);
        TreeSet<String> versions = new TreeSet<>();
        double end = seconds() + TIMEOUT_MILLIS / 1e3;
        String firstCall = null;
        int lastId = 0;
        for (int attempt = 0; attempt <= RETRIES; attempt++) {
            String address = client.resolve();
            while (address == null && seconds() < end) {
                sleep(200);
                address = client.resolve();
            }
            long leftMillis = (long) ((end - seconds()) * 1e3);
            if (address == null || leftMillis <= 0) {
                break;
            }
            String callId = "%08x%08x".formatted(number + 1, attempt + 1);
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("X-Tarragonring-Model", "m0");
            headers.put("X-Tarragonring-Token-Count", "250," + EVENTS * 4);
            headers.put("X-Tarragonring-Prompt-Prefix", "5c1e%04x:100,e440%04x:150".formatted(number, number));
            if (lastId > 0) {
                headers.put("Last-Event-Id", Integer.toString(lastId));
                headers.put("Resumes", firstCall);
            }
            record("sent %s of stream %d to %s after event %d", callId, number, address, lastId);
            Client.Answer answer = Client.send(
                    address,
                    Client.request("POST", "/summary/2f", callId, leftMillis, headers, "prompt".getBytes()),
                    (int) leftMillis);
            if (!answer.events.isEmpty() && firstCall == null) {
                firstCall = callId;
            }
            lastId = Math.max(lastId, answer.lastId());
            versions.addAll(answer.versions());
            record(
                    "answer %s: status %d, %d events of %s, complete %s %s",
                    callId, answer.status, answer.events.size(), answer.versions(), answer.complete, answer.failure);
            if (answer.complete && answer.status == 200) {
                break;
            }
            String retryAfter = answer.head == null ? null : answer.head.header("Retry-After");
            sleep(retryAfter == null ? 100 : (long) (Double.parseDouble(retryAfter) * 1e3));
        }
        return versions;
    }
}
