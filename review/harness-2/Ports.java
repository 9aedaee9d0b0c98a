import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/** Finds free loopback ports below those that the system gives to outgoing connections. */
final class Ports {

    private static final int FIRST = 20_000;
    private static final int LAST = 32_000;
    private static final Random RANDOM = new Random();
    private static final Set<Integer> given = new HashSet<>();

    private Ports() {}

    /** Returns a port that is free for TCP and UDP. */
    static synchronized int free() throws IOException {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        for (int attempt = 0; attempt < 1_000; attempt++) {
            InetSocketAddress address = new InetSocketAddress(loopback, FIRST + RANDOM.nextInt(LAST - FIRST));
            if (!given.contains(address.getPort())) {
                try (ServerSocket tcp = new ServerSocket();
                        DatagramSocket udp = new DatagramSocket(address)) {
                    tcp.bind(address);
                    given.add(address.getPort());
                    return address.getPort();
                } catch (java.net.BindException e) {
                    // taken by another process
                }
            }
        }
        throw new IOException("no free port");
    }
}
