import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A connection of a client to an entry. */
final class Client implements AutoCloseable {

    final Socket socket = new Socket();

    Client(int port) throws IOException {
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
        socket.setTcpNoDelay(true);
    }

    static String head(String method, String path, String id, long deadlineMillis, String more) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + Sites.HOST + "\r\nX-Tarragonring-Request-Id: " + id
                + "\r\nX-Tarragonring-Deadline-Ms: " + deadlineMillis + "\r\n" + more + "\r\n";
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Reads an answer, null if the connection ends before one begins. */
    Http.Message read(int timeoutMillis) throws IOException {
        socket.setSoTimeout(timeoutMillis);
        return Http.read(socket.getInputStream());
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
