package org.tarragonring.standin.fleet;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.objects.Instance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Brings about each failure that a load must survive. */
class LoadFailureTest {

    private static final ModelName MODEL = new ModelName("model-0");
    private static final int MAX_STEPS = 60;
    private static final int PLATFORM_READS_PER_SECOND = 2_000;
    private static final int TARGET_ENTRIES = 380;

    @Test
    void burstAtAllEntriesMakesOneLoad() {
        Fleet fleet = Fleet.started(1, 8, 4, true, 3);
        fleet.entries.forEach(entry -> fleet.demand(entry, MODEL, 4));
        fleet.run(Duration.ofSeconds(5));
        assertTrue(fleet.isLoaded(MODEL));
        assertEquals(1, fleet.loads());
        fleet.audit.checkSettled();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void homeDiesAfterEveryStepOfALoad(boolean honoursFence) {
        for (int step = 1; step <= MAX_STEPS; step++) {
            Fleet fleet = Fleet.started(step, 3, 2, honoursFence, 1);
            FleetEntry home = home(fleet);
            home.dieAfter(step);
            keepAsking(fleet, Duration.ofSeconds(40));
            assertTrue(fleet.isLoaded(MODEL), "after step " + step);
            assertEquals(1, fleet.replicas(MODEL), "after step " + step);
            fleet.run(Duration.ofSeconds(30));
            fleet.audit.checkSettled();
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void homePausedPastItsLeaseSendsNoOrder(boolean honoursFence) {
        for (int step = 1; step <= MAX_STEPS; step += 3) {
            Fleet fleet = Fleet.started(100 + step, 3, 2, honoursFence, 1);
            FleetEntry home = home(fleet);
            fleet.demand(home, MODEL, 1);
            fleet.run(Duration.ofMillis(50L * (step % 8)));
            home.pause();
            keepAsking(fleet, Duration.ofSeconds(45));
            home.resume();
            keepAsking(fleet, Duration.ofSeconds(20));
            assertTrue(fleet.isLoaded(MODEL), "paused after step " + step);
            assertEquals(1, fleet.replicas(MODEL));
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void lateOrderOfDeadHomeOvercommitsNothing(boolean honoursFence) {
        Fleet fleet = Fleet.started(7, 3, 1, honoursFence, 2);
        FleetEntry home = home(fleet);
        home.orderDelay = Duration.ofSeconds(2);
        fleet.demand(home, MODEL, 1);
        fleet.run(Duration.ofMillis(300));
        home.kill();
        keepAsking(fleet, Duration.ofSeconds(60));
        assertTrue(fleet.isLoaded(MODEL));
        fleet.audit.checkSettled();
    }

    @Test
    void lostAnswersOfUpdatesAreReadBack() {
        Fleet fleet = Fleet.started(9, 4, 2, true, 2);
        fleet.lostAnswerShare = 0.3;
        keepAsking(fleet, Duration.ofSeconds(20));
        assertTrue(fleet.isLoaded(MODEL));
        assertEquals(1, fleet.replicas(MODEL));
    }

    @Test
    void platformOutageLongerThanALeaseDuringALoad() {
        Fleet fleet = Fleet.started(11, 4, 2, true, 2);
        fleet.entries.forEach(entry -> fleet.demand(entry, MODEL, 1));
        fleet.run(Duration.ofMillis(100));
        fleet.platformDown = true;
        keepAsking(fleet, Duration.ofSeconds(40));
        fleet.platformDown = false;
        keepAsking(fleet, Duration.ofSeconds(40));
        assertTrue(fleet.isLoaded(MODEL));
        assertEquals(1, fleet.replicas(MODEL));
        fleet.run(Duration.ofSeconds(10));
        fleet.audit.checkSettled();
    }

    @Test
    void twoEntriesThatBothBelieveToBeHomeMakeOneReplica() {
        Fleet fleet = Fleet.started(13, 4, 4, true, 1);
        fleet.lostDatagramShare = 1;
        fleet.run(Duration.ofSeconds(30));
        fleet.entries.forEach(entry -> fleet.demand(entry, MODEL, 1));
        fleet.run(Duration.ofSeconds(10));
        assertTrue(fleet.isLoaded(MODEL));
        assertEquals(1, fleet.replicas(MODEL));
    }

    @Test
    void weightStoreTenTimesSlower() {
        Fleet fleet = Fleet.started(15, 4, 2, true, 2);
        fleet.weights.setSpeedFactor(0.1);
        keepAsking(fleet, Duration.ofSeconds(30));
        assertTrue(fleet.isLoaded(MODEL));
        assertEquals(1, fleet.loads());
    }

    @Test
    void upstreamReclaimedDuringALoad() {
        Fleet fleet = Fleet.started(17, 4, 2, true, 1);
        fleet.entries.forEach(entry -> fleet.demand(entry, MODEL, 1));
        fleet.run(Duration.ofMillis(300));
        UpstreamId lost = upstreamWithModel(fleet);
        fleet.engines.get(lost).restart();
        fleet.engines.get(lost).setLeaving(true);
        fleet.listed.remove(lost);
        keepAsking(fleet, Duration.ofSeconds(20));
        assertTrue(fleet.isLoaded(MODEL));
    }

    @ParameterizedTest
    @MethodSource("fences")
    void engineRestartedEmptyIsLoadedAgain(boolean honoursFence) {
        Fleet fleet = Fleet.started(19, 4, 2, honoursFence, 1);
        keepAsking(fleet, Duration.ofSeconds(5));
        fleet.engines.values().forEach(engine -> engine.restart());
        assertFalse(fleet.isLoaded(MODEL));
        keepAsking(fleet, Duration.ofSeconds(40));
        assertTrue(fleet.isLoaded(MODEL));
        assertEquals(1, fleet.replicas(MODEL));
    }

    @Test
    void leavingUpstreamIsReplaced() {
        Fleet fleet = Fleet.started(21, 4, 2, true, 1);
        keepAsking(fleet, Duration.ofSeconds(5));
        UpstreamId leaving = upstreamWithModel(fleet);
        Instance old = fleet.listed.get(leaving);
        fleet.listed.put(leaving, new Instance(old.id(), "", old.address(), old.failureDomain(), true));
        keepAsking(fleet, Duration.ofSeconds(15));
        boolean elsewhere = fleet.engines.entrySet().stream()
                .anyMatch(e -> !e.getKey().equals(leaving)
                        && !e.getValue().slotsOf(MODEL).isEmpty());
        assertTrue(elsewhere);
    }

    @Test
    void upstreamThatSaysItIsLeavingGetsNoNewWorkThoughTheListLags() {
        Fleet fleet = Fleet.started(25, 4, 2, true, 1);
        keepAsking(fleet, Duration.ofSeconds(5));
        UpstreamId leaving = upstreamWithModel(fleet);
        fleet.engines.get(leaving).setLeaving(true);
        keepAsking(fleet, Duration.ofSeconds(15));
        boolean elsewhere = fleet.engines.entrySet().stream()
                .anyMatch(e -> !e.getKey().equals(leaving)
                        && !e.getValue().slotsOf(MODEL).isEmpty());
        assertTrue(elsewhere);
    }

    @Test
    void wantingMoreReplicasThanThereIsRoomForDoesNotFloodThePlatform() {
        Fleet fleet = Fleet.started(27, 4, 1, true, 1);
        fleet.publish(1, 5);
        fleet.run(Duration.ofSeconds(10));
        long before = fleet.platformRequests;
        for (int i = 0; i < 60; i++) {
            fleet.entries.forEach(entry -> fleet.demand(entry, MODEL, 5));
            fleet.run(Duration.ofMillis(500));
        }
        assertTrue(fleet.isLoaded(MODEL));
        long allowed = PLATFORM_READS_PER_SECOND * 30 * fleet.entries.size() / TARGET_ENTRIES;
        long requests = fleet.platformRequests - before;
        assertTrue(requests <= allowed, requests + " requests, allowed are " + allowed);
    }

    @Test
    void idleModelIsUnloadedAndLoadedAgain() {
        Fleet fleet = Fleet.started(23, 4, 2, true, 1);
        keepAsking(fleet, Duration.ofSeconds(5));
        fleet.run(Duration.ofSeconds(60));
        assertEquals(0, fleet.replicas(MODEL));
        fleet.audit.checkSettled();
        keepAsking(fleet, Duration.ofSeconds(5));
        assertTrue(fleet.isLoaded(MODEL));
    }

    static List<Boolean> fences() {
        return List.of(true, false);
    }

    private static UpstreamId upstreamWithModel(Fleet fleet) {
        return fleet.engines.entrySet().stream()
                .filter(e -> !e.getValue().slotsOf(MODEL).isEmpty())
                .findFirst()
                .orElseThrow()
                .getKey();
    }

    private static FleetEntry home(Fleet fleet) {
        String id =
                fleet.entries.get(0).control().rankedHomes(MODEL).get(0).id().value();
        return fleet.entries.stream().filter(e -> e.id.equals(id)).findFirst().orElseThrow();
    }

    /** Lets every living entry report a waiting call again and again. */
    private static void keepAsking(Fleet fleet, Duration duration) {
        long rounds = duration.toMillis() / 500;
        for (long i = 0; i < rounds; i++) {
            fleet.entries.stream()
                    .filter(entry -> entry.isAlive() && !entry.isPaused())
                    .forEach(entry -> fleet.demand(entry, MODEL, 1));
            fleet.run(Duration.ofMillis(500));
        }
    }
}
