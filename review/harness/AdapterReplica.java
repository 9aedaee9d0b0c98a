import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stands in for a sound replica that holds one model and loads adapters of it. Its reports are some hundred ms old, each
 * replica's by another time.
 */
final class AdapterReplica {

    private static final int MAX_ADAPTERS = 8;
    private static final int MAX_IN_TRANSIT = 4;
    private static final double ADAPTER_MILLIS = 9.7;

    /** While more adapters are on their way, over all replicas, each takes longer in proportion. */
    private static final int TRANSITS_AT_FULL_SPEED = 32;

    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final long EVENT_MILLIS = 50;

    private static final AtomicInteger TRANSITS = new AtomicInteger();

    /** How often a replica was ordered to load more than it can hold. */
    static final AtomicInteger EXCESS_ORDERS = new AtomicInteger();

    final String id;
    private final long reportAgeMillis;
    private final Store store;
    private final long born = System.currentTimeMillis();
    private final Http.Server server;
    private final Set<String> loaded = new LinkedHashSet<>();
    private final Set<String> coming = new LinkedHashSet<>();
    private final Deque<Snapshot> snapshots = new ArrayDeque<>();
    private long orders;
    private long highestFence;
    private long heartbeats;
    private final AtomicInteger running = new AtomicInteger();

    private record Snapshot(long nanos, long orders, List<Object> loaded, List<Object> coming) {}

    AdapterReplica(String id, long reportAgeMillis, Store store) throws Exception {
        this.id = id;
        this.reportAgeMillis = reportAgeMillis;
        this.store = store;
        this.server = new Http.Server("127.0.0.1", this::handle);
        takeSnapshot();
        Case.daemon(() -> {
            while (true) {
                register();
                Case.sleep(HEARTBEAT_MILLIS);
            }
        });
    }

    private synchronized List<Object> models() {
        return List.of(Case.map("name", "m0", "version", 1L, "adapters", new ArrayList<Object>(loaded)));
    }

    private void register() {
        store.put(
                "servers",
                id,
                Case.map(
                        "service", "lm",
                        "address", server.address(),
                        "zone", "sul-br-a",
                        "version", "v1",
                        "slots", 64L,
                        "state", "ready",
                        "cold_remaining_ms", 0L,
                        "sequence", ++heartbeats,
                        "born", born,
                        "models", models(),
                        "at_hand", Case.map("in_memory", List.of("m0"), "on_disk", List.of("m0"))));
    }

    private synchronized void takeSnapshot() {
        List<Object> transit = new ArrayList<>();
        coming.forEach(adapter -> transit.add("m0/" + adapter + "@1"));
        snapshots.addLast(new Snapshot(System.nanoTime(), orders, new ArrayList<>(loaded), transit));
        while (snapshots.size() > 2_000) {
            snapshots.removeFirst();
        }
    }

    private synchronized String report() {
        long asOf = System.nanoTime() - reportAgeMillis * 1_000_000;
        Snapshot current = snapshots.peekFirst();
        for (Snapshot snapshot : snapshots) {
            if (snapshot.nanos <= asOf) {
                current = snapshot;
            }
        }
        if (!current.coming.isEmpty()) {
            Case.record("report of %s: sequence %d, %d adapters, coming %s",
                    id, current.orders, current.loaded.size(), current.coming);
        }
        return Json.write(Case.map(
                "stage", "prefill_decode",
                "models", List.of(Case.map("name", "m0", "version", 1L, "adapters", current.loaded)),
                "coming", current.coming, "busy", false, "sequence", current.orders, "queued", 0L, "running", 0L,
                "kv_used", 0L, "kv_total", 232_000L, "handles", 0L, "born", born,
                "at_hand", Case.map("in_memory", List.of("m0"), "on_disk", List.of("m0"))));
    }

    private synchronized int order(Map<String, Object> order) {
        long fence = order.get("fence") instanceof Long given ? given : -1;
        String adapter = (String) order.get("adapter");
        if (order.get("holder") == null || fence < 0) {
            return 400;
        }
        if (fence < highestFence) {
            return 412;
        }
        highestFence = fence;
        boolean isLoad = "load".equals(order.get("op"));
        if (adapter == null) {
            return isLoad ? 200 : 409;
        }
        if (order.get("expected") != null && !order.get("expected").equals(orders)) {
            return 409;
        }
        if (!isLoad) {
            if (coming.contains(adapter)) {
                return 409;
            }
            orders += loaded.remove(adapter) ? 1 : 0;
            takeSnapshot();
            return 200;
        }
        if (loaded.contains(adapter) || coming.contains(adapter)) {
            return 200;
        }
        if (coming.size() >= MAX_IN_TRANSIT) {
            return 409;
        }
        orders++;
        coming.add(adapter);
        if (loaded.size() + coming.size() > MAX_ADAPTERS) {
            EXCESS_ORDERS.incrementAndGet();
            Case.record("%s is ordered to load %s beside %d adapters and %d that are coming: %s",
                    id, adapter, loaded.size(), coming.size() - 1, Json.write(order));
            Case.record("%s crashes, with %d calls running", id, running.get());
            server.close();
            return 202;
        }
        takeSnapshot();
        int transits = TRANSITS.incrementAndGet();
        double millis = ADAPTER_MILLIS * Math.max(1, transits / (double) TRANSITS_AT_FULL_SPEED);
        Case.daemon(() -> {
            Case.sleep(Math.round(millis));
            TRANSITS.decrementAndGet();
            synchronized (this) {
                if (coming.remove(adapter)) {
                    loaded.add(adapter);
                }
                takeSnapshot();
            }
        });
        return 202;
    }

    private boolean handle(Http.Message request, Socket socket, OutputStream out) throws Exception {
        String target = request.header("X-Tarragonring-Target-Instance");
        if (target != null && !target.equals(id)) {
            Http.respond(out, 421, Map.of("X-Tarragonring-Instance-Id", id), new byte[0]);
        } else if (request.path().equals("/api/report")) {
            Http.respond(out, 200, Map.of("Content-Type", "application/json"), report().getBytes("UTF-8"));
        } else if (request.path().equals("/api/order")) {
            int status = order(Json.object(new String(request.body, StandardCharsets.UTF_8)));
            Http.respond(out, status, Map.of(), new byte[0]);
        } else {
            running.incrementAndGet();
            try {
                run(request, out);
            } finally {
                running.decrementAndGet();
            }
        }
        return true;
    }

    private void run(Http.Message request, OutputStream out) throws Exception {
        String model = request.header("X-Tarragonring-Model");
        String adapter = model == null || model.indexOf('/') < 0 ? null : model.substring(model.indexOf('/') + 1);
        boolean isLoaded;
        synchronized (this) {
            isLoaded = adapter == null || loaded.contains(adapter);
        }
        if (!isLoaded) {
            Http.respond(out, 421, Map.of("X-Tarragonring-Instance-Id", id), new byte[0]);
            return;
        }
        String callId = request.header("X-Tarragonring-Request-Id");
        Case.record("run %s at %s", callId, id);
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
        head.append("Transfer-Encoding: chunked\r\nX-Tarragonring-Request-Id: ").append(callId);
        head.append("\r\nX-Tarragonring-Response-Signature: 3e1b.07.").append(id).append("\r\n\r\n");
        out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        for (int event = 1; event <= Replica.eventCount(request); event++) {
            Case.sleep(EVENT_MILLIS);
            String text = "id: %d\ndata: v1 says token %d\n\n".formatted(event, event);
            out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
