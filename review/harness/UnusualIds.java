import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** ORDER and MIXED: clients of a resumable route send request ids that are Base64 text. Nothing is disturbed. */
final class UnusualIds extends Case {

    private static final long TIMEOUT_MILLIS = 6_000;
    private static final int EVENTS = 10;

    public static void main(String[] args) throws Exception {
        main(new UnusualIds(), args);
    }

    @Override
    boolean run() throws Exception {
        writeConfig(List.of(route("summary", "streaming", "lm", TIMEOUT_MILLIS, 2, true)));
        new Replica("i-lm-1", "lm", "v1", true, store);
        new Replica("i-lm-2", "lm", "v1", true, store);
        addEntry("sul-br-a");
        startEntries();
        sleep(2_000);
        AtomicInteger truncated = new AtomicInteger();
        List<String> ids = trouble
                ? List.of("kF3+a/b9ZwEhIQ==", "nEHQe+KjX2g=", "/B0H4jX2hkkA")
                : List.of("9c41d07be2a35f68", "9c41d07be2a35f69", "9c41d07be2a35f6a");
        for (String id : ids) {
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("X-Tarragonring-Model", "m0");
            headers.put("X-Tarragonring-Token-Count", "250," + EVENTS * 4);
            record("sent %s", id);
            Client.Answer answer = Client.send(
                    entries.get(0).front,
                    Client.request("POST", "/summary/2f", id, TIMEOUT_MILLIS, headers, "prompt".getBytes()),
                    9_000);
            record("answer %s: status %d, %d of %d events, complete %s, headers %s",
                    id, answer.status, answer.events.size(), EVENTS, answer.complete,
                    answer.head == null ? "" : answer.head.headers);
            if (answer.status == 200 && answer.complete && answer.events.size() < EVENTS) {
                truncated.incrementAndGet();
            }
        }
        record("%d streams ended as complete before their last event", truncated.get());
        return truncated.get() > 0;
    }
}
