import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: what was sent, answered and run, with the time since its start. */
final class Record {

    private static final long START_NANOS = System.nanoTime();
    private static PrintWriter writer;

    private Record() {}

    static synchronized void open(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file));
    }

    static long millis() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    static synchronized void line(String format, Object... arguments) {
        writer.printf("%8.3f s  %s%n", millis() / 1_000.0, String.format(format, arguments));
        writer.flush();
    }
}
