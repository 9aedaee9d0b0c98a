import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Replicas are replaced one after the other; the store cuts off the waiting watches a second before each removal. */
final class WatchCutOff extends Case {

    private static final long DRAIN_MILLIS = 2_000;

    /** The replica goes on serving for the drain time and a little longer. */
    private static final long SERVES_MILLIS = 2_400;

    private static final long WORK_MILLIS = 80;
    private static final int ROUNDS = 4;

    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private volatile boolean ended;

    public static void main(String[] args) throws Exception {
        main(new WatchCutOff(), args);
    }

    @Override
    boolean run() throws Exception {
        writeConfig(List.of(route("save", "unsafe", "app", 2_500, 2, false)));
        new Replica("i-a0", "app", "1", false, store).fault = this::work;
        Replica leaving = new Replica("i-a1", "app", "1", false, store);
        addEntry("sul-br-a");
        addEntry("sul-br-b");
        startEntries();
        sleep(4_000);
        for (int client = 0; client < 4; client++) {
            int number = client;
            daemon(() -> sendRequests(number));
        }
        for (int round = 0; round < ROUNDS; round++) {
            sleep(1_000);
            if (trouble) {
                record("%d waiting watches of the list of replicas were cut off", store.cutWatches("servers"));
            }
            sleep(900);
            Replica successor = new Replica("i-a" + (round + 2), "app", "1", false, store);
            successor.fault = this::work;
            sleep(100);
            Replica old = leaving;
            old.leaveUnannounced(SERVES_MILLIS);
            long removedNanos = System.nanoTime();
            old.fault = (request, socket, out) -> {
                long afterMillis = (System.nanoTime() - removedNanos) / 1_000_000;
                if (afterMillis > DRAIN_MILLIS) {
                    late.incrementAndGet();
                    record("%s reached %s %d ms after its removal",
                            request.header("X-Tarragonring-Request-Id"), old.id, afterMillis);
                }
                return work(request, socket, out);
            };
            leaving = successor;
            sleep(4_000);
        }
        ended = true;
        sleep(500);
        record("%d requests sent, %d answered with success, %d reached a replica more than %d ms after its removal",
                sent.get(), answered.get(), late.get(), DRAIN_MILLIS);
        if (answered.get() == 0) {
            throw new IllegalStateException("no request was answered");
        }
        return late.get() > 0;
    }

    private Boolean work(Http.Message request, java.net.Socket socket, java.io.OutputStream out) {
        sleep(WORK_MILLIS);
        return null;
    }

    private void sendRequests(int client) {
        for (int number = client; !ended; number++) {
            String callId = "%016x".formatted(random.nextLong());
            byte[] request = Client.request("POST", "/save/consent", callId, 2_500, Map.of(), "consent".getBytes());
            sent.incrementAndGet();
            Client.Answer answer = Client.send(entries.get(number % entries.size()).front, request, 3_000);
            if (answer.status == 200 && answer.complete) {
                answered.incrementAndGet();
            } else {
                record("answer %s: %d %s", callId, answer.status, answer.rest.trim() + answer.failure);
            }
            sleep(20);
        }
    }
}
