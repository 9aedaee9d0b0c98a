import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.TreeSet;

/**
 * A stand-in for a model replica. It answers each request with a stream of events, each of which tells the version of its
 * software, and goes on after {@code Last-Event-Id}. It carries out orders and writes its entry every 1.2 s.
 */
final class EngineReplica extends TcpServer {

    static final long HEARTBEAT_MILLIS = 1_200;

    final String id;
    final String version;
    private final String service;
    private final Store store;
    private final int events;
    private final long gapMillis;
    private final long loadMillis;
    private final Set<String> models = new TreeSet<>();
    private final Set<String> onDisk = new TreeSet<>();
    private final long born = System.currentTimeMillis();
    private long beats;
    private long orders;
    private long highestFence;
    private volatile boolean loading;
    private volatile boolean draining;
    private volatile long lastBeatMillis;

    EngineReplica(
            String id, String version, String service, Store store, int events, long gapMillis, long loadMillis) {
        this.id = id;
        this.version = version;
        this.service = service;
        this.store = store;
        this.events = events;
        this.gapMillis = gapMillis;
        this.loadMillis = loadMillis;
    }

    EngineReplica holding(String model) {
        models.add(model);
        onDisk.add(model);
        return this;
    }

    /** The machine has the weights of a model on its disk, as a replica on it has held them before. */
    EngineReplica withOnDisk(String model) {
        onDisk.add(model);
        return this;
    }

    @Override
    void start() throws IOException {
        super.start();
        daemon(() -> {
            while (true) {
                if (!store.isAway()) {
                    writeBeat();
                }
                lastBeatMillis = Record.millis();
                sleep(HEARTBEAT_MILLIS);
            }
        });
    }

    /** Reports that it drains, and goes on serving. */
    void drain() {
        draining = true;
        Record.line("%s reports that it drains", id);
        writeBeat();
    }

    /** Returns when this replica has written its entry last, or would have. */
    long lastBeatMillis() {
        return lastBeatMillis;
    }

    synchronized boolean holds(String model) {
        return models.contains(model);
    }

    private synchronized void writeBeat() {
        ObjectNode beat = Json.object();
        beat.put("service", service);
        beat.put("address", address());
        beat.put("zone", "zone-a");
        beat.put("version", version);
        beat.put("slots", 64);
        beat.put("state", draining ? "draining" : "ready");
        beat.put("cold_remaining_ms", 0);
        beat.put("stage", "prefill_decode");
        beat.put("sequence", ++beats);
        addState(beat);
        store.put("servers", id, beat);
    }

    private void addState(ObjectNode to) {
        to.put("born", born);
        ArrayNode held = to.putArray("models");
        models.forEach(model -> held.addObject()
                .put("name", model)
                .put("version", 1)
                .putArray("adapters"));
        ObjectNode atHand = to.putObject("at_hand");
        atHand.putArray("in_memory");
        ArrayNode disk = atHand.putArray("on_disk");
        onDisk.forEach(disk::add);
    }

    @Override
    void handle(Socket connection) throws IOException {
        OutputStream out = connection.getOutputStream();
        for (HttpMessage request = HttpMessage.read(connection.getInputStream());
                request != null;
                request = HttpMessage.read(connection.getInputStream())) {
            String target = request.header("X-Tarragonring-Target-Instance");
            if (target != null && !target.equals(id)) {
                respond(out, 421, "X-Tarragonring-Instance-Id: " + id + "\r\n", "");
            } else if (request.uri().equals("/api/report")) {
                respond(out, 200, "", report());
            } else if (request.uri().equals("/api/order")) {
                respond(out, order(Json.parse(request.body)), "", "");
            } else {
                stream(request, out);
            }
        }
    }

    private synchronized String report() {
        ObjectNode report = Json.object();
        report.put("stage", "prefill_decode");
        report.put("busy", loading);
        report.put("sequence", orders);
        report.put("queued", 0);
        report.put("running", 0);
        report.put("kv_used", 0);
        report.put("kv_total", 232_000);
        report.put("handles", 0);
        addState(report);
        return report.toString();
    }

    private synchronized int order(JsonNode order) {
        long fence = order.path("fence").asLong();
        String model = order.path("model").asText();
        Record.line("%s gets order %s", id, order);
        if (fence < highestFence) {
            return 412;
        }
        highestFence = fence;
        if (loading || order.has("expected") && order.path("expected").asLong() != orders) {
            return 409;
        }
        if (order.path("op").asText().equals("load") == models.contains(model)) {
            return 200;
        }
        orders++;
        if (order.path("op").asText().equals("unload")) {
            models.remove(model);
            return 202;
        }
        loading = true;
        daemon(() -> {
            sleep(loadMillis);
            synchronized (this) {
                models.add(model);
                onDisk.add(model);
                loading = false;
            }
            Record.line("%s holds %s", id, model);
            if (!store.isAway()) {
                writeBeat();
            }
        });
        return 202;
    }

    private void stream(HttpMessage request, OutputStream out) throws IOException {
        String callId = request.header("X-Tarragonring-Request-Id");
        String model = request.header("X-Tarragonring-Model");
        if (!holds(model)) {
            respond(out, 421, "X-Tarragonring-Request-Id: " + callId + "\r\n", "");
            return;
        }
        String last = request.header("Last-Event-Id");
        int first = last == null ? 1 : Integer.parseInt(last) + 1;
        Record.line("%s (%s) runs %s from event %d", id, version, callId, first);
        String head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                + "X-Tarragonring-Request-Id: %s\r\nX-Tarragonring-Response-Signature: sig-%s\r\n"
                        .formatted(callId, id)
                + "X-Tarragonring-Weight-Versions: 1\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        for (int event = first; event <= events; event++) {
            sleep(gapMillis);
            String text = "id: %d\ndata: %s %s\n\n".formatted(event, version, id);
            out.write("%x\r\n%s\r\n".formatted(text.length(), text).getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private void respond(OutputStream out, int status, String headers, String body) throws IOException {
        String head = "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n".formatted(status, headers, body.length());
        out.write((head + body).getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
