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
 * Runs a whole site on loopback, sends it bursts of calls and prints the outcomes and latencies of the calls.
 *
 * @since 0.1.0
 */
@Command(
        name = "demo",
        description = "Runs a whole site on loopback, sends it calls and prints their outcomes and latencies.",
        mixinStandardHelpOptions = true)
public final class DemoCommand implements Callable<Integer> {

    private static final int ENTRY_COUNT = 8;
    private static final long ACCELERATOR_BYTES = 40L << 30;
    private static final EngineProfile ENGINE_PROFILE = new EngineProfile(
            ACCELERATOR_BYTES,
            true,
            Duration.ofMillis(20),
            Duration.ofMillis(60),
            Duration.ofMillis(150),
            Duration.ofMillis(7),
            Duration.ofMillis(20),
            Duration.ofMillis(40),
            Duration.ofMillis(4));

    @Option(names = "--site", description = "the site: strapwise or ergovale", required = true)
    private Site site;

    @Option(names = "--duration", description = "how long calls are sent, such as 20s", defaultValue = "20s")
    private String duration;

    @Option(
            names = "--seed",
            description = "the seed of the random numbers from which the calls are generated",
            defaultValue = "1")
    private long seed;

    @Option(
            names = "--objects",
            paramLabel = "<objects>",
            description = "the folder of object files; by default the site's folder under examples")
    private Path objectFolder;

    @Override
    public Integer call() throws Exception {
        Path folder = objectFolder == null ? exampleFolder(site) : objectFolder;
        ConfigSet config = ConfigChecker.check(IniFileReader.readObjects(folder));
        Vertx vertx = Vertx.vertx();
        LocalSite localSite = new LocalSite(
                vertx,
                new LocalSite.Options(
                        ENTRY_COUNT,
                        site.failureDomains(),
                        site.engines(),
                        site.serviceInstances(),
                        ENGINE_PROFILE,
                        Map.of(SettingKey.INITIAL_IDLE_TIMEOUT, "10s", SettingKey.MIN_RESIDENCE, "1s")));
        localSite.start(folder);
        DemoReport report = new DemoReport();
        DemoCallers callers = new DemoCallers(vertx, localSite, config, report, seed);
        CountDownLatch interrupted = new CountDownLatch(1);
        CountDownLatch reported = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> awaitReport(interrupted, reported)));
        callers.start();
        printProgressUntilEnd(interrupted, ValueParser.parseDuration(duration), localSite, report);
        callers.stop().join();
        localSite.stop();
        int exitCode = report.print(System.out, localSite);
        vertx.close().toCompletionStage().toCompletableFuture().join();
        reported.countDown();
        return exitCode;
    }

    /**
     * Returns the folder with the example object files of a site. Looks for the folder {@code examples} next to the
     * program file and in each of its parent directories; if there is none, the folder is taken to be in the working
     * directory.
     *
     * @param site the site, not null
     * @return the folder, never null; it may not exist
     */
    public static Path exampleFolder(Site site) {
        Path programPath = Path.of(DemoCommand.class
                .getProtectionDomain()
                .getCodeSource()
                .getLocation()
                .getPath());
        for (Path ancestor = programPath.toAbsolutePath(); ancestor != null; ancestor = ancestor.getParent()) {
            Path folder = ancestor.resolve("examples").resolve(site.folderName());
            if (Files.isDirectory(folder)) {
                return folder;
            }
        }
        return Path.of("examples", site.folderName());
    }

    /** Prints the progress once a second until the duration has passed or the process is interrupted. */
    private static void printProgressUntilEnd(
            CountDownLatch interrupted, Duration duration, LocalSite localSite, DemoReport report)
            throws InterruptedException {
        long endNanos = System.nanoTime() + duration.toNanos();
        while (System.nanoTime() < endNanos) {
            if (interrupted.await(1, TimeUnit.SECONDS)) {
                return;
            }
            report.printProgress(System.err, localSite);
        }
    }

    /** When the process is interrupted, ends the calls early and delays the exit until the report is printed. */
    private static void awaitReport(CountDownLatch interrupted, CountDownLatch reported) {
        interrupted.countDown();
        try {
            reported.await(30, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
