package org.tarragonring.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Vertx;
import org.tarragonring.config.ProblemsException;
import org.tarragonring.entry.Entry;
import org.tarragonring.entry.SettingKey;
import org.tarragonring.entry.SettingsFile;
import org.tarragonring.log.LogOutput;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import sun.misc.Signal;

/** Runs an entry until it is told to stop; a second signal ends it without waiting for calls in flight. */
@Command(name = "serve", description = "Runs an entry.")
final class ServeCommand implements Callable<Integer> {

    @Mixin
    private CommonOptions common;

    @Option(names = "--settings", description = "the settings file", required = true)
    private Path settingsFile;

    @Option(names = "--print-settings", description = "show the settings in force, defaults included, and exit")
    private boolean printSettings;

    @Override
    public Integer call() throws Exception {
        SettingsFile settings = read();
        if (printSettings) {
            settings.toIniLines().forEach(System.out::println);
            return ExitCodes.DONE;
        }
        LogOutput.configure(
                LogOutput.Target.ERROR, settings.text(SettingKey.LOG_FORMAT), settings.text(SettingKey.LOG_LEVEL));
        Vertx vertx = Vertx.vertx();
        Entry entry = new Entry(vertx, settings.toSettings());
        CountDownLatch stopped = new CountDownLatch(1);
        stopOnSignals(entry, stopped);
        entry.start().join();
        System.out.println("callers " + entry.callerAddress() + " admin " + entry.adminAddress());
        stopped.await();
        vertx.close().toCompletionStage().toCompletableFuture().join();
        return ExitCodes.DONE;
    }

    private SettingsFile read() {
        try {
            return SettingsFile.read(settingsFile);
        } catch (ProblemsException e) {
            throw new UsageException(e.getMessage());
        } catch (IOException e) {
            throw new UsageException("settings file \"%s\" cannot be read: %s".formatted(settingsFile, e));
        }
    }

    private static void stopOnSignals(Entry entry, CountDownLatch stopped) {
        AtomicInteger signals = new AtomicInteger();
        for (String name : new String[] {"TERM", "INT"}) {
            Signal.handle(new Signal(name), signal -> {
                if (signals.incrementAndGet() == 1) {
                    entry.shutDown().whenComplete((done, failure) -> stopped.countDown());
                } else {
                    entry.abortDrain();
                }
            });
        }
    }
}
