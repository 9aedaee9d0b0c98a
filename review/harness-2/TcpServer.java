import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Accepts connections on a loopback port, each handled by a thread of its own. */
abstract class TcpServer {

    private ServerSocket listener;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private int port;

    void start() throws IOException {
        port = port == 0 ? Ports.free() : port;
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 512);
        ServerSocket current = listener;
        daemon(() -> accept(current));
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    /** Closes the port and all connections. */
    void close() {
        try {
            listener.close();
        } catch (IOException e) {
            // closed already
        }
        connections.forEach(TcpServer::close);
    }

    /** Handles a connection until it ends; it is closed afterwards. */
    abstract void handle(Socket connection) throws IOException;

    static void close(Socket connection) {
        try {
            connection.close();
        } catch (IOException e) {
            // closed already
        }
    }

    static Thread daemon(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private void accept(ServerSocket current) {
        while (!current.isClosed()) {
            try {
                Socket connection = current.accept();
                connection.setTcpNoDelay(true);
                connections.add(connection);
                daemon(() -> {
                    try {
                        handle(connection);
                    } catch (IOException e) {
                        // the peer or this server has closed the connection
                    } finally {
                        close(connection);
                        connections.remove(connection);
                    }
                });
            } catch (IOException e) {
                // closed, or the peer has left before it was accepted
            }
        }
    }
}
