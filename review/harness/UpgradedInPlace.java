import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Replicas start again in turn, under their ids and with newer software, while the store turns one entry away. */
final class UpgradedInPlace extends Case {

    private static final int STREAMS = 16;
    private static final int ALLOWED = 2;
    private static final long DOWN_MILLIS = 1_000;
    private static final long TURNED_AWAY_MILLIS = 9_000;
    private static final long BETWEEN_STREAMS_MILLIS = 40;
    private static final long STREAM_TOKENS = 160;
    private static final long SHORT_STREAM_TOKENS = 20;

    private final List<Client.Answer> answers = new ArrayList<>();
    private volatile boolean ended;

    public static void main(String[] args) throws Exception {
        main(new UpgradedInPlace(), args);
    }

    @Override
    boolean run() throws Exception {
        writeConfig(List.of(route("summary", "streaming", "lm", 13_000, 2, true)));
        Replica first = new Replica("i-7f3a91c2", "lm", "v1", true, store);
        Replica second = new Replica("i-5b02d417", "lm", "v1", true, store);
        Store.Door door = store.openDoor();
        Entry apart = addEntry("sul-br-a", door.address());
        addEntry("sul-br-b");
        addEntry("sul-br-c");
        startEntries();
        sleep(4_000);
        for (Entry other : entries.subList(1, 3)) {
            daemon(() -> sendShortStreams(other));
        }
        sleep(1_000);
        if (trouble) {
            door.turnsAway = true;
            record("the store turns %s away", apart.name);
        }
        double startSeconds = seconds();
        sleepUntil(startSeconds + 2.2);
        first.startAgain("v2", DOWN_MILLIS);
        sleepUntil(startSeconds + 5.2);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            clients.add(daemon(() -> {
                Client.Answer answer = stream(apart, STREAM_TOKENS);
                synchronized (answers) {
                    answers.add(answer);
                }
            }));
            sleep(BETWEEN_STREAMS_MILLIS);
        }
        sleepUntil(startSeconds + 6.7);
        second.startAgain("v2", DOWN_MILLIS);
        sleepUntil(startSeconds + TURNED_AWAY_MILLIS / 1_000.0);
        door.turnsAway = false;
        record("the store serves all entries");
        ended = true;
        for (Thread client : clients) {
            client.join();
        }
        long joined = answers.stream().filter(answer -> answer.versions().size() > 1).count();
        long begun = answers.stream().filter(answer -> !answer.events.isEmpty()).count();
        record("%d streams began at %s, %d of them hold events of two software versions in one answer (%d allowed)",
                begun, apart.name, joined, ALLOWED);
        if (begun < STREAMS) {
            throw new IllegalStateException("not all streams began");
        }
        return joined > ALLOWED;
    }

    private static void sleepUntil(double seconds) {
        sleep((long) ((seconds - seconds()) * 1_000));
    }

    /** The usual traffic at another entry. */
    private void sendShortStreams(Entry entry) {
        while (!ended) {
            daemon(() -> stream(entry, SHORT_STREAM_TOKENS));
            sleep(400);
        }
    }

    private Client.Answer stream(Entry entry, long tokens) {
        String callId = "%016x".formatted(random.nextLong());
        Map<String, String> headers = Map.of(
                "X-Tarragonring-Model", "m0",
                "X-Tarragonring-Token-Count", "9190," + tokens,
                "X-Tarragonring-Prompt-Prefix", "%08x:6300,%08x:2890".formatted(random.nextInt(), random.nextInt()));
        Client.Answer answer = Client.send(
                entry.front, Client.request("POST", "/summary/x", callId, 13_000, headers, callId.getBytes()), 14_000);
        record("answer %s at %s: %d, complete %s, %d events, of versions %s %s",
                callId, entry.name, answer.status, answer.complete, answer.events.size(), answer.versions(),
                answer.failure);
        return answer;
    }
}
