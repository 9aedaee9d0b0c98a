import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Forwards connections to an address; all of them share a bandwidth in each direction. */
final class NarrowLink {

    private static final int PIECE_BYTES = 1_400;
    private static final int SOCKET_BUFFER_BYTES = 16 << 10;

    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    private final int targetPort;
    private final double nanosPerByte;
    private final long[] freeNanos = {System.nanoTime(), System.nanoTime()};

    NarrowLink(String target, double megabitsPerSecond) throws IOException {
        targetPort = Integer.parseInt(target.substring(target.indexOf(':') + 1));
        nanosPerByte = 8_000 / megabitsPerSecond;
        Replica.daemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void accept() {
        try {
            while (true) {
                Socket near = listener.accept();
                Socket far = new Socket("127.0.0.1", targetPort);
                for (Socket socket : new Socket[] {near, far}) {
                    socket.setTcpNoDelay(true);
                    socket.setSendBufferSize(SOCKET_BUFFER_BYTES);
                }
                Replica.daemon(() -> copy(near, far, 0));
                Replica.daemon(() -> copy(far, near, 1));
            }
        } catch (IOException e) {
            // The case has ended.
        }
    }

    private void copy(Socket from, Socket to, int direction) {
        byte[] piece = new byte[PIECE_BYTES];
        try (from; to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int length = in.read(piece); length >= 0; length = in.read(piece)) {
                pace(length, direction);
                out.write(piece, 0, length);
            }
        } catch (IOException | InterruptedException e) {
            // One side has closed the connection.
        }
    }

    private void pace(int bytes, int direction) throws InterruptedException {
        long waitNanos;
        synchronized (freeNanos) {
            long startNanos = Math.max(freeNanos[direction], System.nanoTime());
            freeNanos[direction] = startNanos + (long) (bytes * nanosPerByte);
            waitNanos = freeNanos[direction] - System.nanoTime();
        }
        if (waitNanos > 1_000_000) {
            Thread.sleep(waitNanos / 1_000_000, (int) (waitNanos % 1_000_000));
        }
    }
}
