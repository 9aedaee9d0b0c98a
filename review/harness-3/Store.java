import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stands in for the platform's metadata store: objects with revisions, conditional writes, lists and watches. */
final class Store {

    private static final int PAGE_SIZE = 500;

    private final List<HttpServer> servers = new ArrayList<>();
    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new HashMap<>();
    private final List<Event> history = new ArrayList<>();
    private long revision = 1_000;
    private long historyMillis = Long.MAX_VALUE;
    private long droppedRevision;
    private long era;
    private Runnable restore = () -> {};
    private volatile Gate gate = (exchange, machine) -> true;

    /** Returns an address at which one machine reaches the store, so that machines can be told apart. */
    String listen(String machine) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 200);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", exchange -> handle(exchange, machine));
        server.start();
        servers.add(server);
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Decides for each request whether it is served; it may delay or answer the request itself. */
    void setGate(Gate newGate) {
        gate = newGate;
    }

    void stop() {
        servers.forEach(server -> server.stop(0));
    }

    /** Keeps changes for this long; a watch from an earlier revision then gets 410. */
    synchronized void keepHistory(long millis) {
        historyMillis = millis;
    }

    /** Lets all answers tell the era of the store from now on, and keeps a copy of its objects. */
    synchronized void copy() {
        era = Math.max(era, 1);
        Map<String, TreeMap<String, Map<String, Object>>> objects = new HashMap<>();
        kinds.forEach((kind, each) -> objects.put(kind, new TreeMap<>(each)));
        List<Event> copiedHistory = List.copyOf(history);
        long copiedRevision = revision;
        restore = () -> {
            kinds.clear();
            objects.forEach((kind, each) -> kinds.put(kind, new TreeMap<>(each)));
            history.clear();
            history.addAll(copiedHistory);
            revision = copiedRevision;
        };
    }

    /** Comes back from the copy, in a new era. What was written since is gone. */
    synchronized void restoreCopy() {
        restore.run();
        era++;
        notifyAll();
    }

    private synchronized long era() {
        return era;
    }

    private void dropHistory() {
        long nowMillis = System.nanoTime() / 1_000_000;
        while (!history.isEmpty() && nowMillis - history.get(0).atMillis > historyMillis) {
            droppedRevision = history.remove(0).revision;
        }
    }

    /** Writes an object as the operator or a replica does. */
    synchronized long put(String kind, String name, Object spec) {
        revision++;
        TreeMap<String, Map<String, Object>> objects = kinds.computeIfAbsent(kind, key -> new TreeMap<>());
        Map<String, Object> previous = objects.get(name);
        Object created = previous == null ? (Object) revision : metadata(previous).get("create_revision");
        Map<String, Object> metadata = new LinkedHashMap<>();
        metadata.put("name", name);
        metadata.put("revision", revision);
        metadata.put("create_revision", created);
        metadata.put("finalizers", List.of());
        metadata.put("deleting", false);
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("metadata", metadata);
        object.put("spec", spec);
        object.put("status", null);
        objects.put(name, object);
        history.add(new Event(revision, kind, object, false, System.nanoTime() / 1_000_000));
        notifyAll();
        return revision;
    }

    synchronized void remove(String kind, String name) {
        Map<String, Object> object = kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
        if (object != null) {
            history.add(new Event(++revision, kind, object, true, System.nanoTime() / 1_000_000));
            notifyAll();
        }
    }

    synchronized Object spec(String kind, String name) {
        Map<String, Object> object = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
        return object == null ? null : object.get("spec");
    }

    synchronized int count(String kind) {
        return kinds.getOrDefault(kind, new TreeMap<>()).size();
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> metadata(Map<String, Object> object) {
        return (Map<String, Object>) object.get("metadata");
    }

    private void handle(HttpExchange exchange, String machine) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String[] path = exchange.getRequestURI().getPath().substring("/api/objects/".length()).split("/");
        try {
            if (!gate.admit(exchange, machine)) {
                return;
            }
            Answer answer = answer(exchange.getRequestMethod(), path, query(exchange), body);
            if (era() > 0) {
                exchange.getResponseHeaders().set("Store-Era", Long.toString(era()));
            }
            respond(exchange, answer.status, answer.body);
        } catch (InterruptedException e) {
            exchange.close();
        }
    }

    static void respond(HttpExchange exchange, int status, Object body) throws IOException {
        byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> query = new HashMap<>();
        String text = exchange.getRequestURI().getRawQuery();
        if (text != null) {
            for (String pair : text.split("&")) {
                int equals = pair.indexOf('=');
                query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private synchronized Answer answer(String method, String[] path, Map<String, String> query, String body)
            throws InterruptedException {
        String kind = path[0];
        TreeMap<String, Map<String, Object>> objects = kinds.computeIfAbsent(kind, key -> new TreeMap<>());
        if (method.equals("GET") && path.length > 1) {
            Map<String, Object> object = objects.get(path[1]);
            return object == null ? new Answer(404, Map.of()) : new Answer(200, object);
        }
        if (method.equals("GET") && query.containsKey("watch")) {
            return watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.get("wait_ms")));
        }
        if (method.equals("GET")) {
            List<Object> items = new ArrayList<>();
            String after = query.getOrDefault("after", "");
            for (Map<String, Object> object : objects.tailMap(after, false).values()) {
                if (items.size() == PAGE_SIZE) {
                    return new Answer(200, Map.of("items", items, "more_pages", true, "at", revision));
                }
                items.add(object);
            }
            return new Answer(200, Map.of("items", items, "more_pages", false, "at", revision));
        }
        return write(method, kind, path, query, body, objects);
    }

    private Answer write(
            String method,
            String kind,
            String[] path,
            Map<String, String> query,
            String body,
            TreeMap<String, Map<String, Object>> objects) {
        Map<String, Object> sent = body.isEmpty() ? Map.of() : Json.readObject(body);
        String name = path.length > 1 ? path[1] : (String) metadata(sent).get("name");
        Map<String, Object> current = objects.get(name);
        Object expected = sent.isEmpty() ? query.get("revision") : metadata(sent).get("revision");
        if (method.equals("POST")) {
            if (current != null) {
                return new Answer(409, current);
            }
        } else if (current == null) {
            return new Answer(404, Map.of());
        } else if (expected != null
                && Long.parseLong(expected.toString())
                        != Long.parseLong(metadata(current).get("revision").toString())) {
            return new Answer(409, current);
        }
        if (method.equals("DELETE")) {
            remove(kind, name);
            return new Answer(200, Map.of());
        }
        if (current == null || !Json.write(current.get("spec")).equals(Json.write(sent.get("spec")))) {
            put(kind, name, sent.get("spec"));
        }
        return new Answer(200, objects.get(name));
    }

    private Answer watch(String kind, long after, long waitMillis) throws InterruptedException {
        long endNanos = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            dropHistory();
            if (after < droppedRevision || after > revision) {
                return new Answer(410, Map.of());
            }
            List<Object> events = new ArrayList<>();
            for (Event event : history) {
                if (event.revision > after && event.kind.equals(kind)) {
                    events.add(Map.of("object", event.object, "deleted", event.deleted));
                }
            }
            long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || leftMillis <= 0) {
                return new Answer(200, Map.of("events", events, "at", revision));
            }
            wait(leftMillis);
        }
    }

    /** Decides whether a request is served. */
    interface Gate {

        boolean admit(HttpExchange exchange, String machine) throws IOException, InterruptedException;
    }

    private record Answer(int status, Object body) {}

    private record Event(long revision, String kind, Map<String, Object> object, boolean deleted, long atMillis) {}
}
