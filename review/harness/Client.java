import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;

/** Stands in for a client: asks the directory, sends one attempt at a time and reads its answer. */
final class Client {

    private final List<Entry> entries;
    private final Random random;

    Client(List<Entry> entries, Random random) {
        this.entries = entries;
        this.random = random;
    }

    /** Asks up to three nodes for an address to connect to; null if none answers. */
    String resolve() {
        List<Entry> nodes = new ArrayList<>(entries);
        java.util.Collections.shuffle(nodes, random);
        for (Entry node : nodes.subList(0, Math.min(3, nodes.size()))) {
            try (Socket socket = connect(node.directory, 1_000)) {
                socket.getOutputStream()
                        .write("GET /api/resolve?name=lab.example&region=sul-br&zone=sul-br-a HTTP/1.1\r\nHost: d\r\n\r\n"
                                .getBytes(StandardCharsets.ISO_8859_1));
                InputStream in = new BufferedInputStream(socket.getInputStream());
                Http.Message answer = Http.readHead(in);
                if (answer != null && answer.status() == 200) {
                    Http.readBody(in, answer);
                    List<?> addresses = (List<?>) Json.object(new String(answer.body)).get("addresses");
                    if (!addresses.isEmpty()) {
                        return (String) addresses.get(random.nextInt(addresses.size()));
                    }
                }
            } catch (IOException e) {
                continue;
            }
        }
        return null;
    }

    static Socket connect(String address, int readMillis) throws IOException {
        int colon = address.lastIndexOf(':');
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(readMillis);
        socket.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                1_000);
        return socket;
    }

    /** What one attempt got. */
    static final class Answer {
        int status;
        boolean complete;
        String failure = "";
        Http.Message head;
        /** The events in the order of arrival, as "id text". */
        final List<String> events = new ArrayList<>();
        String body = "";
        String rest = "";
        long bytes;

        int lastId() {
            return events.isEmpty()
                    ? 0
                    : Integer.parseInt(events.get(events.size() - 1).split(" ")[0]);
        }

        TreeSet<String> versions() {
            TreeSet<String> versions = new TreeSet<>();
            events.forEach(event -> versions.add(event.split(" ")[1]));
            return versions;
        }
    }

    static byte[] request(
            String method, String path, String callId, long deadlineMillis, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: lab.example\r\n");
        head.append("X-Tarragonring-Request-Id: ").append(callId).append("\r\n");
        head.append("X-Tarragonring-Deadline-Ms: ").append(deadlineMillis).append("\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (body.length > 0 || method.equals("POST")) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        byte[] start = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] message = java.util.Arrays.copyOf(start, start.length + body.length);
        System.arraycopy(body, 0, message, start.length, body.length);
        return message;
    }

    /** Reads the answer to a stream or to a plain request. */
    static Answer read(InputStream in) {
        Answer answer = new Answer();
        StringBuilder text = new StringBuilder();
        try {
            answer.head = Http.readHead(in);
            if (answer.head == null) {
                answer.failure = "the connection closed without an answer";
                return answer;
            }
            answer.status = answer.head.status();
            if ("chunked".equalsIgnoreCase(answer.head.header("Transfer-Encoding"))) {
                for (byte[] chunk = Http.readChunk(in); chunk.length > 0; chunk = Http.readChunk(in)) {
                    answer.bytes += chunk.length;
                    text.append(new String(chunk, StandardCharsets.ISO_8859_1));
                    takeEvents(answer, text);
                }
            } else {
                Http.readBody(in, answer.head);
                answer.bytes = answer.head.body.length;
                text.append(new String(answer.head.body, StandardCharsets.ISO_8859_1));
            }
            answer.complete = true;
        } catch (IOException | RuntimeException e) {
            answer.failure = e.toString();
        }
        answer.rest = text.toString();
        return answer;
    }

    private static void takeEvents(Answer answer, StringBuilder text) {
        for (int end = text.indexOf("\n\n"); end >= 0; end = text.indexOf("\n\n")) {
            String event = text.substring(0, end);
            text.delete(0, end + 2);
            String id = "";
            String data = "";
            for (String line : event.split("\n")) {
                if (line.startsWith("id:")) {
                    id = line.substring(3).trim();
                } else if (line.startsWith("data:")) {
                    data = line.substring(5).trim();
                }
            }
            answer.events.add(id + " " + data);
        }
    }

    /** Sends one attempt on a new connection to an address and reads its answer. */
    static Answer send(String address, byte[] request, int readMillis) {
        try (Socket socket = connect(address, readMillis)) {
            socket.getOutputStream().write(request);
            socket.getOutputStream().flush();
            return read(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException e) {
            Answer answer = new Answer();
            answer.failure = e.toString();
            return answer;
        }
    }
}
