package org.tarragonring.cli.bench;

import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/** What came of a virtual run. */
final class ColdStartResult {

    private static final int DIGITS = 3;
    private static final double GIB = 1L << 30;
    private static final double SECONDS_PER_HOUR = 3600;

    final Histogram cold = new Histogram(DIGITS);
    final Histogram returning = new Histogram(DIGITS);
    int calls;
    int refused;
    int loads;
    int unloads;
    double idleByteSeconds;
    final Map<String, Integer> refusals = new TreeMap<>();

    void refused(String reason) {
        refused++;
        refusals.merge(reason, 1, Integer::sum);
    }

    static String header() {
        return "%-11s %8s %8s %8s %8s %8s %8s %12s %12s %7s %8s %8s"
                .formatted(
                        "policy",
                        "calls",
                        "cold",
                        "p50 ms",
                        "p95 ms",
                        "p99 ms",
                        "max ms",
                        "return p99",
                        "idle GiB h",
                        "loads",
                        "unloads",
                        "refused");
    }

    String line(String policy) {
        return "%-11s %8d %8d %8d %8d %8d %8d %12d %12.1f %7d %8d %8d %s"
                .formatted(
                        policy,
                        calls,
                        cold.getTotalCount(),
                        cold.getValueAtPercentile(50),
                        cold.getValueAtPercentile(95),
                        cold.getValueAtPercentile(99),
                        cold.getMaxValue(),
                        returning.getValueAtPercentile(99),
                        idleByteSeconds / GIB / SECONDS_PER_HOUR,
                        loads,
                        unloads,
                        refused,
                        refusals);
    }
}
