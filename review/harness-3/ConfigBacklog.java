import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The store turns one of three entries away for almost 9 s. Meanwhile the operator publishes 24 versions of a large
 * configuration; the last one moves a route to another service. Checks which service runs the requests of that route that
 * clients send to this entry when it is in touch again.
 */
final class ConfigBacklog {

    private static final int CUSTOMER_ROUTES = 1_600;
    private static final int VERSIONS = 24;
    private static final long GAP_MILLIS = 60;
    private static final long AWAY_MILLIS = 8_900;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long CONFIG_APPLY_MILLIS = 2_000;
    private static final long OUTER_MILLIS = 5_000;

    private ConfigBacklog() {}

    static int run(Path folder, RunRecord record, boolean trouble) throws Exception {
        Store store = new Store();
        store.keepHistory(20_000);
        Object first = config(3, "app");
        store.put("config", "main", first);
        record.add("configuration version 3 has %d bytes", Json.write(first).length());
        Entries entries = new Entries(folder, store);
        try {
            new Replica(store, record, "i-lm1", "lm").start("m0");
            new Replica(store, record, "i-old1", "app").start();
            new Replica(store, record, "i-new1", "app2").start();
            List<Entries.Entry> started = new ArrayList<>();
            for (int i = 1; i <= 3; i++) {
                started.add(entries.start("entry-" + i, "z" + i));
            }
            for (Entries.Entry entry : started) {
                entry.awaitReady();
            }
            Replica.sleep(4_000);
            return measure(store, record, started, trouble);
        } finally {
            entries.stopAll();
            store.stop();
        }
    }

    private static int measure(Store store, RunRecord record, List<Entries.Entry> started, boolean trouble)
            throws Exception {
        for (Entries.Entry entry : started) {
            record.add("before: %s", look(entry, "before-" + entry.id));
        }
        List<Object> versions = new ArrayList<>();
        for (int i = 1; i <= VERSIONS; i++) {
            versions.add(config(3 + i, i == VERSIONS ? "app2" : "app"));
        }
        String away = started.get(0).id;
        long awayMillis = record.millis();
        if (trouble) {
            store.setGate((exchange, machine) -> {
                if (machine.equals(away)) {
                    Store.respond(exchange, 503, Map.of());
                }
                return !machine.equals(away);
            });
            record.add("the store turns %s away with 503", away);
        }
        Replica.sleep(1_000);
        long firstMillis = record.millis();
        for (int i = 0; i < VERSIONS; i++) {
            Replica.sleep(Math.max(0, firstMillis + i * GAP_MILLIS - record.millis()));
            store.put("config", "main", versions.get(i));
        }
        long ackMillis = record.millis();
        record.add("%d versions were published within %d ms", VERSIONS, ackMillis - firstMillis);
        record.add("version %d is acknowledged, which moves the route to service app2", 3 + VERSIONS);
        Replica.sleep(Math.max(0, awayMillis + AWAY_MILLIS - record.millis()));
        store.setGate((exchange, machine) -> true);
        long endMillis = record.millis();
        record.add("the store serves all entries");
        long boundMillis = Math.max(endMillis + CONTACT_MILLIS, ackMillis + CONFIG_APPLY_MILLIS + OUTER_MILLIS);
        Replica.sleep(Math.max(0, boundMillis + 200 - record.millis()));
        int stale = 0;
        for (int i = 0; i < 20; i++) {
            for (Entries.Entry entry : started) {
                String answer = look(entry, "late-" + i + "-" + entry.id);
                boolean isStale = answer.contains("i-old1");
                stale += isStale ? 1 : 0;
                record.add("%s%s", answer, isStale ? ": only an older version allows this" : "");
            }
            Replica.sleep(200);
        }
        record.add("%d requests were handled as only an older version allows, by entries in touch", stale);
        return stale > 0 ? 1 : 0;
    }

    private static String look(Entries.Entry entry, String id) throws IOException {
        try (Client client = new Client(entry.callerPort)) {
            client.send(Client.head("GET", "/look/a", id, 2_500, ""));
            Http.Message answer = client.read(4_000);
            return id + " at " + entry.id + " gets "
                    + (answer == null ? "no answer" : answer.status() + " " + new String(answer.body).trim());
        }
    }

    private static Object config(long version, String service) {
        Map<String, Object> config = Sites.config(version);
        List<Object> routes = new ArrayList<>();
        for (Object route : (List<?>) config.get("routes")) {
            Map<?, ?> each = (Map<?, ?>) route;
            routes.add(each.get("name").equals("look")
                    ? Sites.route("look", "/look/", "safe", service, 2_500, 2, false)
                    : route);
        }
        routes.addAll(Sites.customerRoutes(CUSTOMER_ROUTES));
        config.put("routes", routes);
        List<Object> services = new ArrayList<>((List<?>) config.get("services"));
        services.add(Map.of("name", "app2", "health_path", "/healthz", "max_connections", 110));
        config.put("services", services);
        return config;
    }
}
