package org.tarragonring.cli.demo;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import org.tarragonring.config.ConfigChecker;
import org.tarragonring.config.ConfigSet;
import org.tarragonring.config.ValueParser;
import org.tarragonring.entry.SettingKey;
import org.tarragonring.operator.IniFileReader;
import org.tarragonring.standin.engine.EngineProfile;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs a whole site on loopback with bursts after quiet spells, and shows what came of every call.
 *
 * @since 0.1.0
 */
@Command(
        name = "demo",
        description = "Runs a whole site on loopback and shows what came of every call.",
        mixinStandardHelpOptions = true)
public final class DemoCommand implements Callable<Integer> {

    private static final int ENTRIES = 8;
    private static final long ACCELERATOR_BYTES = 40L << 30;
    private static final EngineProfile ENGINE = new EngineProfile(
            ACCELERATOR_BYTES,
            true,
            Duration.ofMillis(20),
            Duration.ofMillis(60),
            Duration.ofMillis(150),
            Duration.ofMillis(7),
            Duration.ofMillis(20),
            Duration.ofMillis(40),
            Duration.ofMillis(4));

    @Option(names = "--site", description = "strapwise or ergovale", required = true)
    private Site site;

    @Option(names = "--duration", description = "how long callers call, such as 20s", defaultValue = "20s")
    private String duration;

    @Option(names = "--seed", description = "the seed of the callers' behaviour", defaultValue = "1")
    private long seed;

    @Option(names = "--objects", description = "the folder of object files; by default the site's under examples")
    private Path objects;

    @Override
    public Integer call() throws Exception {
        Path folder = objects == null ? exampleFolder(site) : objects;
        ConfigSet set = ConfigChecker.check(IniFileReader.readObjects(folder));
        Vertx vertx = Vertx.vertx();
        LocalSite local = new LocalSite(
                vertx,
                new LocalSite.Shape(
                        ENTRIES,
                        site.failureDomains(),
                        site.engines(),
                        site.appReplicas(),
                        ENGINE,
                        Map.of(SettingKey.INITIAL_IDLE_TIMEOUT, "10s", SettingKey.MIN_RESIDENCE, "1s")));
        local.start(folder);
        DemoReport report = new DemoReport();
        DemoCallers callers = new DemoCallers(vertx, local, set, report, seed);
        CountDownLatch interrupted = new CountDownLatch(1);
        CountDownLatch finished = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> awaitEnd(interrupted, finished)));
        callers.start();
        awaitWithProgress(interrupted, ValueParser.parseDuration(duration), local, report);
        callers.stop().join();
        local.stop();
        int exitCode = report.print(System.out, local);
        vertx.close().toCompletionStage().toCompletableFuture().join();
        finished.countDown();
        return exitCode;
    }

    /**
     * Finds a site's example folder beside the program or in the working directory.
     *
     * @param site the site, not null
     * @return the folder
     */
    public static Path exampleFolder(Site site) {
        Path code = Path.of(DemoCommand.class
                .getProtectionDomain()
                .getCodeSource()
                .getLocation()
                .getPath());
        for (Path base = code.toAbsolutePath(); base != null; base = base.getParent()) {
            Path folder = base.resolve("examples").resolve(site.folder());
            if (Files.isDirectory(folder)) {
                return folder;
            }
        }
        return Path.of("examples", site.folder());
    }

    private static void awaitWithProgress(
            CountDownLatch interrupted, Duration duration, LocalSite local, DemoReport report)
            throws InterruptedException {
        long endNanos = System.nanoTime() + duration.toNanos();
        while (System.nanoTime() < endNanos) {
            if (interrupted.await(1, TimeUnit.SECONDS)) {
                return;
            }
            report.printProgress(System.err, local);
        }
    }

    /** On Ctrl-C: ends the calls early and keeps the process until the result is printed. */
    private static void awaitEnd(CountDownLatch interrupted, CountDownLatch finished) {
        interrupted.countDown();
        try {
            finished.await(30, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
