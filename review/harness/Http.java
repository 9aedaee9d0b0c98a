import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server with one thread per connection, and the reading of messages that clients share with it. */
final class Http {

    private Http() {}

    /** A request or the head of a response. */
    static final class Message {
        String start = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = {};

        String method() {
            return start.split(" ")[0];
        }

        String uri() {
            return start.split(" ")[1];
        }

        String path() {
            return uri().split("\\?")[0];
        }

        String query(String name) {
            int mark = uri().indexOf('?');
            if (mark >= 0) {
                for (String pair : uri().substring(mark + 1).split("&")) {
                    if (pair.startsWith(name + "=")) {
                        return java.net.URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
                    }
                }
            }
            return null;
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name);
        }
    }

    /** Handles one request; returns false if the connection is to be closed. */
    interface Handler {
        boolean handle(Message request, Socket socket, OutputStream out) throws Exception;
    }

    /** Reads the start line and the headers; null at the end of the connection. */
    static Message readHead(InputStream in) throws IOException {
        Message message = new Message();
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        message.start = line;
        for (line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        if (line == null) {
            throw new EOFException("the connection ended in the headers");
        }
        return message;
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended in a line");
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static void readBody(InputStream in, Message message) throws IOException {
        String length = message.header("Content-Length");
        if (length != null) {
            message.body = in.readNBytes(Integer.parseInt(length));
            if (message.body.length < Integer.parseInt(length)) {
                throw new EOFException("the connection ended in the body");
            }
        } else if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (byte[] chunk = readChunk(in); chunk.length > 0; chunk = readChunk(in)) {
                body.write(chunk);
            }
            message.body = body.toByteArray();
        }
    }

    /** Reads one chunk; empty at the end of a complete body. */
    static byte[] readChunk(InputStream in) throws IOException {
        String size = readLine(in);
        if (size == null) {
            throw new EOFException("the connection ended before the last chunk");
        }
        byte[] chunk = in.readNBytes(Integer.parseInt(size.trim(), 16));
        if (chunk.length < Integer.parseInt(size.trim(), 16) || readLine(in) == null) {
            throw new EOFException("the connection ended in a chunk");
        }
        return chunk;
    }

    static void respond(OutputStream out, int status, Map<String, String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        message.write(body);
        out.write(message.toByteArray());
        out.flush();
    }

    /** A server that can be closed with all its connections, as when its process ends. */
    static final class Server {
        final ServerSocket listener;
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
        private final Handler handler;
        private volatile boolean closed;

        Server(String host, Handler handler) throws IOException {
            this(host, 0, handler);
        }

        Server(String host, int port, Handler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket();
            listener.bind(new InetSocketAddress(InetAddress.getByName(host), port), 200);
            Case.daemon(this::accept);
        }

        String address() {
            return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
        }

        private void accept() {
            while (!closed) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                    Case.daemon(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                boolean open = true;
                while (open) {
                    Message request = readHead(in);
                    if (request == null) {
                        return;
                    }
                    readBody(in, request);
                    open = handler.handle(request, socket, out)
                            && !"close".equalsIgnoreCase(request.header("Connection"));
                }
            } catch (Exception e) {
                // the peer has closed the connection, or the server was closed
            } finally {
                sockets.remove(socket);
            }
        }

        void close() {
            closed = true;
            try {
                listener.close();
                for (Socket socket : sockets) {
                    socket.close();
                }
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }
    }
}
