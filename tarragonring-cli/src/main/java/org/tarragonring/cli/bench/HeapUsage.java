package org.tarragonring.cli.bench;

import java.lang.management.ManagementFactory;
import java.time.Duration;

/** Measures how much of the heap is in use. */
final class HeapUsage {

    private static final int COLLECTIONS = 3;
    private static final Duration PAUSE_AFTER_COLLECTION = Duration.ofMillis(100);

    private HeapUsage() {}

    /** Returns the number of bytes in use after several garbage collections. */
    static long usedBytesAfterGc() throws InterruptedException {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
            Thread.sleep(PAUSE_AFTER_COLLECTION.toMillis());
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
