import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A version of the configuration takes a key away. In the same version, or not, the quota of another tenant has no burst any
 * more. Checks whether requests with the key still run when it must have lost its effect at all machines.
 */
final class RevokedKey {

    private static final int ENTRIES = 3;
    private static final long REVOKE_MILLIS = 5_000;
    private static final int ROUNDS = 20;
    private static final int PLAIN_TOKENS = 200;
    private static final int RATE_PER_SECOND = 338_445;

    private RevokedKey() {}

    static int run(Path folder, RunRecord record, boolean trouble) throws Exception {
        Store store = new Store();
        store.put("config", "main", config(3, true, RATE_PER_SECOND));
        Entries entries = new Entries(folder, store);
        entries.setBounds(4_000, 3_000);
        entries.addSettings("""
                [keys]
                revoke-milliseconds = %d
                fail-closed = true
                [quota]
                window-seconds = 8
                overage = 0.1
                slack = 110000
                """.formatted(REVOKE_MILLIS));
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
            Replica.sleep(5_000);
            int before = 0;
            for (Entries.Entry entry : started) {
                before += look(record, entry, "before", "first-key") == 200 ? 1 : 0;
            }
            Object next = config(4, false, trouble ? 0 : RATE_PER_SECOND);
            store.put("config", "main", next);
            long ackMillis = record.millis();
            record.add("version 4 is acknowledged: tenants %s", Json.write(((Map<?, ?>) next).get("tenants")));
            Replica.sleep(REVOKE_MILLIS + 1_000);
            long firstMillis = record.millis() - ackMillis;
            int ran = 0;
            int others = 0;
            for (int i = 0; i < ROUNDS; i++) {
                for (Entries.Entry entry : started) {
                    ran += look(record, entry, "late-" + i, "first-key") == 200 ? 1 : 0;
                    others += look(record, entry, "other-" + i, "second-key") == 200 ? 1 : 0;
                }
                Replica.sleep(200);
            }
            record.add(
                    "requests with the key that was taken away, sent %d ms and more after the acknowledgement: %d ran; "
                            + "with a key that is left: %d ran",
                    firstMillis, ran, others);
            if (before < ENTRIES || others == 0) {
                return 2;
            }
            return ran > 0 ? 1 : 0;
        } finally {
            entries.stopAll();
            store.stop();
        }
    }

    private static int look(RunRecord record, Entries.Entry entry, String label, String key) throws IOException {
        String id = label + "-" + entry.id;
        try (Client client = new Client(entry.callerPort)) {
            client.send(Client.head("GET", "/look/a", id, 2_500, "Api-Key: " + key + "\r\n"));
            Http.Message answer = client.read(4_000);
            record.add("%s with %s gets %s", id, key, answer == null ? "no answer" : answer.status());
            return answer == null ? 0 : answer.status();
        }
    }

    /** Returns a configuration with two tenants; a burst of 0 is left out. */
    private static Object config(long version, boolean hasFirstKey, int burstOfOther) {
        Map<String, Object> config = Sites.config(version);
        config.put("tenants", List.of(
                tenant("hauliers", hasFirstKey ? List.of("first-key", "second-key") : List.of("second-key"), RATE_PER_SECOND),
                tenant("exporters", List.of("third-key"), burstOfOther)));
        return config;
    }

    private static Object tenant(String name, List<String> keys, int burst) {
        Map<String, Object> tenant = new LinkedHashMap<>();
        tenant.put("name", name);
        tenant.put("api_keys", keys);
        tenant.put("priority", 1);
        tenant.put("unit", "token_stream");
        tenant.put("plain_tokens", PLAIN_TOKENS);
        tenant.put("rate_per_s", RATE_PER_SECOND);
        if (burst > 0) {
            tenant.put("burst", burst);
        }
        return tenant;
    }
}
