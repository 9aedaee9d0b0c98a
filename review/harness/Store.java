import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stands in for the platform's metadata store: objects with revisions, conditional writes, lists and watches. */
final class Store {

    private static final long ANSWER_MILLIS = 4;
    private static final int PAGE_ITEMS = 500;

    private final Http.Server server;
    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new HashMap<>();
    private final List<Event> history = new ArrayList<>();

    /** The connections on which a watch of a kind waits. */
    private final Map<Socket, String> waitingWatches = new HashMap<>();

    private long revision = 100;

    private record Event(String kind, long revision, Map<String, Object> object, boolean deleted) {}

    Store(String host) throws Exception {
        server = new Http.Server(host, this::handle);
    }

    String address() {
        return server.address();
    }

    /** Opens another address of the store, whose callers can be turned away while others are served. */
    Door openDoor() throws Exception {
        return new Door();
    }

    final class Door {
        volatile boolean turnsAway;
        private final Http.Server entrance = new Http.Server("127.0.0.1", (request, socket, out) -> {
            if (!turnsAway) {
                return Store.this.handle(request, socket, out);
            }
            Thread.sleep(ANSWER_MILLIS);
            Http.respond(out, 503, Map.of(), new byte[0]);
            return true;
        });

        private Door() throws Exception {}

        String address() {
            return entrance.address();
        }
    }

    /** Writes the content of an object, as the operator and the replicas do. */
    synchronized long put(String kind, String name, Object spec) {
        Map<String, Object> old = kind(kind).get(name);
        if (old != null && old.get("spec").equals(spec)) {
            return (Long) metadata(old).get("revision");
        }
        return store(kind, name, spec, old);
    }

    synchronized void remove(String kind, String name) {
        Map<String, Object> old = kind(kind).remove(name);
        if (old != null) {
            revision++;
            history.add(new Event(kind, revision, old, true));
            notifyAll();
        }
    }

    private long store(String kind, String name, Object spec, Map<String, Object> old) {
        revision++;
        Map<String, Object> metadata = new LinkedHashMap<>();
        metadata.put("name", name);
        metadata.put("revision", revision);
        metadata.put("create_revision", old == null ? revision : metadata(old).get("create_revision"));
        metadata.put("finalizers", List.of());
        metadata.put("deleting", false);
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("metadata", metadata);
        object.put("spec", spec);
        object.put("status", old == null ? Map.of() : old.get("status"));
        kind(kind).put(name, object);
        history.add(new Event(kind, revision, object, false));
        notifyAll();
        return revision;
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> metadata(Map<String, Object> object) {
        return (Map<String, Object>) object.get("metadata");
    }

    private TreeMap<String, Map<String, Object>> kind(String kind) {
        return kinds.computeIfAbsent(kind, k -> new TreeMap<>());
    }

    private boolean handle(Http.Message request, Socket socket, OutputStream out) throws Exception {
        Thread.sleep(ANSWER_MILLIS);
        Reply reply = reply(request, socket);
        Http.respond(
                out,
                reply.status,
                Map.of("Content-Type", "application/json"),
                // all text but that of another writer is ASCII
                Json.write(reply.body).getBytes(StandardCharsets.ISO_8859_1));
        return true;
    }

    private record Reply(int status, Object body) {}

    private Reply reply(Http.Message request, Socket socket) throws Exception {
        String[] parts = request.path().split("/");
        if (parts.length < 4 || !parts[1].equals("api") || !parts[2].equals("objects")) {
            return new Reply(404, Map.of());
        }
        String kind = parts[3];
        String name = parts.length > 4 ? parts[4] : null;
        if (request.method().equals("GET") && name == null) {
            return request.query("watch") == null ? list(kind, request) : watch(kind, request, socket);
        }
        synchronized (this) {
            if (request.method().equals("GET")) {
                Map<String, Object> object = kind(kind).get(name);
                return object == null ? new Reply(404, Map.of()) : new Reply(200, object);
            }
            return write(kind, name, parts.length > 5, request);
        }
    }

    private Reply write(String kind, String pathName, boolean status, Http.Message request) throws Exception {
        Map<String, Object> body =
                request.body.length == 0 ? new HashMap<>() : Json.object(new String(request.body, "UTF-8"));
        Map<String, Object> given = body.containsKey("metadata") ? metadata(body) : Map.of();
        String name = pathName == null ? (String) given.get("name") : pathName;
        Map<String, Object> old = kind(kind).get(name);
        if (request.method().equals("POST")) {
            if (old != null) {
                return new Reply(409, old);
            }
            store(kind, name, body.get("spec"), null);
            return new Reply(201, kind(kind).get(name));
        }
        if (old == null) {
            return new Reply(404, Map.of());
        }
        Object expected = request.query("revision") != null ? Long.valueOf(request.query("revision")) : given.get("revision");
        if (expected != null && !expected.equals(metadata(old).get("revision"))) {
            return new Reply(409, old);
        }
        if (request.method().equals("DELETE")) {
            remove(kind, name);
            return new Reply(200, old);
        }
        if (status) {
            old.put("status", body.get("status"));
            return new Reply(200, old);
        }
        put(kind, name, body.get("spec"));
        return new Reply(200, kind(kind).get(name));
    }

    private synchronized Reply list(String kind, Http.Message request) {
        String after = request.query("after");
        List<Object> items = new ArrayList<>();
        var rest = after == null ? kind(kind) : kind(kind).tailMap(after, false);
        for (Map<String, Object> object : rest.values()) {
            if (items.size() == PAGE_ITEMS) {
                return new Reply(200, Map.of("items", items, "more_pages", true, "at", revision));
            }
            items.add(object);
        }
        return new Reply(200, Map.of("items", items, "more_pages", false, "at", revision));
    }

    /** Cuts off the watches of a kind that are waiting. */
    synchronized int cutWatches(String kind) throws java.io.IOException {
        int count = 0;
        for (Map.Entry<Socket, String> watch : waitingWatches.entrySet()) {
            if (watch.getValue().equals(kind)) {
                watch.getKey().close();
                count++;
            }
        }
        return count;
    }

    private synchronized Reply watch(String kind, Http.Message request, Socket socket) throws InterruptedException {
        waitingWatches.put(socket, kind);
        try {
            return awaitEvents(kind, request);
        } finally {
            waitingWatches.remove(socket);
        }
    }

    private Reply awaitEvents(String kind, Http.Message request) throws InterruptedException {
        long since = Long.parseLong(request.query("watch"));
        long waitMillis = request.query("wait_ms") == null ? 0 : Long.parseLong(request.query("wait_ms"));
        long endNanos = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            List<Object> events = new ArrayList<>();
            for (Event event : history) {
                if (event.revision > since && event.kind.equals(kind)) {
                    events.add(Map.of("object", event.object, "deleted", event.deleted));
                }
            }
            long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || leftMillis <= 0) {
                return new Reply(200, Map.of("events", events, "at", revision));
            }
            wait(leftMillis);
        }
    }
}
