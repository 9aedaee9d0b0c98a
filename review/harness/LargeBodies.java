import java.io.BufferedInputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * CONFIG: many clients come at once and send long bodies, within the limit of the configuration. Counted are the calls
 * whose last byte was sent and that have no answer half a second after the timeout of their route.
 */
final class LargeBodies extends Case {

    private static final long TIMEOUT_MILLIS = 6_000;
    private static final double ANSWER_SLACK_SECONDS = 0.5;
    private static final int MIN_LATE_CALLS = 8;

    /** Below max_body_bytes, which is 4,194,304. */
    private static final int BODY_BYTES = Integer.getInteger("body", 4_000_000);

    private static final int USUAL_CLIENTS = Integer.getInteger("clients", 25);

    /** The largest burst of the site file. */
    private static final double BURST = 2.4;

    private static final int EVENTS = 20;

    /** How long the calls are observed: a deployment would have its answers after 6.5 s. */
    private static final long OBSERVED_MILLIS = 20_000;

    /** A call whose last byte was sent, with the time of the end of its answer. */
    private static final class Call {

        private final double sentSeconds;
        private volatile double answeredSeconds = Double.NaN;

        Call(double sentSeconds) {
            this.sentSeconds = sentSeconds;
        }
    }

    public static void main(String[] args) throws Exception {
        main(new LargeBodies(), args);
    }

    @Override
    boolean run() throws Exception {
        writeConfig(List.of(route("summary", "streaming", "lm", TIMEOUT_MILLIS, 1, false)));
        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) 'p');
        AtomicInteger changed = new AtomicInteger();
        for (int i = 1; i <= 6; i++) {
            Replica replica = new Replica("i-lm-" + i, "lm", "v1", true, store);
            replica.eventMillis = 100;
            replica.fault = (request, socket, out) -> {
                if (!Arrays.equals(request.body, body)) {
                    changed.incrementAndGet();
                    record("run %s has a body of %d bytes, not the %d of its client",
                            request.header("X-Tarragonring-Request-Id"), request.body.length, body.length);
                }
                return null;
            };
        }
        addEntry("sul-br-a");
        startEntries();
        sleep(2_000);
        int clients = trouble ? (int) (USUAL_CLIENTS * BURST) : USUAL_CLIENTS;
        List<Call> calls = Collections.synchronizedList(new ArrayList<>());
        for (int i = 0; i < clients; i++) {
            String callId = "%016x".formatted(0x9c41_0000L + i);
            daemon(() -> call(callId, body, calls));
        }
        sleep(OBSERVED_MILLIS);
        double now = seconds();
        record("%d s later: entry alive %s, ready %s",
                OBSERVED_MILLIS / 1_000, entries.get(0).isAlive(), entries.get(0).isReady());
        long late = calls.stream().filter(call -> isUnanswered(call, 0, now)).count();
        long later = calls.stream().filter(call -> isUnanswered(call, ANSWER_SLACK_SECONDS, now)).count();
        record("%d clients, %d calls sent whole, %d unanswered at the timeout of their route, %d of them %.1f s later",
                clients, calls.size(), late, later, ANSWER_SLACK_SECONDS);
        record("%d runs had a changed body", changed.get());
        return later >= MIN_LATE_CALLS && later * 2 > late;
    }

    /** Returns whether a call had no answer some time after its timeout, as far as it can be told now. */
    private static boolean isUnanswered(Call call, double slackSeconds, double nowSeconds) {
        double endSeconds = call.sentSeconds + TIMEOUT_MILLIS / 1e3 + slackSeconds;
        return nowSeconds > endSeconds && !(call.answeredSeconds <= endSeconds);
    }

    private void call(String callId, byte[] body, List<Call> calls) throws Exception {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Tarragonring-Model", "m0");
        headers.put("X-Tarragonring-Token-Count", "250," + EVENTS * 4);
        try (Socket socket = Client.connect(entries.get(0).front, 30_000)) {
            record("sending %s", callId);
            socket.getOutputStream()
                    .write(Client.request("POST", "/summary/2f", callId, TIMEOUT_MILLIS, headers, body));
            Call call = new Call(seconds());
            calls.add(call);
            Client.Answer answer = Client.read(new BufferedInputStream(socket.getInputStream()));
            call.answeredSeconds = seconds();
            record("answer %s: status %d, %d events, complete %s, %.2f s after its last byte was sent %s",
                    callId, answer.status, answer.events.size(), answer.complete, seconds() - call.sentSeconds,
                    answer.failure);
        }
    }
}
