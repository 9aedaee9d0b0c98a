package org.tarragonring.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tarragonring.entry.Entry;
import org.tarragonring.entry.SettingsFile;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

/** An entry is told to stop before or while it starts. It must end, whatever has been started by then. */
class StopDuringStartTest {

    private static final int PROCESS_COUNT = 6;
    private static final long SIGNAL_INTERVAL_MILLIS = 300;
    private static final long TIMEOUT_SECONDS = 10;
    private static final String UNREACHABLE_PLATFORM = "127.0.0.1:1";

    @TempDir
    private Path folder;

    @Test
    void entryStopsBeforeItsStart() throws Exception {
        Vertx vertx = Vertx.vertx();
        Entry entry = new Entry(vertx, SettingsFile.read(settings("entry-1")).toSettings());

        entry.shutDown().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);

        assertNull(entry.callerAddress());
        vertx.close();
    }

    // Guards against a stop that fails as the entry still waits for its lease.
    @ParameterizedTest
    @ValueSource(longs = {0, 50, 1_000})
    void entryStopsDuringItsStart(long delayMillis) throws Exception {
        Vertx vertx = Vertx.vertx();
        Entry entry = new Entry(vertx, SettingsFile.read(settings("entry-1")).toSettings());
        entry.start();
        TimeUnit.MILLISECONDS.sleep(delayMillis);

        entry.shutDown().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);

        vertx.close();
    }

    // Guards against a process that neither ends nor serves after a signal during its start.
    @Test
    void processEndsAfterASignalDuringItsStart() throws Exception {
        List<CliProcess> processes = new ArrayList<>();
        try {
            for (int i = 0; i < PROCESS_COUNT; i++) {
                processes.add(CliProcess.start(
                        "serve", "--settings", settings("entry-" + i).toString()));
            }
            for (CliProcess process : processes) {
                TimeUnit.MILLISECONDS.sleep(SIGNAL_INTERVAL_MILLIS);
                process.signal("TERM");
            }
            for (CliProcess process : processes) {
                int exitCode = process.exitCode();
                // 143: the signal came before the process had installed its handler
                assertEquals(0, exitCode == 143 ? 0 : exitCode, process::errorsOrEmpty);
            }
        } finally {
            processes.forEach(CliProcess::close);
        }
    }

    private Path settings(String id) throws Exception {
        return Files.writeString(folder.resolve(id + ".ini"), """
                [entry]
                id = %s
                failure-domain = d1
                [caller]
                address = 127.0.0.1:0
                [peer]
                address = 127.0.0.1:0
                key = stop-test
                [platform]
                address = %s
                """.formatted(id, UNREACHABLE_PLATFORM));
    }
}
