import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** An entry of another writer, whose name is not like those of replicas, expires; later a replica drains. */
final class ForeignNameRemoved extends Case {

    private static final String FOREIGN_NAME = "_canary";
    private static final long EXPIRY_MILLIS = 3_600;
    private static final long DRAIN_MILLIS = 2_000;
    private static final long SERVES_MILLIS = 8_000;
    private static final long REQUEST_PERIOD_MILLIS = 50;

    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger atSuccessors = new AtomicInteger();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private volatile long acknowledgedNanos;

    public static void main(String[] args) throws Exception {
        main(new ForeignNameRemoved(), args);
    }

    @Override
    boolean run() throws Exception {
        writeConfig(List.of(route("save", "unsafe", "app", 2_500, 2, false)));
        Replica leaving = new Replica("i-a1", "app", "1", false, store);
        Replica staying = new Replica("i-a2", "app", "1", false, store);
        addEntry("sul-br-a");
        addEntry("sul-br-b");
        startEntries();
        sleep(4_000);
        if (trouble) {
            store.put("servers", FOREIGN_NAME, map("note", "not a replica"));
            record("entry %s written by another writer", FOREIGN_NAME);
        }
        sleep(EXPIRY_MILLIS);
        if (trouble) {
            store.remove("servers", FOREIGN_NAME);
            record("entry %s expired", FOREIGN_NAME);
        }
        sleep(4_000);
        leaving.fault = (request, socket, out) -> {
            if (acknowledgedNanos != 0) {
                long afterMillis = (System.nanoTime() - acknowledgedNanos) / 1_000_000;
                if (afterMillis > DRAIN_MILLIS) {
                    late.incrementAndGet();
                    record("%s reached the draining replica after %d ms",
                            request.header("X-Tarragonring-Request-Id"), afterMillis);
                }
            }
            return null;
        };
        Thread clients = daemon(this::sendRequests);
        sleep(1_500);
        leaving.drain(SERVES_MILLIS);
        acknowledgedNanos = System.nanoTime();
        Replica successor = new Replica("i-a3", "app", "1", false, store);
        successor.fault = (request, socket, out) -> {
            atSuccessors.incrementAndGet();
            return null;
        };
        clients.join();
        record("%d requests sent, %d answered with success, %d reached the draining replica more than %d ms after its "
                + "report was acknowledged, %d reached the new replica",
                sent.get(), answered.get(), late.get(), DRAIN_MILLIS, atSuccessors.get());
        if (answered.get() == 0) {
            throw new IllegalStateException("no request was answered");
        }
        return late.get() > 0;
    }

    private void sendRequests() {
        long endNanos = System.nanoTime() + 8_000_000_000L;
        for (int number = 0; System.nanoTime() < endNanos; number++) {
            String callId = "%016x".formatted(random.nextLong());
            byte[] body = "consent".getBytes();
            byte[] request = Client.request("POST", "/save/consent", callId, 2_500, Map.of(), body);
            sent.incrementAndGet();
            Client.Answer answer = Client.send(entries.get(number % entries.size()).front, request, 3_000);
            record("answer %s: %d %s", callId, answer.status, answer.failure);
            if (answer.status == 200 && answer.complete) {
                answered.incrementAndGet();
            }
            sleep(REQUEST_PERIOD_MILLIS);
        }
    }
}
