import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** LIMIT: entries are stopped and started in turn while clients ask for many adapters. */
final class AdapterLimit extends Case {

    private static final int REPLICAS = 6;
    private static final int ADAPTERS = 120;
    private static final long CALL_GAP_MILLIS = Integer.getInteger("gap", 5);
    private static final double RUN_SECONDS = 100;

    /** The pause of the site file between two steps of a roll. */
    private static final long GAP_MILLIS = 1_300;

    private static final long TIMEOUT_MILLIS = 6_000;

    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        main(new AdapterLimit(), args);
    }

    @Override
    boolean run() throws Exception {
        Map<String, Object> model = map(
                "name", "m0", "weights_mb", 65_500L, "load_s", 6.0, "warm_s", 0.38, "disk_s", 0.49, "adapters",
                (long) ADAPTERS, "adapter_mb", 40L);
        Map<String, Object> engine = map(
                "slots", 64L, "weights_mb", 140_000L, "max_adapters", 8L, "loads_per_s", 2.1, "models", List.of(model));
        store.put("config", "main", map(
                "version", 3L,
                "routes", List.of(route("query", "streaming", "lm", TIMEOUT_MILLIS, 1, false)),
                "services", List.of(map("name", "lm", "engine", engine)),
                "limits", map("max_header_bytes", 16_384L, "max_body_bytes", 4_194_304L, "idle_timeout_ms", 15_000L)));
        for (int i = 1; i <= REPLICAS; i++) {
            new AdapterReplica("i-7f3a91c" + i, 135 + 25 * i, store);
        }
        for (String zone : List.of("sul-br-a", "sul-br-b", "sul-br-c")) {
            addEntry(zone);
        }
        startEntries();
        sleep(3_000);
        AtomicBoolean ended = new AtomicBoolean();
        daemon(() -> {
            Client client = new Client(entries, random);
            for (int call = 1; !ended.get(); call++) {
                int number = call;
                String adapter = "m0/a" + (1 + random.nextInt(ADAPTERS));
                daemon(() -> call(client, number, adapter));
                sleep(CALL_GAP_MILLIS);
            }
        });
        sleep(4_000);
        for (int turn = 0; seconds() < RUN_SECONDS && AdapterReplica.EXCESS_ORDERS.get() == 0; turn++) {
            if (!trouble) {
                sleep(1_000);
                continue;
            }
            // roll_term: the entries are stopped with SIGTERM and started again, one after the other
            Entry entry = entries.get(turn % entries.size());
            entry.terminate();
            while (entry.isAlive()) {
                sleep(20);
            }
            entry.start();
            sleep(GAP_MILLIS);
        }
        ended.set(true);
        sleep(500);
        record("%d calls answered, %d refused or failed", answered.get(), refused.get());
        record("%d orders to load more than max_adapters", AdapterReplica.EXCESS_ORDERS.get());
        return AdapterReplica.EXCESS_ORDERS.get() > 0;
    }

    private void call(Client client, int number, String adapter) {
        String address = client.resolve();
        if (address == null) {
            return;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Tarragonring-Model", adapter);
        headers.put("X-Tarragonring-Token-Count", "250,40");
        String callId = "%016x".formatted(0x9c41_0000L + number);
        record("sent %s for %s to %s", callId, adapter, address);
        Client.Answer answer = Client.send(
                address,
                Client.request("POST", "/query/2f", callId, TIMEOUT_MILLIS, headers, "prompt".getBytes()),
                8_000);
        record("answer %s: status %d, complete %s %s", callId, answer.status, answer.complete, answer.failure);
        (answer.complete && answer.status == 200 ? answered : refused).incrementAndGet();
    }
}
