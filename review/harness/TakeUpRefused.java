import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * LOST: a replica of the only software version is added, and all entries are killed and start again. Clients take up the
 * streams that the kill has broken.
 */
final class TakeUpRefused extends Case {

    private static final long TIMEOUT_MILLIS = 13_000;
    private static final double CONTACT_SECONDS = 3;
    private static final int REPLICAS = 4;
    private static final int STREAMS = 24;
    private static final int EVENTS = 45;
    private static final int RETRIES = 3;

    /** Clients wait a little longer than they are asked to. */
    private static final long MIN_EXTRA_WAIT_MILLIS = 250;

    private static final int MIN_TAKE_UPS = 12;
    private static final long RUNNING_MILLIS = 20_000;

    private final AtomicInteger takeUps = new AtomicInteger();
    private final AtomicInteger goOn = new AtomicInteger();
    private final AtomicInteger begun = new AtomicInteger();
    private final AtomicInteger newStreams = new AtomicInteger();
    private volatile double inTouchSeconds = Double.POSITIVE_INFINITY;

    public static void main(String[] args) throws Exception {
        main(new TakeUpRefused(), args);
    }

    @Override
    boolean run() throws Exception {
        writeConfig(List.of(route("summary", "streaming", "lm", TIMEOUT_MILLIS, 2, true)));
        for (int i = 1; i <= REPLICAS; i++) {
            new Replica("i-lm-" + i, "lm", "v1", true, store);
        }
        for (String zone : List.of("sul-br-a", "sul-br-b", "sul-br-c")) {
            addEntry(zone);
        }
        startEntries();
        sleep(RUNNING_MILLIS);
        if (trouble) {
            // planned, scale_out: an empty replica of the same version is added
            new Replica("i-lm-" + (REPLICAS + 1), "lm", "v1", false, store);
            sleep(1_000);
        }
        List<Thread> streams = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            int number = i;
            streams.add(daemon(() -> stream(number, 0)));
            sleep(50);
        }
        sleep(1_000);
        if (trouble) {
            // herd_kill: all entries are killed at once and start again
            for (Entry entry : entries) {
                entry.kill();
            }
            sleep(1_000);
            for (Entry entry : entries) {
                entry.start();
            }
            inTouchSeconds = seconds() + CONTACT_SECONDS;
            for (Entry entry : entries) {
                entry.awaitReady(10_000);
            }
        } else {
            inTouchSeconds = seconds();
        }
        sleep((long) ((inTouchSeconds - seconds()) * 1e3));
        record("the entries are in touch");
        for (int i = 0; i < MIN_TAKE_UPS; i++) {
            int number = STREAMS + i;
            streams.add(daemon(() -> stream(number, RETRIES)));
            sleep(100);
        }
        for (Thread stream : streams) {
            stream.join(40_000);
        }
        record("at entries in touch: %d streams taken up, %d went on; %d new streams, %d began",
                takeUps.get(), goOn.get(), newStreams.get(), begun.get());
        double share = goOn.get() / (double) Math.max(1, takeUps.get());
        double newShare = begun.get() / (double) Math.max(1, newStreams.get());
        return takeUps.get() >= MIN_TAKE_UPS && share < newShare / 2;
    }

    /** Reads one stream over several attempts. */
    private void stream(int number, int firstAttempt) throws Exception {
        Client client = new Client(entries, random);
        double end = seconds() + TIMEOUT_MILLIS / 1e3;
        String firstCall = null;
        int lastId = 0;
        for (int attempt = firstAttempt; attempt <= RETRIES; attempt++) {
            String address = client.resolve();
            while (address == null && seconds() < end) {
                sleep(250);
                address = client.resolve();
            }
            long leftMillis = (long) ((end - seconds()) * 1e3);
            if (address == null || leftMillis <= 0) {
                return;
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
            boolean isInTouch = seconds() >= inTouchSeconds;
            boolean isTakeUp = lastId > 0;
            record("sent %s of stream %d to %s after event %d%s",
                    callId, number, address, lastId, isInTouch ? ", in touch" : "");
            Client.Answer answer = Client.send(
                    address,
                    Client.request("POST", "/summary/2f", callId, leftMillis, headers, "prompt".getBytes()),
                    (int) leftMillis);
            record("answer %s: status %d, %d events, complete %s %s %s",
                    callId, answer.status, answer.events.size(), answer.complete, answer.failure,
                    answer.status == 503 ? answer.rest.trim() : "");
            if (isInTouch) {
                (isTakeUp ? takeUps : newStreams).incrementAndGet();
                if (!answer.events.isEmpty()) {
                    (isTakeUp ? goOn : begun).incrementAndGet();
                }
            }
            if (!answer.events.isEmpty() && firstCall == null) {
                firstCall = callId;
            }
            lastId = Math.max(lastId, answer.lastId());
            if (answer.complete && answer.status == 200) {
                return;
            }
            String retryAfter = answer.head == null ? null : answer.head.header("Retry-After");
            long waitMillis = retryAfter == null ? 100 : (long) (Double.parseDouble(retryAfter) * 1e3);
            sleep(waitMillis + MIN_EXTRA_WAIT_MILLIS + random.nextInt(500));
        }
    }
}
