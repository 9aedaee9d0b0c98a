import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Machines with links of 7 Mbit/s. The configuration grows to nearly the size that the store allows, which all entries
 * apply. Then all processes are killed and start again. Checks whether requests are served after the recovery time.
 */
final class SlowStart {

    private static final double LINK_MEGABITS_PER_SECOND = 7;
    private static final int CUSTOMER_ROUTES = 1_600;
    private static final int ENTRIES = 3;
    private static final int CONTACT_MILLIS = 4_000;
    private static final int DRAIN_MILLIS = 3_000;
    private static final long RECOVERY_MILLIS = 15_000;
    private static final int REQUESTS = 60;

    private SlowStart() {}

    static int run(Path folder, RunRecord record, boolean trouble) throws Exception {
        Store store = new Store();
        store.keepHistory(20_000);
        store.put("config", "main", config(3, 50));
        Entries entries = new Entries(folder, store);
        entries.setBounds(CONTACT_MILLIS, DRAIN_MILLIS);
        entries.setLink(address -> new NarrowLink(address, LINK_MEGABITS_PER_SECOND).address());
        try {
            new Replica(store, record, "i-lm1", "lm").start("m0");
            new Replica(store, record, "i-app1", "app").start();
            List<Entries.Entry> started = new ArrayList<>();
            for (int i = 1; i <= ENTRIES; i++) {
                started.add(entries.start("entry-" + i, "z" + i));
            }
            for (Entries.Entry entry : started) {
                entry.awaitReady();
            }
            record.add("all entries are ready");
            Replica.sleep(3_000);
            Object large = config(4, CUSTOMER_ROUTES);
            record.add("version 4 of the configuration has %d bytes", Json.write(large).length());
            store.put("config", "main", large);
            Replica.sleep(15_000);
            int before = serve(record, started, "before");
            if (trouble) {
                store.put("config", "main", config(5, CUSTOMER_ROUTES));
                record.add("version 5 is acknowledged; all processes are killed");
                for (Entries.Entry entry : started) {
                    entry.signal("KILL");
                }
                Replica.sleep(1_500);
                for (Entries.Entry entry : started) {
                    entry.launch();
                }
                record.add("all processes are started again");
            }
            Replica.sleep(RECOVERY_MILLIS + 5_000);
            int after = serve(record, started, "after");
            record.add("served before: %d of %d, after the recovery time: %d of %d", before, REQUESTS, after, REQUESTS);
            if (before * 4 < REQUESTS) {
                return 2;
            }
            return after * 4 < REQUESTS ? 1 : 0;
        } finally {
            entries.stopAll();
            store.stop();
        }
    }

    private static int serve(RunRecord record, List<Entries.Entry> entries, String label) throws IOException {
        int served = 0;
        for (int i = 0; i < REQUESTS; i++) {
            Entries.Entry entry = entries.get(i % entries.size());
            String id = label + "-" + i;
            String result;
            try (Client client = new Client(entry.callerPort)) {
                client.send(Client.head("GET", "/look/a", id, 2_500, ""));
                Http.Message answer = client.read(4_000);
                result = answer == null ? "no answer" : Integer.toString(answer.status());
            } catch (IOException e) {
                result = e.toString();
            }
            served += result.equals("200") ? 1 : 0;
            record.add("%s at %s gets %s, ready: %s", id, entry.id, result, entry.isReady());
            Replica.sleep(100);
        }
        return served;
    }

    private static Object config(long version, int customers) {
        Map<String, Object> config = Sites.config(version);
        List<Object> routes = new ArrayList<>((List<?>) config.get("routes"));
        routes.addAll(Sites.customerRoutes(customers));
        config.put("routes", routes);
        return config;
    }
}
