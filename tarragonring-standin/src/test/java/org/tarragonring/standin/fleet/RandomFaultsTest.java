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

/** Drives all faults together, drawn from a seed; the audit runs after every step of the clock. */
class RandomFaultsTest {

    private static final int MODELS = 6;
    private static final int EVENTS = 150;
    private static final String JQWIK_SEED = "4211";

    @Property(tries = 24, seed = JQWIK_SEED, shrinking = ShrinkingMode.OFF)
    void enginesThatHonourFences(@ForAll("seeds") long seed) {
        run(seed, true);
    }

    @Property(tries = 24, seed = JQWIK_SEED, shrinking = ShrinkingMode.OFF)
    void enginesThatIgnoreFences(@ForAll("seeds") long seed) {
        run(seed, false);
    }

    @Provide
    Arbitrary<Long> seeds() {
        return Arbitraries.longs().between(1, 1_000_000);
    }

    private static void run(long seed, boolean honoursFence) {
        Fleet fleet = Fleet.started(seed, 5, 4, honoursFence, MODELS);
        Random random = new Random(seed);
        try {
            for (int i = 0; i < EVENTS; i++) {
                event(fleet, random);
                askSome(fleet, random);
                fleet.run(Duration.ofMillis(100 + random.nextInt(1500)));
            }
            heal(fleet);
            fleet.run(Duration.ofSeconds(120));
            fleet.audit.checkSettled();
        } catch (AssertionError e) {
            throw new AssertionError("seed %d: %s".formatted(seed, e.getMessage()), e);
        }
    }

    private static void event(Fleet fleet, Random random) {
        FleetEntry entry = fleet.entries.get(random.nextInt(fleet.entries.size()));
        switch (random.nextInt(14)) {
            case 0 -> entry.kill();
            case 1 -> entry.pause();
            case 2 -> entry.dieAfter(random.nextInt(30));
            case 3, 4 -> revive(fleet);
            case 5 -> fleet.platformDown = !fleet.platformDown;
            case 6 -> fleet.platformDown = false;
            case 7 -> fleet.lostAnswerShare = random.nextBoolean() ? 0.1 : 0;
            case 8 -> fleet.lostDatagramShare = random.nextBoolean() ? 0.3 : 0;
            case 9 -> entry.cutOff = !entry.cutOff;
            case 10 -> fleet.weights.setSpeedFactor(random.nextBoolean() ? 0.1 : 1);
            case 11 -> engine(fleet, random).restart();
            case 12 -> fleet.publish(MODELS, 1 + random.nextInt(3));
            default -> askSome(fleet, random);
        }
    }

    private static StandInEngine engine(Fleet fleet, Random random) {
        List<UpstreamId> ids = List.copyOf(fleet.engines.keySet());
        return fleet.engines.get(ids.get(random.nextInt(ids.size())));
    }

    private static void revive(Fleet fleet) {
        for (FleetEntry entry : fleet.entries) {
            if (!entry.isAlive()) {
                entry.start();
            } else if (entry.isPaused()) {
                entry.resume();
            }
        }
    }

    private static void heal(Fleet fleet) {
        fleet.platformDown = false;
        fleet.lostAnswerShare = 0;
        fleet.lostDatagramShare = 0;
        fleet.weights.setSpeedFactor(1);
        fleet.entries.forEach(entry -> entry.cutOff = false);
        revive(fleet);
    }

    private static void askSome(Fleet fleet, Random random) {
        for (FleetEntry entry : fleet.entries) {
            if (entry.isAlive() && !entry.isPaused() && random.nextInt(3) == 0) {
                ModelName model = new ModelName("model-" + random.nextInt(MODELS));
                fleet.demand(entry, model, 1 + random.nextInt(12));
            }
        }
    }
}
