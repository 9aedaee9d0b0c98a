import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A client of the Java class library, which offers an upgrade in its first request on a connection. In each round it sends
 * requests to the application and one stream. The replica that runs the stream crashes in the middle of it. Checks
 * whether the requests that sound replicas of the application run at that time are answered.
 */
final class Upgrade {

    private static final int ROUNDS = 3;
    private static final int REQUESTS_PER_ROUND = 6;
    private static final int WORK_MILLIS = 1_000;
    private static final int EVENTS = 10;
    private static final int EVENT_MILLIS = 50;
    private static final long DOWN_MILLIS = 2_000;
    private static final int ALLOWED = 3;

    private Upgrade() {}

    static int run(Path folder, RunRecord record, boolean trouble) throws Exception {
        Store store = new Store();
        // The library sends the address of a request as its host.
        store.put("config", "main", Json.read(Json.write(Sites.config(3)).replace(Sites.HOST, "127.0.0.1")));
        Entries entries = new Entries(folder, store);
        Set<String> ran = ConcurrentHashMap.newKeySet();
        try {
            for (int i = 1; i <= 3; i++) {
                new Application(store, record, "i-app" + i, ran).start();
            }
            for (int i = 1; i <= 4; i++) {
                new Engine(store, record, "i-lm" + i, trouble).start("m0");
            }
            Entries.Entry entry = entries.start("entry-1", "z1");
            entry.awaitReady();
            Replica.sleep(3_000);
            Map<String, String> ends = new ConcurrentHashMap<>();
            HttpClient client = HttpClient.newHttpClient();
            for (int round = 0; round < ROUNDS; round++) {
                send(client, record, ends, entry, "first-" + round, "/look/quick", "GET").join();
                List<CompletableFuture<Void>> answers = new ArrayList<>();
                for (int i = 0; i < REQUESTS_PER_ROUND; i++) {
                    boolean safe = i % 2 == 0;
                    answers.add(send(
                            client,
                            record,
                            ends,
                            entry,
                            "request-%d-%d".formatted(round, i),
                            safe ? "/look/slow" : "/book/slow",
                            safe ? "GET" : "POST"));
                }
                Replica.sleep(100);
                answers.add(send(client, record, ends, entry, "stream-" + round, "/draft/a", "POST"));
                answers.forEach(CompletableFuture::join);
                Replica.sleep(DOWN_MILLIS + 2_000);
            }
            return judge(record, ends, ran);
        } finally {
            entries.stopAll();
            store.stop();
        }
    }

    private static CompletableFuture<Void> send(
            HttpClient client,
            RunRecord record,
            Map<String, String> ends,
            Entries.Entry entry,
            String id,
            String path,
            String method) {
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + entry.callerPort + path))
                .timeout(Duration.ofSeconds(10))
                .header("X-Tarragonring-Request-Id", id)
                .header("X-Tarragonring-Deadline-Ms", path.startsWith("/draft") ? "6000" : "2500")
                .method(method, HttpRequest.BodyPublishers.ofString(method.equals("GET") ? "" : "body of " + id));
        if (path.startsWith("/draft")) {
            request.header("X-Tarragonring-Model", "m0");
        }
        record.add("%s %s %s is sent", method, path, id);
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
                .handle((answer, failure) -> {
                    String end = failure == null
                            ? answer.version() + " " + answer.statusCode()
                            : "no answer, " + failure.getCause();
                    ends.put(id, end);
                    record.add("%s gets %s", id, end);
                    return null;
                });
    }

    private static int judge(RunRecord record, Map<String, String> ends, Set<String> ran) {
        long lost = ran.stream()
                .filter(id -> id.startsWith("request") && ends.getOrDefault(id, "no answer").startsWith("no answer"))
                .count();
        long answered = ends.values().stream().filter(end -> end.endsWith(" 200")).count();
        record.add(
                "%d answers; %d requests that a sound replica ran had their connection closed without an answer",
                answered, lost);
        return answered == 0 ? 2 : lost > ALLOWED ? 1 : 0;
    }

    /** A sound replica of the application. */
    private static final class Application extends Replica {

        private final Set<String> ran;

        Application(Store store, RunRecord record, String id, Set<String> ran) {
            super(store, record, id, "app");
            this.ran = ran;
        }

        @Override
        void run(Socket socket, Http.Message request) throws IOException {
            recordRun(request);
            ran.add(request.header("X-Tarragonring-Request-Id"));
            if (request.path().endsWith("slow")) {
                sleep(WORK_MILLIS);
            }
            succeed(socket, request, "done");
        }
    }

    /** An engine, which crashes in the middle of a stream or not. */
    private static final class Engine extends Replica {

        private final boolean crashes;

        Engine(Store store, RunRecord record, String id, boolean crashes) {
            super(store, record, id, "lm");
            this.crashes = crashes;
        }

        @Override
        void run(Socket socket, Http.Message request) throws IOException {
            recordRun(request);
            StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
            head.append("X-Tarragonring-Request-Id: ").append(request.header("X-Tarragonring-Request-Id"));
            head.append("\r\nX-Tarragonring-Response-Signature: sig\r\nTransfer-Encoding: chunked\r\n\r\n");
            write(socket, head.toString());
            for (int i = 1; i <= EVENTS; i++) {
                String event = "id: " + i + "\ndata: token\n\n";
                write(socket, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
                sleep(EVENT_MILLIS);
                if (crashes && i == EVENTS / 2) {
                    crash();
                    daemon(this::comeBack);
                    throw new IOException("crashed");
                }
            }
            write(socket, "0\r\n\r\n");
        }

        private void comeBack() {
            sleep(DOWN_MILLIS);
            try {
                start("m0");
            } catch (IOException e) {
                record.add("replica %s: %s", id, e);
            }
        }

        private static void write(Socket socket, String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
        }
    }
}
