import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Stands in for a sound replica: registers itself, streams events, answers reports and drains as the pages say. */
final class Replica {

    /** An event of a stream holds this many tokens. */
    private static final int TOKENS_PER_EVENT = 4;

    private static final long LOAD_MILLIS = 6_000;
    private static final long LOAD_FROM_DISK_MILLIS = 490;

    /** Answers a request in another way than the sound one; returns null where the sound answer is to follow. */
    interface Fault {
        Boolean handle(Http.Message request, Socket socket, OutputStream out) throws Exception;
    }

    final String id;
    final String service;
    final String version;
    volatile long eventMillis = 200;
    volatile Fault fault = (request, socket, out) -> null;
    private final Store store;
    private volatile boolean holdsModel;
    private volatile boolean onDisk;
    private final long born = System.currentTimeMillis();
    private final Http.Server server;
    private volatile boolean draining;
    private long sequence;
    private long orders;
    private long highestFence;
    private boolean busy;

    Replica(String id, String service, String version, boolean holdsModel, Store store) throws Exception {
        this(id, service, version, holdsModel, holdsModel, 0, store);
    }

    private Replica(
            String id, String service, String version, boolean holdsModel, boolean onDisk, int port, Store store)
            throws Exception {
        this.id = id;
        this.service = service;
        this.version = version;
        this.holdsModel = holdsModel;
        this.onDisk = onDisk;
        this.store = store;
        this.server = new Http.Server("127.0.0.1", port, this::handle);
        register("ready");
        Case.record("replica %s of version %s registered", id, version);
    }

    /** Ends all connections and starts again under the same id and address, empty but for its disk. */
    Replica startAgain(String newVersion, long downMillis) throws Exception {
        server.close();
        Case.record("replica %s ended", id);
        Case.sleep(downMillis);
        return new Replica(id, service, newVersion, false, onDisk, server.listener.getLocalPort(), store);
    }

    private List<Object> models() {
        return holdsModel ? List.of(Case.map("name", "m0", "version", 1L, "adapters", List.of())) : List.of();
    }

    private List<Object> hasModel() {
        return holdsModel ? List.of("m0") : List.of();
    }

    private List<Object> diskModels() {
        return holdsModel || onDisk ? List.of("m0") : List.of();
    }

    private void register(String state) {
        store.put(
                "servers",
                id,
                Case.map(
                        "service", service,
                        "address", server.address(),
                        "zone", "sul-br-a",
                        "version", version,
                        "slots", 64L,
                        "state", state,
                        "cold_remaining_ms", 0L,
                        "sequence", ++sequence,
                        "born", born,
                        "models", models(),
                        "at_hand", Case.map("in_memory", hasModel(), "on_disk", diskModels())));
    }

    /** Reports that it drains, goes on for a while, then exits and leaves the list. */
    void drain(long servesMillis) {
        draining = true;
        register("draining");
        Case.record("replica %s drains", id);
        Case.daemon(() -> {
            Case.sleep(servesMillis);
            server.close();
            store.remove("servers", id);
            Case.record("replica %s has left", id);
        });
    }

    /** Leaves the list without a report that it drains, goes on for a while, then exits. */
    void leaveUnannounced(long servesMillis) {
        store.remove("servers", id);
        Case.record("replica %s was removed from the list", id);
        Case.daemon(() -> {
            Case.sleep(servesMillis);
            server.close();
            Case.record("replica %s has exited", id);
        });
    }

    /** Ends like a process that crashes: its connections and its port close, its entry stays until it expires. */
    void crash() {
        server.close();
        Case.record("replica %s crashed", id);
        Case.daemon(() -> {
            Case.sleep(3_600);
            store.remove("servers", id);
        });
    }

    private boolean handle(Http.Message request, Socket socket, OutputStream out) throws Exception {
        String target = request.header("X-Tarragonring-Target-Instance");
        if (target != null && !target.equals(id)) {
            Http.respond(out, 421, Map.of("X-Tarragonring-Instance-Id", id), new byte[0]);
            return true;
        }
        if (request.path().equals("/api/report")) {
            Http.respond(out, 200, Map.of("Content-Type", "application/json"), report().getBytes("UTF-8"));
            return true;
        }
        if (request.path().equals("/api/order")) {
            int status = order(Json.object(new String(request.body, StandardCharsets.UTF_8)));
            Http.respond(out, status, Map.of(), new byte[0]);
            return true;
        }
        if (request.path().startsWith("/api/")) {
            Http.respond(out, 400, Map.of(), new byte[0]);
            return true;
        }
        String callId = request.header("X-Tarragonring-Request-Id");
        Case.record(
                "run %s at %s after event %s%s",
                callId, id, request.header("Last-Event-Id"), draining ? " (draining)" : "");
        Boolean handled = fault.handle(request, socket, out);
        if (handled != null) {
            return handled;
        }
        if (request.header("X-Tarragonring-Model") != null && !holdsModel) {
            Http.respond(out, 421, Map.of("X-Tarragonring-Instance-Id", id), new byte[0]);
        } else if (request.header("X-Tarragonring-Model") != null) {
            stream(request, out);
        } else {
            Http.respond(out, 200, answerHeaders(request), ("record " + callId).getBytes(StandardCharsets.UTF_8));
        }
        return true;
    }

    private synchronized String report() {
        return Json.write(Case.map(
                "stage", "prefill_decode", "models", models(), "busy", busy, "sequence", orders, "queued", 0L,
                "running", 0L, "kv_used", 0L, "kv_total", 232_000L, "handles", 0L, "born", born,
                "at_hand", Case.map("in_memory", hasModel(), "on_disk", diskModels())));
    }

    /** Accepts orders for the one model of the configuration. */
    private synchronized int order(Map<String, Object> order) {
        Case.record("order %s at %s", Json.write(order), id);
        long fence = order.get("fence") instanceof Long given ? given : -1;
        if (order.get("holder") == null || fence < 0 || order.containsKey("adapter")) {
            return 400;
        }
        if (fence < highestFence) {
            return 412;
        }
        highestFence = fence;
        boolean isLoad = "load".equals(order.get("op"));
        if (isLoad == holdsModel && !busy) {
            return 200;
        }
        if (busy || order.get("expected") != null && !order.get("expected").equals(orders)) {
            return 409;
        }
        orders++;
        busy = true;
        Case.daemon(() -> {
            Case.sleep(!isLoad ? 0 : onDisk ? LOAD_FROM_DISK_MILLIS : LOAD_MILLIS);
            synchronized (this) {
                holdsModel = isLoad;
                onDisk |= isLoad;
                busy = false;
                register(draining ? "draining" : "ready");
            }
        });
        return 202;
    }

    static int eventCount(Http.Message request) {
        String tokens = request.header("X-Tarragonring-Token-Count");
        return Integer.parseInt(tokens.split(",")[1].trim()) / TOKENS_PER_EVENT;
    }

    static int firstEvent(Http.Message request) {
        String last = request.header("Last-Event-Id");
        return last == null ? 1 : Integer.parseInt(last.trim()) + 1;
    }

    Map<String, String> answerHeaders(Http.Message request) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Tarragonring-Request-Id", request.header("X-Tarragonring-Request-Id"));
        headers.put("X-Tarragonring-Response-Signature", "3e1b.07.5a2.600.0." + id);
        return headers;
    }

    private void stream(Http.Message request, OutputStream out) throws Exception {
        startStream(request, out);
        int last = eventCount(request);
        for (int event = firstEvent(request); event <= last; event++) {
            sendEvent(out, event);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        Case.record("run %s at %s complete", request.header("X-Tarragonring-Request-Id"), id);
    }

    void startStream(Http.Message request, OutputStream out) throws Exception {
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
        head.append("Transfer-Encoding: chunked\r\nX-Tarragonring-Weight-Versions: 1\r\n");
        answerHeaders(request).forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        out.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    void sendEvent(OutputStream out, int event) throws Exception {
        Case.sleep(eventMillis);
        String text = "id: %d\ndata: %s says token %d\n\n".formatted(event, version, event);
        String chunk = Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
        out.write(chunk.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
