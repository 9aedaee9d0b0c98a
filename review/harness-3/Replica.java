import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/** Stands in for a replica: registers itself in the store, answers reports and orders, and runs requests. */
class Replica {

    final String id;
    final String service;
    final RunRecord record;
    final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final Store store;
    private final Map<String, Set<String>> models = new TreeMap<>();
    private final Set<String> onDisk = new TreeSet<>();
    private long loadMillis = 1_000;
    private long diskLoadMillis = 500;
    private ServerSocket listener;
    private int port;
    private long born;
    private long orders;
    private boolean busy;
    private long highestFence;
    private volatile boolean up;
    private volatile String state = "ready";

    Replica(Store store, RunRecord record, String id, String service) {
        this.store = store;
        this.record = record;
        this.id = id;
        this.service = service;
    }

    /** Starts a process that holds the given models, and registers it. */
    synchronized void start(String... held) throws IOException {
        models.clear();
        for (String model : held) {
            models.put(model, new TreeSet<>());
            onDisk.add(model);
        }
        born = System.currentTimeMillis();
        orders = 0;
        highestFence = 0;
        busy = false;
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 200);
        port = listener.getLocalPort();
        up = true;
        ServerSocket current = listener;
        daemon(() -> accept(current));
        register();
        record.add("replica %s starts, born %d, at port %d", id, born, port);
    }

    /** Ends the process without a word: closes the listener and all connections. */
    synchronized void crash() {
        up = false;
        try {
            listener.close();
        } catch (IOException e) {
            record.add("replica %s: %s", id, e);
        }
        connections.forEach(Replica::reset);
        connections.clear();
        record.add("replica %s crashes", id);
    }

    void setState(String newState) {
        state = newState;
        register();
    }

    synchronized void register() {
        Map<String, Object> spec = new LinkedHashMap<>();
        spec.put("service", service);
        spec.put("address", "127.0.0.1:" + port);
        spec.put("zone", "z1");
        spec.put("version", "v1");
        spec.put("slots", 64);
        spec.put("state", state);
        spec.put("cold_remaining_ms", 0);
        spec.put("models", modelList());
        spec.put("at_hand", atHand());
        spec.put("born", born);
        spec.put("sequence", 1);
        store.put("servers", id, spec);
    }

    private Map<String, Object> atHand() {
        return Map.of("in_memory", List.of(), "on_disk", List.copyOf(onDisk));
    }

    /** Sets how long loads take from the weight store and from the disk. */
    void setLoadTimes(long fromStoreMillis, long fromDiskMillis) {
        loadMillis = fromStoreMillis;
        diskLoadMillis = fromDiskMillis;
    }

    /** Called when a load from the weight store begins. */
    void onStoreLoad(String model) {
        record.add("replica %s begins to load %s from the weight store", id, model);
    }

    private List<Object> modelList() {
        List<Object> list = new ArrayList<>();
        models.forEach((name, adapters) ->
                list.add(Map.of("name", name, "version", 1, "adapters", List.copyOf(adapters))));
        return list;
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // The connection has ended.
        }
    }

    private void accept(ServerSocket current) {
        while (!current.isClosed()) {
            try {
                Socket socket = current.accept();
                socket.setTcpNoDelay(true);
                connections.add(socket);
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            Http.Message request = Http.read(socket.getInputStream());
            while (request != null) {
                handle(socket, request);
                request = Http.read(socket.getInputStream());
            }
        } catch (IOException e) {
            // The caller or this replica has closed the connection.
        } finally {
            connections.remove(socket);
        }
    }

    private void handle(Socket socket, Http.Message request) throws IOException {
        String target = request.header("X-Tarragonring-Target-Instance");
        if (target != null && !target.equals(id)) {
            answer(socket, 421, "X-Tarragonring-Instance-Id: " + id + "\r\n", "");
        } else if (request.path().equals("/api/report")) {
            String report;
            synchronized (this) {
                report = Json.write(Map.of(
                        "stage", "prefill_decode", "models", modelList(), "busy", busy, "sequence", orders,
                        "queued", 0, "running", 0, "born", born, "at_hand", atHand()));
            }
            answer(socket, 200, "Content-Type: application/json\r\n", report);
        } else if (request.path().equals("/api/order")) {
            answer(socket, order(Json.readObject(new String(request.body, StandardCharsets.UTF_8))), "", "");
        } else if (request.path().equals("/healthz")) {
            answer(socket, 200, "X-Tarragonring-Instance-Id: " + id + "\r\n", "");
        } else {
            run(socket, request);
        }
    }

    private synchronized int order(Map<String, Object> order) {
        long fence = (Long) order.get("fence");
        String model = (String) order.get("model");
        record.add("replica %s gets order %s", id, Json.write(order));
        if (fence < highestFence) {
            return 412;
        }
        highestFence = fence;
        if (busy || order.containsKey("expected") && (Long) order.get("expected") != orders) {
            return 409;
        }
        boolean load = order.get("op").equals("load");
        if (load == models.containsKey(model) && !order.containsKey("adapter")) {
            return 200;
        }
        orders++;
        if (order.containsKey("adapter")) {
            models.get(model).add((String) order.get("adapter"));
        } else if (load) {
            busy = true;
            boolean isFromStore = onDisk.add(model);
            if (isFromStore) {
                onStoreLoad(model);
            }
            daemon(() -> finishLoad(model, isFromStore ? loadMillis : diskLoadMillis));
        } else {
            models.remove(model);
        }
        return 202;
    }

    private void finishLoad(String model, long millis) {
        sleep(millis);
        synchronized (this) {
            models.put(model, new TreeSet<>());
            busy = false;
        }
        register();
    }

    /** Runs a request. Answers at once unless a subclass does otherwise. */
    void run(Socket socket, Http.Message request) throws IOException {
        recordRun(request);
        succeed(socket, request, "done by " + id);
    }

    final void recordRun(Http.Message request) {
        record.add(
                "replica %s runs %s %s id=%s", id, request.method(), request.path(), request.header("X-Tarragonring-Request-Id"));
    }

    final void succeed(Socket socket, Http.Message request, String body) throws IOException {
        answer(
                socket,
                200,
                "X-Tarragonring-Request-Id: " + request.header("X-Tarragonring-Request-Id")
                        + "\r\nX-Tarragonring-Response-Signature: sig-" + id + "\r\n",
                body);
    }

    static void answer(Socket socket, int status, String headers, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        OutputStream out = socket.getOutputStream();
        out.write(("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + bytes.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        out.write(bytes);
        out.flush();
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
