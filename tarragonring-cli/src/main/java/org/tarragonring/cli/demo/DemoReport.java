package org.tarragonring.cli.demo;

import java.io.PrintStream;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.HdrHistogram.Histogram;
import org.tarragonring.cli.client.CallResult;

/** Counts the outcomes of the demo's calls and records their latencies. */
final class DemoReport {

    private static final long MAX_MICROS = 120_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1000;
    private static final double BYTES_PER_GIB = 1L << 30;
    private static final double SECONDS_PER_HOUR = 3600;

    private final Map<String, Histogram> firstResponseHistograms = new TreeMap<>();
    private final Map<String, Integer> failureCounts = new TreeMap<>();
    private int calls;
    private int answered;
    private int refused;
    private int lost;
    private int resends;
    private double idleGibSeconds;

    /**
     * Records a call that was sent for the first time.
     *
     * @param callClass the name of the call class, not null
     * @param wasCold whether no engine held or loaded the model when the call was sent
     * @param result the outcome, not null
     */
    synchronized void add(String callClass, boolean wasCold, CallResult result) {
        calls++;
        countOutcome(result);
        if (result.isAnswered()) {
            firstResponseHistograms
                    .computeIfAbsent(
                            callClass + (wasCold ? " cold" : " warm"),
                            key -> new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS))
                    .recordValue(Math.min(MAX_MICROS, (long) (result.firstMillis() * MICROS_PER_MILLI)));
        }
    }

    /** Records a call that was sent again with the idempotency key of an earlier call. */
    synchronized void addResend(CallResult result) {
        calls++;
        resends++;
        countOutcome(result);
    }

    /** Prints the current counts and takes a sample of the idle memory, which stands for one second. */
    synchronized void printProgress(PrintStream out, LocalSite site) {
        idleGibSeconds +=
                site.engines().stream().mapToLong(e -> e.engine().idleBytes()).sum() / BYTES_PER_GIB;
        out.printf(
                "%d calls, %d answered, %d refused, %d lost, %d loads%n",
                calls, answered, refused, lost, loadCount(site));
    }

    /**
     * Prints the result of the demo.
     *
     * @param out the stream to print to, not null
     * @param site the site, not null
     * @return the exit code: 0, or 1 if a call was lost or not counted, or a request ran more than once
     */
    synchronized int print(PrintStream out, LocalSite site) {
        out.printf("%-24s %8s %10s %10s %10s %10s%n", "first answer (ms)", "calls", "p50", "p95", "p99", "max");
        firstResponseHistograms.forEach((name, histogram) -> out.printf(
                "%-24s %8d %10.1f %10.1f %10.1f %10.1f%n",
                name,
                histogram.getTotalCount(),
                histogram.getValueAtPercentile(50) / MICROS_PER_MILLI,
                histogram.getValueAtPercentile(95) / MICROS_PER_MILLI,
                histogram.getValueAtPercentile(99) / MICROS_PER_MILLI,
                histogram.getMaxValue() / MICROS_PER_MILLI));
        int unloadCount = site.engines().stream()
                .mapToInt(e -> e.engine().completedUnloads())
                .sum();
        out.printf(
                "loads %d, unloads %d, max concurrent transfers %d%n",
                loadCount(site), unloadCount, site.weights().maxConcurrentTransfers());
        out.printf("idle accelerator memory: %.4f GiB hours%n", idleGibSeconds / SECONDS_PER_HOUR);
        out.printf("refusals by reason: %s%n", failureCounts);
        long keysRunMoreThanOnce =
                site.runsByKey().values().stream().filter(n -> n.get() > 1).count();
        out.printf("resent keyed calls %d, keys that ran more than once %d%n", resends, keysRunMoreThanOnce);
        out.printf("calls=%d answered=%d refused=%d lost=%d%n", calls, answered, refused, lost);
        return lost == 0 && keysRunMoreThanOnce == 0 && calls == answered + refused ? 0 : 1;
    }

    private void countOutcome(CallResult result) {
        switch (result.outcome()) {
            case ANSWERED -> answered++;
            case REFUSED -> {
                refused++;
                failureCounts.merge(result.code() + "/" + result.verdict(), 1, Integer::sum);
            }
            default -> {
                lost++;
                failureCounts.merge(result.code() + ": " + result.text(), 1, Integer::sum);
            }
        }
    }

    private static int loadCount(LocalSite site) {
        AtomicInteger loadCount = new AtomicInteger();
        site.engines().forEach(e -> loadCount.addAndGet(e.engine().startedLoads()));
        return loadCount.get();
    }
}
