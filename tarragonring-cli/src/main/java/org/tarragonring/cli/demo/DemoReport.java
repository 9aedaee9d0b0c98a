package org.tarragonring.cli.demo;

import java.io.PrintStream;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.HdrHistogram.Histogram;
import org.tarragonring.cli.client.CallResult;

/** Adds up what came of the demo's calls. */
final class DemoReport {

    private static final long MAX_MICROS = 120_000_000L;
    private static final int DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1000;
    private static final double GIB = 1L << 30;
    private static final double SECONDS_PER_HOUR = 3600;

    private final Map<String, Histogram> firstAnswers = new TreeMap<>();
    private final Map<String, Integer> refusals = new TreeMap<>();
    private int calls;
    private int answered;
    private int refused;
    private int lost;
    private int resends;
    private double idleGibSeconds;

    synchronized void add(String callClass, boolean wasCold, CallResult result) {
        calls++;
        count(result);
        if (result.isAnswered()) {
            firstAnswers
                    .computeIfAbsent(
                            callClass + (wasCold ? " cold" : " warm"), key -> new Histogram(MAX_MICROS, DIGITS))
                    .recordValue(Math.min(MAX_MICROS, (long) (result.firstMillis() * MICROS_PER_MILLI)));
        }
    }

    synchronized void addResend(CallResult result) {
        calls++;
        resends++;
        count(result);
    }

    synchronized void printProgress(PrintStream out, LocalSite site) {
        idleGibSeconds +=
                site.engines().stream().mapToLong(e -> e.engine().idleBytes()).sum() / GIB;
        out.printf(
                "%d calls, %d answered, %d refused, %d lost, %d loads%n", calls, answered, refused, lost, loads(site));
    }

    synchronized int print(PrintStream out, LocalSite site) {
        out.printf("%-24s %8s %10s %10s %10s %10s%n", "first answer (ms)", "calls", "p50", "p95", "p99", "max");
        firstAnswers.forEach((name, histogram) -> out.printf(
                "%-24s %8d %10.1f %10.1f %10.1f %10.1f%n",
                name,
                histogram.getTotalCount(),
                histogram.getValueAtPercentile(50) / MICROS_PER_MILLI,
                histogram.getValueAtPercentile(95) / MICROS_PER_MILLI,
                histogram.getValueAtPercentile(99) / MICROS_PER_MILLI,
                histogram.getMaxValue() / MICROS_PER_MILLI));
        int unloads = site.engines().stream()
                .mapToInt(e -> e.engine().completedUnloads())
                .sum();
        out.printf(
                "loads %d, unloads %d, most transfers at once %d%n",
                loads(site), unloads, site.weights().maxConcurrentTransfers());
        out.printf("idle accelerator memory: %.4f GiB hours%n", idleGibSeconds / SECONDS_PER_HOUR);
        out.printf("refusals by reason: %s%n", refusals);
        long doubled = site.runs().values().stream().filter(n -> n.get() > 1).count();
        out.printf("keyed calls sent again %d, keys that ran twice %d%n", resends, doubled);
        out.printf("calls=%d answered=%d refused=%d lost=%d%n", calls, answered, refused, lost);
        return lost == 0 && doubled == 0 && calls == answered + refused ? 0 : 1;
    }

    private void count(CallResult result) {
        switch (result.outcome()) {
            case ANSWERED -> answered++;
            case REFUSED -> {
                refused++;
                refusals.merge(result.code() + "/" + result.verdict(), 1, Integer::sum);
            }
            default -> {
                lost++;
                refusals.merge(result.code() + ": " + result.text(), 1, Integer::sum);
            }
        }
    }

    private static int loads(LocalSite site) {
        AtomicInteger sum = new AtomicInteger();
        site.engines().forEach(e -> sum.addAndGet(e.engine().startedLoads()));
        return sum.get();
    }
}
