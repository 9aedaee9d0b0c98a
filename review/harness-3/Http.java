import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads messages of HTTP/1.1 from a connection. Names of headers are in lower case. */
final class Http {

    private Http() {}

    /** Reads a message with its body, null at the end of the connection. */
    static Message read(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message != null) {
            message.body = readBody(in, message);
        }
        return message;
    }

    static Message readHead(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
        }
        return new Message(first, headers);
    }

    private static byte[] readBody(InputStream in, Message message) throws IOException {
        if ("chunked".equals(message.headers.get("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            byte[] chunk = readChunk(in);
            while (chunk.length > 0) {
                body.write(chunk);
                chunk = readChunk(in);
            }
            return body.toByteArray();
        }
        String length = message.headers.get("content-length");
        return length == null ? new byte[0] : exactly(in, Integer.parseInt(length));
    }

    /** Reads a chunk; the last one is empty. */
    static byte[] readChunk(InputStream in) throws IOException {
        String size = line(in);
        if (size == null) {
            throw new EOFException("end within a body");
        }
        byte[] chunk = exactly(in, Integer.parseInt(size.trim(), 16));
        line(in);
        return chunk;
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("end within a body");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** A message: its first line, headers and body. */
    static final class Message {

        final String first;
        final Map<String, String> headers;
        byte[] body = {};

        Message(String first, Map<String, String> headers) {
            this.first = first;
            this.headers = headers;
        }

        String header(String name) {
            return headers.get(name.toLowerCase());
        }

        String method() {
            return first.split(" ")[0];
        }

        String path() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }
}
