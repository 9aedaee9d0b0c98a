import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients ask for many rare models at once. Meanwhile the entry that plans the loads is stopped and started again. Checks how
 * many loads from the weight store begin in any window.
 */
final class LoadCeiling {

    private static final int REPLICAS = 10;
    private static final int MODELS = 60;
    private static final int ENTRIES = 4;
    private static final long LOAD_MILLIS = 2_000;
    private static final double LOADS_PER_SECOND = 2.1;
    private static final long WINDOW_MILLIS = 5_000;
    private static final double CEILING = LOADS_PER_SECOND * WINDOW_MILLIS / 1_000 * 1.1 + 3;
    private static final long MAX_WAIT_MILLIS = 15_000;
    private static final int LOADS_BEFORE_STOP = 10;
    private static final long GRACE_MILLIS = 8_000;
    private static final long TRAFFIC_MILLIS = 20_000;

    private LoadCeiling() {}

    static int run(Path folder, RunRecord record, boolean trouble) throws Exception {
        Store store = new Store();
        store.put("config", "main", config());
        Entries entries = new Entries(folder, store);
        List<Long> loadMillis = new CopyOnWriteArrayList<>();
        try {
            for (int i = 1; i <= REPLICAS; i++) {
                Replica replica = new Replica(store, record, "i-lm" + i, "lm") {
                    @Override
                    void onStoreLoad(String model) {
                        super.onStoreLoad(model);
                        loadMillis.add(record.millis());
                    }

                    @Override
                    void run(Socket socket, Http.Message request) throws IOException {
                        stream(socket, request);
                    }
                };
                replica.setLoadTimes(LOAD_MILLIS, LOAD_MILLIS / 2);
                replica.start("m0");
            }
            List<Entries.Entry> started = new ArrayList<>();
            for (int i = 1; i <= ENTRIES; i++) {
                started.add(entries.start("entry-" + i, "z" + i));
            }
            for (Entries.Entry entry : started) {
                entry.awaitReady();
            }
            long startMillis = record.millis();
            record.add("traffic starts");
            AtomicInteger served = new AtomicInteger();
            for (int i = 1; i < MODELS; i++) {
                int number = i;
                Replica.daemon(() -> ask(started, number, record, startMillis, served));
            }
            if (trouble) {
                awaitLoads(record, loadMillis);
                restart(record, planner(started));
            }
            Replica.sleep(Math.max(0, startMillis + TRAFFIC_MILLIS + 1_000 - record.millis()));
            return judge(record, loadMillis, served.get());
        } finally {
            entries.stopAll();
            store.stop();
        }
    }

    /** Waits until most of the loads that a window allows have begun within half a window. */
    private static void awaitLoads(RunRecord record, List<Long> loadMillis) {
        long endMillis = record.millis() + MAX_WAIT_MILLIS;
        while (begunSince(loadMillis, record.millis() - WINDOW_MILLIS * 6 / 10) < LOADS_BEFORE_STOP
                && record.millis() < endMillis) {
            Replica.sleep(20);
        }
    }

    private static long begunSince(List<Long> loadMillis, long sinceMillis) {
        return loadMillis.stream().filter(millis -> millis >= sinceMillis).count();
    }

    /** Returns the entry that plans the loads, as the entries themselves say on their status page. */
    private static Entries.Entry planner(List<Entries.Entry> entries) throws IOException {
        String status = entries.get(0).status();
        for (Entries.Entry entry : entries) {
            if (status.matches("(?s).*\"planningEntry\"[^,}]*\"" + entry.id + "\".*")) {
                return entry;
            }
        }
        throw new IllegalStateException("no entry plans: " + status);
    }

    private static void restart(RunRecord record, Entries.Entry entry) throws IOException, InterruptedException {
        record.add("%s, which plans the loads, gets SIGTERM", entry.id);
        entry.signal("TERM");
        if (!entry.process.waitFor(GRACE_MILLIS, TimeUnit.MILLISECONDS)) {
            entry.process.destroyForcibly();
        }
        entry.launch();
        record.add("%s is started again", entry.id);
    }

    private static void ask(
            List<Entries.Entry> entries, int number, RunRecord record, long startMillis, AtomicInteger served) {
        for (int i = 0; record.millis() < startMillis + TRAFFIC_MILLIS; i++) {
            Entries.Entry entry = entries.get((number + i) % entries.size());
            try (Client client = new Client(entry.callerPort)) {
                client.send(Client.head(
                        "POST",
                        "/draft/a",
                        "m" + number + "-" + i,
                        6_000,
                        "X-Tarragonring-Model: m" + number + "\r\nX-Tarragonring-Token-Count: 100,10\r\n"
                                + "X-Tarragonring-Prompt-Prefix: a" + number + ":60,b" + number + i
                                + ":40\r\nContent-Length: 0\r\n"));
                Http.Message answer = client.read(7_000);
                served.addAndGet(answer != null && answer.status() == 200 ? 1 : 0);
                Replica.sleep(700);
            } catch (IOException e) {
                Replica.sleep(300);
            }
        }
    }

    private static void stream(Socket socket, Http.Message request) throws IOException {
        String event = "id: 1\ndata: done\n\n";
        socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                + "X-Tarragonring-Request-Id: " + request.header("X-Tarragonring-Request-Id")
                + "\r\nX-Tarragonring-Response-Signature: sig\r\nContent-Length: " + event.length() + "\r\n\r\n"
                + event).getBytes());
        socket.getOutputStream().flush();
    }

    private static int judge(RunRecord record, List<Long> loadMillis, int served) {
        int most = 0;
        for (int i = 0; i < loadMillis.size(); i++) {
            int count = 0;
            for (int j = i; j < loadMillis.size() && loadMillis.get(j) < loadMillis.get(i) + WINDOW_MILLIS; j++) {
                count++;
            }
            most = Math.max(most, count);
        }
        record.add(
                "%d requests were served; %d loads began, at most %d in %d ms; the ceiling is %.2f",
                served, loadMillis.size(), most, WINDOW_MILLIS, CEILING);
        if (loadMillis.isEmpty()) {
            return 2;
        }
        return most > CEILING ? 1 : 0;
    }

    private static Object config() {
        Map<String, Object> config = Sites.config(3);
        List<Object> models = new ArrayList<>();
        for (int i = 0; i < MODELS; i++) {
            models.add(Map.of(
                    "name", "m" + i, "weights_mb", 34_300.0, "load_s", LOAD_MILLIS / 1_000.0, "adapters", 0,
                    "adapter_mb", 40.0, "warm_s", 0.4, "disk_s", 0.5));
        }
        List<Object> services = new ArrayList<>((List<?>) config.get("services"));
        services.set(0, Map.of(
                "name", "lm", "health_path", "/healthz", "max_connections", 370, "engine", Map.of(
                        "slots", 64, "weights_mb", 140_000.0, "max_adapters", 8, "loads_per_s", LOADS_PER_SECOND,
                        "models", models)));
        config.put("services", services);
        return config;
    }
}
