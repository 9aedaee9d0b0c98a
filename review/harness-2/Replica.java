import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A stand-in for a replica of a service without models. It registers with a heartbeat of 1.2 s. */
class Replica extends TcpServer {

    static final long HEARTBEAT_MILLIS = 1_200;

    /** Learns which requests a replica begins to run. */
    interface Listener {

        void onRun(Replica replica, HttpMessage request);
    }

    final String id;
    private final String service;
    private final Store store;
    private final long workMillis;
    private final Listener listener;
    private final long born = System.currentTimeMillis();
    private long beats;
    private String body = "";
    private volatile boolean leaving;
    private volatile boolean gone;

    Replica(String id, String service, Store store, long workMillis, Listener listener) {
        this.id = id;
        this.service = service;
        this.store = store;
        this.workMillis = workMillis;
        this.listener = listener;
    }

    /** Sets the body of the answers. */
    Replica answering(String newBody) {
        body = newBody;
        return this;
    }

    @Override
    void start() throws IOException {
        super.start();
        daemon(() -> {
            while (!gone) {
                if (!store.isAway()) {
                    writeBeat();
                }
                sleep(HEARTBEAT_MILLIS);
            }
        });
    }

    /** Writes the entry in the store, or removes it again if this replica leaves. */
    private void writeBeat() {
        if (leaving) {
            store.remove("servers", id);
            return;
        }
        ObjectNode beat = Json.object();
        beat.put("service", service);
        beat.put("address", address());
        beat.put("zone", "zone-a");
        beat.put("version", "v1");
        beat.put("slots", 64);
        beat.put("state", "ready");
        beat.put("cold_remaining_ms", 0);
        beat.put("stage", "prefill_decode");
        beat.putArray("models");
        beat.put("born", born);
        beat.put("sequence", ++beats);
        store.put("servers", id, beat);
    }

    /** Leaves without a report of draining: its entry is removed, and it says so in its answers. */
    void leave() {
        leaving = true;
        store.remove("servers", id);
        Record.line("%s leaves: its entry is removed, its answers say Server-Leaving", id);
    }

    /** Exits, with whatever runs. */
    void exit() {
        gone = true;
        close();
        Record.line("%s exits", id);
    }

    boolean isLeaving() {
        return leaving;
    }

    @Override
    void handle(Socket connection) throws IOException {
        for (HttpMessage request = HttpMessage.read(connection.getInputStream());
                request != null;
                request = HttpMessage.read(connection.getInputStream())) {
            answer(request, connection.getOutputStream());
        }
    }

    private void answer(HttpMessage request, OutputStream out) throws IOException {
        String target = request.header("X-Tarragonring-Target-Instance");
        if (target != null && !target.equals(id)) {
            respond(out, 421, "X-Tarragonring-Instance-Id: " + id + "\r\n", "");
        } else if (request.uri().equals("/api/report")) {
            respond(
                    out,
                    200,
                    "",
                    "{\"stage\":\"prefill_decode\",\"models\":[],\"busy\":false,\"sequence\":0,\"born\":%d}".formatted(born));
        } else {
            listener.onRun(this, request);
            sleep(workMillis);
            respond(
                    out,
                    200,
                    "X-Tarragonring-Request-Id: %s\r\nX-Tarragonring-Response-Signature: sig-%s\r\n"
                            .formatted(request.header("X-Tarragonring-Request-Id"), id),
                    body.isEmpty() ? "done by " + id : body);
            Record.line("%s has answered %s", id, request.header("X-Tarragonring-Request-Id"));
        }
    }

    private void respond(OutputStream out, int status, String headers, String body) throws IOException {
        String head = "HTTP/1.1 %d X\r\n%s%sContent-Length: %d\r\n\r\n"
                .formatted(status, headers, leaving ? "Server-Leaving: 1\r\n" : "", body.length());
        out.write((head + body).getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
