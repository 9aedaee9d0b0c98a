import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time since the start in milliseconds. */
final class RunRecord implements AutoCloseable {

    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    RunRecord(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void add(String format, Object... arguments) {
        out.printf("%8d ms  %s%n", millis(), String.format(format, arguments));
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
