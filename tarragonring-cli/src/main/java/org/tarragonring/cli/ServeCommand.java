package org.tarragonring.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
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

/**
 * Runs an entry until SIGTERM or SIGINT starts its shutdown. A second signal ends the shutdown without waiting for the
 * calls in flight.
 */
@Command(name = "serve", description = "Runs an entry until it is stopped by SIGTERM or SIGINT.")
final class ServeCommand implements Callable<Integer> {

    @Mixin
    private CommonOptions common;

    @Option(names = "--settings", description = "the settings file", required = true)
    private Path settingsFile;

    @Option(names = "--print-settings", description = "print the effective settings, including defaults, and exit")
    private boolean printSettings;

    private final AtomicInteger signalCount = new AtomicInteger();

    @Override
    public Integer call() throws Exception {
        SettingsFile settings = readSettings();
        if (printSettings) {
            settings.toIniLines().forEach(System.out::println);
            return ExitCodes.SUCCESS;
        }
        LogOutput.configure(
                LogOutput.Target.ERROR, settings.text(SettingKey.LOG_FORMAT), settings.text(SettingKey.LOG_LEVEL));
        Vertx vertx = Vertx.vertx();
        Entry entry = new Entry(vertx, settings.toSettings());
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        shutDownOnSignals(entry, stopped);
        CompletableFuture<Void> started = entry.start();
        CompletableFuture.anyOf(started, stopped)
                .handle((done, failure) -> null)
                .join();
        if (isStarted(started)) {
            System.out.println("callers " + entry.callerAddress() + " admin " + entry.adminAddress());
        } else if (started.isCompletedExceptionally() && signalCount.get() == 0) {
            started.join();
        }
        stopped.join();
        vertx.close().toCompletionStage().toCompletableFuture().join();
        return ExitCodes.SUCCESS;
    }

    private SettingsFile readSettings() {
        try {
            return SettingsFile.read(settingsFile);
        } catch (ProblemsException e) {
            throw new UsageException(e.getMessage());
        } catch (IOException e) {
            throw new UsageException("settings file \"%s\" cannot be read: %s".formatted(settingsFile, e));
        }
    }

    private static boolean isStarted(CompletableFuture<Void> started) {
        return started.isDone() && !started.isCompletedExceptionally();
    }

    private void shutDownOnSignals(Entry entry, CompletableFuture<Void> stopped) {
        for (String name : new String[] {"TERM", "INT"}) {
            Signal.handle(new Signal(name), signal -> {
                if (signalCount.incrementAndGet() == 1) {
                    entry.shutDown().whenComplete((done, failure) -> stopped.complete(null));
                } else {
                    entry.abortDrain();
                }
            });
        }
    }
}
