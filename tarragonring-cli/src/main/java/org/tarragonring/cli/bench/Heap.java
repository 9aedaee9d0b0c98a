package org.tarragonring.cli.bench;

import java.lang.management.ManagementFactory;
import java.time.Duration;

/** Measures what stays on the heap. */
final class Heap {

    private static final int COLLECTIONS = 3;
    private static final Duration PAUSE = Duration.ofMillis(100);

    private Heap() {}

    /** Returns the bytes in use after garbage was collected. */
    static long keptBytes() throws InterruptedException {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
            Thread.sleep(PAUSE.toMillis());
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
