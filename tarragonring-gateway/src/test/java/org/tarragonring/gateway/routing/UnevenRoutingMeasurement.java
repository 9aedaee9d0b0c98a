package org.tarragonring.gateway.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Prints how calls spread over replicas of unequal speed, with the choice by own calls and with the one by speed. */
public final class UnevenRoutingMeasurement {

    static final List<FleetSimulation.Kind> KINDS = List.of(
            new FleetSimulation.Kind("draft", 9_200, 120, 1_015), new FleetSimulation.Kind("chat", 830, 150, 607));

    private UnevenRoutingMeasurement() {}

    /** Returns the speeds of replicas of which the last quarter runs at 0.46 of the speed of the others. */
    static List<Double> quarterSlow(int replicas) {
        List<Double> speeds = new ArrayList<>();
        for (int i = 0; i < replicas; i++) {
            speeds.add(i < replicas * 3 / 4 ? 1.0 : 0.46);
        }
        return speeds;
    }

    /** Runs the measurement; the argument, if any, is the number of calls a second. */
    public static void main(String[] args) {
        for (double rate : args.length > 0 ? new double[] {Double.parseDouble(args[0])} : new double[] {40, 60, 80}) {
            for (boolean bySpeed : new boolean[] {false, true}) {
                print(rate, bySpeed);
            }
        }
    }

    private static void print(double rate, boolean bySpeed) {
        try (FleetSimulation fleet = new FleetSimulation(1, 60, quarterSlow(24), 2, false, bySpeed)) {
            fleet.run(Duration.ofSeconds(10), rate, KINDS);
            fleet.ended.clear();
            fleet.run(Duration.ofSeconds(30), rate, KINDS);
            System.out.printf(
                    Locale.ROOT,
                    "rate=%.0f bySpeed=%s calls=%d perFast=%.1f perSlow=%.1f ratio=%.2f busiest=%.2f "
                            + "inTimeFast=%.3f inTimeSlow=%.3f inTime=%.3f mean=%.0f ms digests=%d slow=%.2f fast=%.2f%n",
                    rate,
                    bySpeed,
                    fleet.ended.size(),
                    fleet.callsPerReplica(0, 18),
                    fleet.callsPerReplica(18, 24),
                    fleet.callsPerReplica(18, 24) / fleet.callsPerReplica(0, 18),
                    fleet.busiestToMean(),
                    fleet.shareInTime(0, 18),
                    fleet.shareInTime(18, 24),
                    fleet.shareInTime(0, 24),
                    fleet.meanMillis(),
                    fleet.digests,
                    fleet.speedOf(20),
                    fleet.speedOf(2));
        }
    }
}
