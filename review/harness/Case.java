import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** The frame of a case: its record, its processes, and its end with one of the three exit codes. */
abstract class Case {

    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;
    private static final long LIMIT_MILLIS = 112_000;
    private static final long START_NANOS = System.nanoTime();
    private static PrintWriter record;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Random random = new Random();
    final List<Entry> entries = new ArrayList<>();
    Store store;
    Path folder;

    /** Runs the case and returns whether the rule was broken. */
    abstract boolean run() throws Exception;

    /** Runs a case; the argument is the folder of its record. */
    static void main(Case instance, String[] args) throws Exception {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(args[0], "record.txt")), true);
        instance.folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> instance.entries.forEach(Case::end)));
        Thread watchdog = new Thread(() -> {
            sleep(LIMIT_MILLIS);
            record("the case did not end in time");
            Runtime.getRuntime().exit(NOT_RUN);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        int code = NOT_RUN;
        try {
            record("disruption: %s", instance.trouble ? "on" : "off");
            instance.store = new Store("127.0.0.1");
            code = instance.run() ? BROKEN : HELD;
            record(code == BROKEN ? "the rule was broken" : "the rule held");
        } catch (Throwable e) {
            record("the case could not run: %s", e);
            e.printStackTrace();
        }
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs in " + instance.folder);
        }
        Runtime.getRuntime().exit(code);
    }

    private static void end(Entry entry) {
        try {
            entry.kill();
        } catch (Exception e) {
            e.printStackTrace();
        }
    }

    /** Writes a line with the seconds since the start. */
    static synchronized void record(String format, Object... args) {
        String line = "%8.3f ".formatted((System.nanoTime() - START_NANOS) / 1e9) + format.formatted(args);
        record.println(line);
        if (System.getenv("VERBOSE") != null) {
            System.out.println(line);
        }
    }

    static double seconds() {
        return (System.nanoTime() - START_NANOS) / 1e9;
    }

    interface Action {
        void run() throws Exception;
    }

    static Thread daemon(Action action) {
        Thread thread = new Thread(() -> {
            try {
                action.run();
            } catch (Exception e) {
                record("thread ended: %s", e);
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    Entry addEntry(String zone) throws Exception {
        return addEntry(zone, store.address());
    }

    Entry addEntry(String zone, String storeAddress) throws Exception {
        Entry entry =
                new Entry("front-" + (entries.size() + 1), Entry.freeAddress(random), zone, storeAddress, folder);
        entries.add(entry);
        return entry;
    }

    void startEntries() throws Exception {
        for (Entry entry : entries) {
            entry.start();
        }
        for (Entry entry : entries) {
            entry.awaitReady(20_000);
        }
    }

    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put((String) pairs[i], pairs[i + 1]);
        }
        return map;
    }

    /** A route with the figures of the sheet of the trial lab. */
    static Map<String, Object> route(
            String name, String type, String service, long timeoutMillis, int attempts, boolean resumable) {
        Map<String, Object> route = map(
                "name", name,
                "hostname", "lab.example",
                "path_prefix", "/" + name + "/",
                "route_type", type,
                "timeout_ms", timeoutMillis,
                "target_latency_ms", type.equals("streaming") ? 2_000L : 150L,
                "priority", 1L,
                "service", service,
                "max_attempts", (long) attempts,
                "resumable", resumable);
        if (type.equals("streaming")) {
            route.put("gap_aim_ms", 400L);
            route.put("sticky", true);
        }
        return route;
    }

    /** Writes the configuration, with one model that all replicas of the engine hold from the start. */
    void writeConfig(List<Object> routes) {
        Map<String, Object> model = map(
                "name", "m0", "weights_mb", 65_500L, "load_s", 6.0, "warm_s", 0.38, "disk_s", 0.49, "adapters", 0L,
                "adapter_mb", 40L);
        Map<String, Object> engine = map(
                "slots", 64L, "weights_mb", 140_000L, "max_adapters", 8L, "loads_per_s", 2.1, "models", List.of(model));
        Map<String, Object> config = map(
                "version", 3L,
                "routes", routes,
                "services", List.of(map("name", "lm", "engine", engine), map("name", "app")),
                "limits", map(
                        "max_header_bytes", 16_384L,
                        "max_body_bytes", 4_194_304L,
                        "header_timeout_ms", 5_000L,
                        "idle_timeout_ms", 15_000L));
        store.put("config", "main", config);
    }
}
