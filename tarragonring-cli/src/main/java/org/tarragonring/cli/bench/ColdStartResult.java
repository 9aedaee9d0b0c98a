package org.tarragonring.cli.bench;

import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/** Collects the results of one run of a workload in virtual time. */
final class ColdStartResult {

    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double BYTES_PER_GIB = 1L << 30;
    private static final double SECONDS_PER_HOUR = 3600;

    /** The times to the first token, in milliseconds, of calls of models that no engine had loaded. */
    final Histogram coldMillis = new Histogram(SIGNIFICANT_DIGITS);
    /** The times to the first token, in milliseconds, of calls in bursts soon after the previous call of the model. */
    final Histogram returningMillis = new Histogram(SIGNIFICANT_DIGITS);

    int calls;
    int refused;
    int loads;
    int unloads;
    double idleByteSeconds;
    final Map<String, Integer> refusalsByReason = new TreeMap<>();

    void addRefusal(String reason) {
        refused++;
        refusalsByReason.merge(reason, 1, Integer::sum);
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

    String row(String policy) {
        return "%-11s %8d %8d %8d %8d %8d %8d %12d %12.1f %7d %8d %8d %s"
                .formatted(
                        policy,
                        calls,
                        coldMillis.getTotalCount(),
                        coldMillis.getValueAtPercentile(50),
                        coldMillis.getValueAtPercentile(95),
                        coldMillis.getValueAtPercentile(99),
                        coldMillis.getMaxValue(),
                        returningMillis.getValueAtPercentile(99),
                        idleByteSeconds / BYTES_PER_GIB / SECONDS_PER_HOUR,
                        loads,
                        unloads,
                        refused,
                        refusalsByReason);
    }
}
