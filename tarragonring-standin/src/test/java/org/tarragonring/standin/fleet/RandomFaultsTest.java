package org.tarragonring.standin.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Random;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.standin.engine.StandInEngine;

/**
 * A combination of faults may break an invariant that each fault alone does not. Faults of all kinds are applied in
 * random order, and the invariants are checked after every step of the clock.
 */
class RandomFaultsTest {

    private static final int MODELS = 6;
    private static final int EVENTS_PER_RUN = 150;
    private static final String JQWIK_SEED = "4211";

    @Property(tries = 24, seed = JQWIK_SEED, shrinking = ShrinkingMode.OFF)
    void invariantsHoldIfEnginesCheckFencingTokens(@ForAll("seeds") long seed) {
        runWithRandomFaults(seed, true);
    }

    @Property(tries = 24, seed = JQWIK_SEED, shrinking = ShrinkingMode.OFF)
    void invariantsHoldIfEnginesIgnoreFencingTokens(@ForAll("seeds") long seed) {
        runWithRandomFaults(seed, false);
    }

    @Provide
    Arbitrary<Long> seeds() {
        return Arbitraries.longs().between(1, 1_000_000);
    }

    private static void runWithRandomFaults(long seed, boolean honoursFence) {
        Fleet fleet = Fleet.startNew(seed, 5, 4, honoursFence, MODELS);
        Random random = new Random(seed);
        try {
            for (int i = 0; i < EVENTS_PER_RUN; i++) {
                applyRandomEvent(fleet, random);
                reportRandomDemand(fleet, random);
                fleet.runFor(Duration.ofMillis(100 + random.nextInt(1500)));
            }
            endFaults(fleet);
            fleet.runFor(Duration.ofSeconds(120));
            fleet.invariants.checkQuiescentState();
        } catch (AssertionError e) {
            throw new AssertionError("seed %d: %s".formatted(seed, e.getMessage()), e);
        }
    }

    private static void applyRandomEvent(Fleet fleet, Random random) {
        FleetEntry entry = fleet.entries.get(random.nextInt(fleet.entries.size()));
        switch (random.nextInt(14)) {
            case 0 -> entry.kill();
            case 1 -> entry.pause();
            case 2 -> entry.killAtExchange(random.nextInt(30));
            case 3, 4 -> startOrResumeEntries(fleet);
            case 5 -> fleet.platformDown = !fleet.platformDown;
            case 6 -> fleet.platformDown = false;
            case 7 -> fleet.responseLossProbability = random.nextBoolean() ? 0.1 : 0;
            case 8 -> fleet.datagramLossProbability = random.nextBoolean() ? 0.3 : 0;
            case 9 -> entry.isolated = !entry.isolated;
            case 10 -> fleet.weights.setSpeedFactor(random.nextBoolean() ? 0.1 : 1);
            case 11 -> randomEngine(fleet, random).restart();
            case 12 -> fleet.publish(MODELS, 1 + random.nextInt(3));
            default -> reportRandomDemand(fleet, random);
        }
    }

    private static StandInEngine randomEngine(Fleet fleet, Random random) {
        List<UpstreamId> ids = List.copyOf(fleet.engines.keySet());
        return fleet.engines.get(ids.get(random.nextInt(ids.size())));
    }

    private static void startOrResumeEntries(Fleet fleet) {
        for (FleetEntry entry : fleet.entries) {
            if (!entry.isAlive()) {
                entry.start();
            } else if (entry.isPaused()) {
                entry.resume();
            }
        }
    }

    private static void endFaults(Fleet fleet) {
        fleet.platformDown = false;
        fleet.responseLossProbability = 0;
        fleet.datagramLossProbability = 0;
        fleet.weights.setSpeedFactor(1);
        fleet.entries.forEach(entry -> entry.isolated = false);
        startOrResumeEntries(fleet);
    }

    private static void reportRandomDemand(Fleet fleet, Random random) {
        for (FleetEntry entry : fleet.entries) {
            if (entry.isAlive() && !entry.isPaused() && random.nextInt(3) == 0) {
                ModelName model = new ModelName("model-" + random.nextInt(MODELS));
                fleet.reportDemand(entry, model, 1 + random.nextInt(12));
            }
        }
    }
}
