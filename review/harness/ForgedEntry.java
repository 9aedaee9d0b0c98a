import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** DRAIN: an entry of another writer stands, or has stood, in the list of replicas, and a replica drains. */
final class ForgedEntry extends Case {

    private static final double DRAIN_SECONDS = 2;
    private static final long TIMEOUT_MILLIS = 1_200;
    private static final int NESTED_LISTS = 1_100;
    private static final int DIGITS = 1_100;

    /** An entry is removed after three heartbeat intervals of silence. */
    private static final long LAPSE_MILLIS = 3_600;

    private final String variant;

    private ForgedEntry(String variant) {
        this.variant = variant;
    }

    public static void main(String[] args) throws Exception {
        String variant = System.getenv("VARIANT");
        main(new ForgedEntry(variant == null ? args[1] : variant), args);
    }

    @Override
    boolean run() throws Exception {
        writeConfig(List.of(route("book", "unsafe", "app", TIMEOUT_MILLIS, 1, false)));
        for (int i = 1; i <= 3; i++) {
            new Replica("i-app-" + i, "app", "v1", false, store);
        }
        Replica leaving = new Replica("i-app-4", "app", "v1", false, store);
        for (String zone : List.of("sul-br-a", "sul-br-b", "sul-br-c")) {
            addEntry(zone);
        }
        startEntries();
        sleep(4_000);
        AtomicBoolean ended = new AtomicBoolean();
        Thread clients = daemon(() -> {
            for (int call = 1; !ended.get(); call++) {
                int number = call;
                daemon(() -> call(number));
                sleep(100);
            }
        });
        sleep(2_000);
        if (trouble && variant.equals("lapsed")) {
            store.put("servers", "_probe", map("note", "test"));
            record("another writer has written the entry _probe, without any field of a replica");
            sleep(LAPSE_MILLIS);
            store.remove("servers", "_probe");
            record("the entry _probe has lapsed");
            sleep(1_000);
        } else if (trouble) {
            store.put("servers", "i-02d9e6b4", forged());
            record("another writer has written the entry i-02d9e6b4 (%s)", variant);
            sleep(1_000);
        }
        AtomicInteger late = new AtomicInteger();
        double[] drained = {Double.POSITIVE_INFINITY};
        leaving.fault = (request, socket, out) -> {
            if (seconds() - drained[0] > DRAIN_SECONDS) {
                late.incrementAndGet();
                record("request %s has reached %s %.2f s after its draining was acknowledged",
                        request.header("X-Tarragonring-Request-Id"), leaving.id, seconds() - drained[0]);
            }
            return null;
        };
        leaving.drain(12_000);
        drained[0] = seconds();
        sleep(10_000);
        ended.set(true);
        clients.join(1_000);
        sleep(1_500);
        record("%d requests reached the draining replica too late", late.get());
        return late.get() > 0;
    }

    /** The registration of a replica, as another writer has written it: one field has another type or other bytes. */
    private Object forged() {
        String zone = switch (variant) {
            case "nested" -> "[".repeat(NESTED_LISTS) + "]".repeat(NESTED_LISTS);
            case "number" -> "1".repeat(DIGITS);
            case "latin1" -> "\"Florian\u00f3polis\"";
            default -> throw new IllegalStateException("unknown variant " + variant);
        };
        return new Json.Raw("{\"service\":\"app\",\"address\":\"127.0.0.1:9\",\"state\":\"ready\",\"zone\":" + zone + "}");
    }

    private void call(int number) {
        String callId = "%016x".formatted(0x9c41_0000L + number);
        String address = new Client(entries, random).resolve();
        record("sent %s to %s", callId, address);
        Client.Answer answer = Client.send(
                address,
                Client.request("POST", "/book/2f", callId, TIMEOUT_MILLIS, Map.of(), "booking".getBytes()),
                3_000);
        record("answer %s: status %d, complete %s %s", callId, answer.status, answer.complete, answer.failure);
    }
}
