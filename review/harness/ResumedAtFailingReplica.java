import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * MIXED and ORDER: a replica crashes while it streams, and the system resumes its streams at the other replicas, one of
 * which fails part of its requests with status 500.
 */
final class ResumedAtFailingReplica extends Case {

    private static final long TIMEOUT_MILLIS = 13_000;
    private static final int REPLICAS = 6;
    private static final int STREAMS = 40;
    private static final int EVENTS = 30;

    /** The replica with this index fails requests; calls with the same shared prompt part prefer it after another. */
    private static final int GREY = 2;

    /** The failing replica fails 4 of 9 requests, less than the 0.45 of the site file. */
    private static final String FAILURE_PATTERN = "FSFSFSFSS";

    public static void main(String[] args) throws Exception {
        main(new ResumedAtFailingReplica(), args);
    }

    @Override
    boolean run() throws Exception {
        writeConfig(List.of(route("summary", "streaming", "lm", TIMEOUT_MILLIS, 2, true)));
        List<Replica> replicas = new ArrayList<>();
        for (int i = 1; i <= REPLICAS; i++) {
            replicas.add(new Replica("i-7f3a91c" + i, "lm", "v1", true, store));
        }
        addEntry("sul-br-a");
        addEntry("sul-br-b");
        startEntries();
        sleep(4_000);

        AtomicInteger[] runs = new AtomicInteger[REPLICAS];
        for (int i = 0; i < REPLICAS; i++) {
            runs[i] = new AtomicInteger();
            AtomicInteger count = runs[i];
            replicas.get(i).fault = (request, socket, out) -> {
                count.incrementAndGet();
                return null;
            };
        }
        List<String> broken = Collections.synchronizedList(new ArrayList<>());
        List<String> ended = Collections.synchronizedList(new ArrayList<>());
        List<Thread> streams = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            int number = i;
            streams.add(daemon(() -> stream(number, broken, ended)));
            sleep(15);
        }
        sleep(1_500);
        if (trouble) {
            int busiest = 0;
            for (int i = 1; i < REPLICAS; i++) {
                busiest = runs[i].get() > runs[busiest].get() ? i : busiest;
            }
            // srv_grey: one of six replicas fails part of its requests while its health is good
            Replica grey = replicas.get(GREY);
            AtomicInteger arrivals = new AtomicInteger();
            grey.fault = (request, socket, out) -> {
                if (FAILURE_PATTERN.charAt(arrivals.getAndIncrement() % FAILURE_PATTERN.length()) == 'S') {
                    return null;
                }
                record("%s fails %s with status 500", grey.id, request.header("X-Tarragonring-Request-Id"));
                Http.respond(
                        out, 500, grey.answerHeaders(request), "internal error".getBytes(StandardCharsets.UTF_8));
                return true;
            };
            // srv_crash: one of six replicas crashes
            replicas.get(busiest).crash();
        }
        for (Thread stream : streams) {
            stream.join(30_000);
        }
        record("%d streams have ended", ended.size());
        broken.forEach(text -> record("broken: %s", text));
        if (ended.size() != STREAMS) {
            throw new IllegalStateException("not all streams have ended");
        }
        return !broken.isEmpty();
    }

    private void stream(int number, List<String> broken, List<String> ended) {
        String address = new Client(entries, random).resolve();
        String callId = "%016x".formatted(0x9c41_0000L + number);
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Tarragonring-Model", "m0");
        headers.put("X-Tarragonring-Token-Count", "250," + EVENTS * 4);
        headers.put("X-Tarragonring-Prompt-Prefix", "5c1e07a2:100,%08x:150".formatted(0xe4402b00 + number));
        double sent = seconds();
        record("sent %s to %s", callId, address);
        Client.Answer answer = Client.send(
                address,
                Client.request("POST", "/summary/2f", callId, TIMEOUT_MILLIS, headers, "prompt".getBytes()),
                (int) TIMEOUT_MILLIS);
        record(
                "answer %s: status %d, %d events, last %d, complete %s, after %.1f s, other bytes \"%s\" %s",
                callId, answer.status, answer.events.size(), answer.lastId(), answer.complete, seconds() - sent,
                answer.rest.replace("\n", "\\n"), answer.failure);
        if (answer.complete && answer.status == 200 && answer.lastId() < EVENTS) {
            broken.add("%s ended as complete after event %d of %d, with \"%s\" at its end"
                    .formatted(callId, answer.lastId(), EVENTS, answer.rest.replace("\n", "\\n")));
        }
        ended.add(callId);
    }
}
