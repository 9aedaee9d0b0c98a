import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A client with one connection, which it keeps for its next request. */
final class Client {

    private final InetSocketAddress address;
    private Socket connection;

    Client(String host, int port) {
        this.address = new InetSocketAddress(host, port);
    }

    /** Sends a request without a body and reads the whole answer. */
    HttpMessage send(String method, String uri, Map<String, String> headers, int timeoutMillis) throws IOException {
        if (connection == null) {
            connection = new Socket();
            connection.setTcpNoDelay(true);
            connection.connect(address, 1_000);
        }
        try {
            connection.setSoTimeout(timeoutMillis);
            StringBuilder head = new StringBuilder("%s %s HTTP/1.1\r\n".formatted(method, uri));
            if (!headers.containsKey("Host")) {
                head.append("Host: site.example\r\n");
            }
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append(method.equals("GET") ? "\r\n" : "Content-Length: 0\r\n\r\n");
            connection.getOutputStream().write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            connection.getOutputStream().flush();
            HttpMessage answer = HttpMessage.read(connection.getInputStream());
            if (answer == null) {
                throw new IOException("the connection was closed without an answer");
            }
            if ("close".equalsIgnoreCase(answer.header("connection"))) {
                close();
            }
            return answer;
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    void close() {
        if (connection != null) {
            TcpServer.close(connection);
            connection = null;
        }
    }
}
