package org.tarragonring.cli.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads the number of bytes sent over the loopback interface, including headers. Only works on Linux. */
final class LoopbackTraffic {

    private static final Path COUNTERS = Path.of("/proc/net/dev");
    private static final int SENT_BYTES_FIELD = 8;

    private LoopbackTraffic() {}

    /**
     * Returns the counter of the loopback interface.
     *
     * @return the number of bytes sent over loopback since the machine started, -1 if the counter is not available
     */
    static long sentBytes() {
        try {
            for (String line : Files.readAllLines(COUNTERS)) {
                String text = line.trim();
                if (text.startsWith("lo:")) {
                    return Long.parseLong(text.substring("lo:".length()).trim().split("\\s+")[SENT_BYTES_FIELD]);
                }
            }
            return -1;
        } catch (IOException e) {
            return -1;
        }
    }
}
