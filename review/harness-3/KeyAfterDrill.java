import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A version of the configuration takes a key away. Later the store comes back from a copy that is older than this version,
 * and one of three entries is killed and starts again before the operator has written the configuration again. Checks whether
 * requests with the key run.
 */
final class KeyAfterDrill {

    private static final int ENTRIES = 3;
    private static final long REVOKE_MILLIS = 5_000;
    private static final long AWAY_MILLIS = 1_000;
    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final long OPERATOR_MILLIS = 6_000;
    private static final long RESTART_MILLIS = 300;
    private static final int UNAUTHORIZED = 401;

    private KeyAfterDrill() {}

    static int run(Path folder, RunRecord record, boolean trouble) throws Exception {
        Store store = new Store();
        store.put("config", "main", config(3, true));
        store.copy();
        Entries entries = new Entries(folder, store);
        entries.setBounds(4_000, 3_000);
        entries.addSettings("[keys]\nrevoke-milliseconds = %d\nfail-closed = true\n".formatted(REVOKE_MILLIS));
        List<Replica> replicas = new ArrayList<>();
        try {
            for (String id : List.of("i-lm1", "i-app1", "i-app2")) {
                Replica replica = new Replica(store, record, id, id.startsWith("i-lm") ? "lm" : "app");
                replica.start("m0");
                replicas.add(replica);
            }
            List<Entries.Entry> started = new ArrayList<>();
            for (int i = 1; i <= ENTRIES; i++) {
                started.add(entries.start("entry-" + i, "z" + i));
            }
            for (Entries.Entry entry : started) {
                entry.awaitReady();
            }
            Replica.sleep(5_000);
            for (Entries.Entry entry : started) {
                look(record, entry, "before", "first-key");
            }
            store.copy();
            record.add("the store is copied");
            Replica.sleep(500);
            store.put("config", "main", config(4, false));
            long ackMillis = record.millis();
            record.add("version 4 is acknowledged, which takes first-key away");
            Replica.sleep(REVOKE_MILLIS + 500);
            int ran = 0;
            for (Entries.Entry entry : started) {
                ran += look(record, entry, "revoked", "first-key") == 200 ? 1 : 0;
            }
            if (trouble) {
                drill(store, record, replicas, started.get(0));
            }
            long endMillis = record.millis() + OPERATOR_MILLIS;
            int decided = 0;
            while (record.millis() < endMillis) {
                for (Entries.Entry entry : started) {
                    int status = look(record, entry, "late", "first-key");
                    ran += status == 200 ? 1 : 0;
                    decided += entry == started.get(0) && (status == 200 || status == UNAUTHORIZED) ? 1 : 0;
                }
                Replica.sleep(200);
            }
            store.put("config", "main", config(4, false));
            record.add("the operator writes version 4 again");
            Replica.sleep(2_000);
            int others = 0;
            for (Entries.Entry entry : started) {
                others += look(record, entry, "end", "second-key") == 200 ? 1 : 0;
            }
            record.add(
                    "requests with the key that was taken away, sent more than %d ms after the acknowledgement at %d ms: "
                            + "%d ran; at the end %d of %d entries serve a key that is left",
                    REVOKE_MILLIS, ackMillis, ran, others, ENTRIES);
            if (others < ENTRIES || decided == 0) {
                // The entry that starts was not ready before the operator wrote.
                return 2;
            }
            return ran > 0 ? 1 : 0;
        } finally {
            entries.stopAll();
            store.stop();
        }
    }

    /** Lets the store come back from its copy, and kills and starts an entry meanwhile. Replicas write their entries again. */
    private static void drill(Store store, RunRecord record, List<Replica> replicas, Entries.Entry killed)
            throws IOException, InterruptedException {
        record.add("the store is away; %s is killed", killed.id);
        store.setGate((exchange, machine) -> {
            exchange.close();
            return false;
        });
        killed.signal("KILL");
        Replica.sleep(RESTART_MILLIS);
        killed.launch();
        record.add("%s is started", killed.id);
        Replica.sleep(AWAY_MILLIS - RESTART_MILLIS);
        store.restoreCopy();
        store.setGate((exchange, machine) -> true);
        record.add("the store is back from the copy, in a new era");
        Replica.daemon(() -> {
            Replica.sleep(HEARTBEAT_MILLIS);
            replicas.forEach(Replica::register);
        });
    }

    private static int look(RunRecord record, Entries.Entry entry, String label, String key) {
        int status = 0;
        String result;
        try (Client client = new Client(entry.callerPort)) {
            client.send(Client.head(
                    "GET", "/look/a", label + "-" + entry.id + "-" + record.millis(), 2_500, "Api-Key: " + key + "\r\n"));
            Http.Message answer = client.read(4_000);
            status = answer == null ? 0 : answer.status();
            result = Integer.toString(status);
        } catch (IOException e) {
            result = e.getMessage();
        }
        record.add("%s at %s with %s gets %s", label, entry.id, key, result);
        return status;
    }

    private static Object config(long version, boolean hasFirstKey) {
        Map<String, Object> config = Sites.config(version);
        config.put("tenants", List.of(Map.of(
                "name", "hauliers",
                "api_keys", hasFirstKey ? List.of("first-key", "second-key") : List.of("second-key"),
                "priority", 1)));
        return config;
    }
}
