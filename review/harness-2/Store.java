import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in for the platform's store, with the header that tells its era. */
final class Store extends TcpServer {

    private Map<String, TreeMap<String, ObjectNode>> kinds = new HashMap<>();
    private List<Event> history = new ArrayList<>();
    private long revision = 100;
    private long oldestWatched = 100;
    private long era = 1;
    private volatile boolean away;

    private record Event(long revision, String kind, boolean deleted, ObjectNode object) {}

    /** A copy of the store. */
    record Copy(Map<String, TreeMap<String, ObjectNode>> kinds, List<Event> history, long revision) {}

    private record Answer(int status, JsonNode body) {}

    /** Writes an object, as the operator and the replicas do. */
    synchronized void put(String kind, String name, JsonNode spec) {
        ObjectNode known = objects(kind).get(name);
        write(kind, name, spec, known == null ? null : known);
    }

    synchronized void remove(String kind, String name) {
        ObjectNode known = objects(kind).remove(name);
        if (known != null) {
            add(new Event(++revision, kind, true, known));
        }
    }

    synchronized Copy copy() {
        Map<String, TreeMap<String, ObjectNode>> copied = new HashMap<>();
        kinds.forEach((kind, each) -> copied.put(kind, new TreeMap<>(each)));
        return new Copy(copied, List.copyOf(history), revision);
    }

    /** Begins the drill: the store is away until it comes back. */
    void goAway() {
        away = true;
        close();
    }

    boolean isAway() {
        return away;
    }

    /** Ends the drill: the store comes back from a copy. Nothing that it has answered since counts. */
    void comeBackFrom(Copy copy) throws IOException {
        synchronized (this) {
            kinds = new HashMap<>();
            copy.kinds.forEach((kind, each) -> kinds.put(kind, new TreeMap<>(each)));
            history = new ArrayList<>(copy.history);
            revision = copy.revision;
            era++;
            notifyAll();
        }
        away = false;
        start();
    }

    @Override
    void handle(Socket connection) throws IOException {
        for (HttpMessage request = HttpMessage.read(connection.getInputStream());
                request != null;
                request = HttpMessage.read(connection.getInputStream())) {
            Answer answer = answer(request);
            byte[] body = answer.body.toString().getBytes(StandardCharsets.UTF_8);
            String head = "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: %d\r\nContent-Length: %d\r\n\r\n"
                    .formatted(answer.status, currentEra(), body.length);
            connection.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            connection.getOutputStream().write(body);
            connection.getOutputStream().flush();
        }
    }

    private synchronized long currentEra() {
        return era;
    }

    private TreeMap<String, ObjectNode> objects(String kind) {
        return kinds.computeIfAbsent(kind, k -> new TreeMap<>());
    }

    private void add(Event event) {
        history.add(event);
        notifyAll();
    }

    private ObjectNode write(String kind, String name, JsonNode spec, ObjectNode known) {
        if (known != null && known.path("spec").equals(spec)) {
            return known;
        }
        ObjectNode object = Json.object();
        ObjectNode metadata = object.putObject("metadata");
        metadata.put("name", name);
        metadata.put("revision", ++revision);
        metadata.put(
                "create_revision",
                known == null ? revision : known.path("metadata").path("create_revision").asLong());
        metadata.putArray("finalizers");
        metadata.put("deleting", false);
        object.set("spec", spec);
        object.putNull("status");
        objects(kind).put(name, object);
        add(new Event(revision, kind, false, object));
        return object;
    }

    private Answer answer(HttpMessage request) {
        String uri = request.uri();
        int question = uri.indexOf('?');
        String path = (question < 0 ? uri : uri.substring(0, question)).substring("/api/objects/".length());
        Map<String, String> query = query(question < 0 ? "" : uri.substring(question + 1));
        int slash = path.indexOf('/');
        String kind = slash < 0 ? path : path.substring(0, slash);
        if (slash < 0 && request.method().equals("GET")) {
            return query.containsKey("watch") ? watch(kind, query) : list(kind, query);
        }
        synchronized (this) {
            JsonNode sent = request.body.length == 0 ? Json.object() : Json.parse(request.body);
            String name = slash < 0 ? sent.path("metadata").path("name").asText() : path.substring(slash + 1);
            ObjectNode known = objects(kind).get(name);
            switch (request.method()) {
                case "GET":
                    return known == null ? new Answer(404, Json.object()) : new Answer(200, known);
                case "POST":
                    return known != null
                            ? new Answer(409, known)
                            : new Answer(200, write(kind, name, sent.path("spec"), null));
                case "PUT":
                    return known == null
                            ? new Answer(404, Json.object())
                            : isOther(sent.path("metadata").path("revision"), known)
                                    ? new Answer(409, known)
                                    : new Answer(200, write(kind, name, sent.path("spec"), known));
                case "DELETE":
                    if (known == null) {
                        return new Answer(404, Json.object());
                    }
                    if (query.containsKey("revision") && isOther(Json.parse(query.get("revision")), known)) {
                        return new Answer(409, known);
                    }
                    remove(kind, name);
                    return new Answer(200, known);
                default:
                    return new Answer(400, Json.object());
            }
        }
    }

    private static boolean isOther(JsonNode revision, ObjectNode known) {
        return revision.isNumber() && revision.asLong() != known.path("metadata").path("revision").asLong();
    }

    private synchronized Answer list(String kind, Map<String, String> query) {
        ObjectNode page = Json.object();
        ArrayNode items = page.putArray("items");
        String after = query.getOrDefault("after", "");
        objects(kind).forEach((name, object) -> {
            if (name.compareTo(after) > 0) {
                items.add(object);
            }
        });
        page.put("more_pages", false);
        page.put("at", revision);
        return new Answer(200, page);
    }

    private synchronized Answer watch(String kind, Map<String, String> query) {
        long since = Long.parseLong(query.get("watch"));
        long endMillis = Record.millis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        if (since < oldestWatched || since > revision) {
            return new Answer(410, Json.object());
        }
        long eraAtStart = era;
        while (true) {
            ObjectNode batch = Json.object();
            ArrayNode events = batch.putArray("events");
            for (Event event : history) {
                if (event.revision > since && event.kind.equals(kind)) {
                    ObjectNode node = events.addObject();
                    node.put("deleted", event.deleted);
                    node.set("object", event.object);
                }
            }
            long remaining = endMillis - Record.millis();
            if (!events.isEmpty() || remaining <= 0 || era != eraAtStart) {
                batch.put("at", revision);
                return new Answer(200, batch);
            }
            try {
                wait(remaining);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String pair : text.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                query.put(
                        pair.substring(0, equals),
                        java.net.URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }
}
