import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A request or response as it was read from a connection. */
final class HttpMessage {

    final String startLine;
    /** By name in lower case. */
    final Map<String, String> headers = new LinkedHashMap<>();

    byte[] body = {};

    private HttpMessage(String startLine) {
        this.startLine = startLine;
    }

    String header(String name) {
        return headers.get(name.toLowerCase(Locale.ROOT));
    }

    String method() {
        return startLine.substring(0, startLine.indexOf(' '));
    }

    String uri() {
        return startLine.split(" ")[1];
    }

    int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Reads the head only; null at the end of the connection. */
    static HttpMessage readHead(InputStream in) throws IOException {
        String start = readLine(in);
        if (start == null || start.isEmpty()) {
            return null;
        }
        HttpMessage message = new HttpMessage(start);
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            message.headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return message;
    }

    /** Reads a whole message; null at the end of the connection. */
    static HttpMessage read(InputStream in) throws IOException {
        HttpMessage message = readHead(in);
        if (message == null) {
            return null;
        }
        if ("chunked".equalsIgnoreCase(message.header("transfer-encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (byte[] chunk = readChunk(in); chunk.length > 0; chunk = readChunk(in)) {
                all.write(chunk);
            }
            message.body = all.toByteArray();
        } else if (message.header("content-length") != null) {
            message.body = readFully(in, Integer.parseInt(message.header("content-length")));
        }
        return message;
    }

    /** Reads a chunk, the last of which is empty. */
    static byte[] readChunk(InputStream in) throws IOException {
        String size = readLine(in);
        if (size == null) {
            throw new IOException("the connection ended before the last chunk");
        }
        byte[] chunk = readFully(in, Integer.parseInt(size.trim(), 16));
        readLine(in);
        return chunk;
    }

    static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new IOException("the connection ended after %d of %d bytes".formatted(bytes.length, length));
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
