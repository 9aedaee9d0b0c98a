import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send two safe requests on a connection. Three clients in ten send the second before the answer to the first has
 * come, and leave while the second one runs. Checks whether replicas are still at work on it half a second after the client has left.
 */
final class Pipelined {

    private static final int CLIENTS = 100;
    private static final int LEAVING_PER_TEN = 3;
    private static final int WORK_MILLIS = 2_000;
    private static final long LEAVE_AFTER_MILLIS = 400;
    private static final long GONE_MILLIS = 500;

    private Pipelined() {}

    static int run(Path folder, RunRecord record, boolean trouble) throws Exception {
        Store store = new Store();
        store.put("config", "main", Sites.config(3));
        Entries entries = new Entries(folder, store);
        Map<String, Long> leftMillis = new ConcurrentHashMap<>();
        Map<String, Long> endedMillis = new ConcurrentHashMap<>();
        try {
            new Replica(store, record, "i-lm1", "lm").start("m0");
            for (int i = 1; i <= 3; i++) {
                new SlowReplica(store, record, "i-app" + i, endedMillis).start();
            }
            Entries.Entry entry = entries.start("entry-1", "z1");
            entry.awaitReady();
            Replica.sleep(4_000);
            AtomicInteger answered = new AtomicInteger();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int number = i;
                Thread client = new Thread(() -> call(record, entry, number, trouble, leftMillis, answered));
                client.start();
                clients.add(client);
                Replica.sleep(100);
            }
            for (Thread client : clients) {
                client.join();
            }
            Replica.sleep(WORK_MILLIS + 1_000);
            return judge(record, leftMillis, endedMillis, answered.get());
        } finally {
            entries.stopAll();
            store.stop();
        }
    }

    private static void call(
            RunRecord record,
            Entries.Entry entry,
            int number,
            boolean trouble,
            Map<String, Long> leftMillis,
            AtomicInteger answered) {
        boolean leaves = number % 10 < LEAVING_PER_TEN;
        String second = "slow-" + number;
        String quickHead = Client.head("GET", "/look/quick", "quick-" + number, 2_500, "");
        String slowHead = Client.head("GET", "/look/slow", second, 2_500, "");
        try (Client client = new Client(entry.callerPort)) {
            client.send(leaves ? quickHead + slowHead : quickHead);
            Http.Message first = client.read(3_000);
            record.add("quick-%d gets %s", number, first == null ? "no answer" : first.status());
            if (!leaves) {
                client.send(slowHead);
            }
            if (leaves && trouble) {
                Replica.sleep(LEAVE_AFTER_MILLIS);
                leftMillis.put(second, record.millis());
                record.add("the client of %s leaves", second);
            } else {
                Http.Message answer = client.read(4_000);
                answered.addAndGet(answer != null && answer.status() == 200 ? 1 : 0);
                record.add("%s gets %s", second, answer == null ? "no answer" : answer.status());
            }
        } catch (IOException e) {
            record.add("%s: %s", second, e);
        }
    }

    private static int judge(RunRecord record, Map<String, Long> left, Map<String, Long> ended, int answered) {
        int ran = 0;
        int late = 0;
        for (Map.Entry<String, Long> each : left.entrySet()) {
            Long end = ended.get(each.getKey());
            if (end != null) {
                ran++;
                late += end > each.getValue() + GONE_MILLIS ? 1 : 0;
            }
        }
        record.add("%d requests ran whose client left; on %d of them replicas worked half a second later", ran, late);
        if (left.isEmpty()) {
            return answered == CLIENTS ? 0 : 2;
        }
        return late * 4 > ran ? 1 : 0;
    }

    /** Works on slow requests until its caller closes the connection. */
    private static final class SlowReplica extends Replica {

        private final Map<String, Long> endedMillis;

        SlowReplica(Store store, RunRecord record, String id, Map<String, Long> endedMillis) {
            super(store, record, id, "app");
            this.endedMillis = endedMillis;
        }

        @Override
        void run(Socket socket, Http.Message request) throws IOException {
            recordRun(request);
            if (request.path().endsWith("slow")) {
                String id = request.header("X-Tarragonring-Request-Id");
                boolean isCancelled = waitForEnd(socket);
                endedMillis.put(id, record.millis());
                record.add("replica %s ends %s%s", this.id, id, isCancelled ? ", its caller has left" : "");
                if (isCancelled) {
                    throw new IOException("the caller has left");
                }
            }
            succeed(socket, request, "done");
        }

        private static boolean waitForEnd(Socket socket) throws IOException {
            socket.setSoTimeout(WORK_MILLIS);
            try {
                return socket.getInputStream().read() < 0;
            } catch (SocketTimeoutException e) {
                return false;
            } finally {
                socket.setSoTimeout(0);
            }
        }
    }
}
