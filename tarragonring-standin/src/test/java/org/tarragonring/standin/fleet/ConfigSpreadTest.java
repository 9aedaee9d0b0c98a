package org.tarragonring.standin.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.tarragonring.config.ConfigManifest;
import org.tarragonring.objects.StoreException;
import org.tarragonring.operator.ConfigRepository;
import org.tarragonring.peer.MemberState;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Brings about each failure that the spread of configuration must survive. */
class ConfigSpreadTest {

    private static final Duration IN_FORCE_WITHIN = Duration.ofSeconds(14);

    @Test
    void publishIsInForceEverywhere() {
        Fleet fleet = Fleet.started(31, 24, 1, true, 40);
        fleet.publish(40, 2);
        fleet.run(IN_FORCE_WITHIN);
        assertAllAt(fleet, 2);
    }

    @Test
    void publishDuringHeavyLossIsInForceEverywhere() {
        Fleet fleet = Fleet.started(32, 24, 1, true, 40);
        fleet.lostDatagramShare = 0.3;
        fleet.publish(40, 2);
        fleet.run(IN_FORCE_WITHIN);
        assertAllAt(fleet, 2);
    }

    @Test
    void entryCutOffFromEverythingCatchesUp() {
        Fleet fleet = Fleet.started(33, 12, 1, true, 10);
        FleetEntry cut = fleet.entries.get(3);
        cut.cutOff = true;
        fleet.publish(10, 2);
        fleet.run(Duration.ofMinutes(3));
        assertEquals(1, cut.control().config().generation());
        cut.cutOff = false;
        fleet.run(IN_FORCE_WITHIN);
        assertAllAt(fleet, 2);
    }

    @Test
    void failureDomainCutOffCatchesUp() {
        Fleet fleet = Fleet.started(34, 12, 1, true, 10);
        List<FleetEntry> domain = fleet.entries.stream()
                .filter(e -> e.domain().equals("domain-1"))
                .toList();
        domain.forEach(entry -> entry.cutOff = true);
        fleet.publish(10, 2);
        fleet.publish(10, 3);
        fleet.run(Duration.ofMinutes(5));
        domain.forEach(entry -> entry.cutOff = false);
        fleet.run(IN_FORCE_WITHIN);
        assertAllAt(fleet, 3);
    }

    @Test
    void pausedEntryThatReturnsNeverGoesBack() {
        Fleet fleet = Fleet.started(35, 8, 1, true, 10);
        FleetEntry paused = fleet.entries.get(2);
        paused.pause();
        fleet.publish(10, 2);
        fleet.run(Duration.ofSeconds(60));
        paused.resume();
        fleet.run(IN_FORCE_WITHIN);
        assertAllAt(fleet, 2);
    }

    @Test
    void thirdOfTheEntriesRestartedAtOnce() {
        Fleet fleet = Fleet.started(36, 12, 1, true, 10);
        fleet.publish(10, 2);
        fleet.entries.subList(0, 4).forEach(FleetEntry::kill);
        fleet.run(Duration.ofSeconds(1));
        fleet.entries.subList(0, 4).forEach(FleetEntry::start);
        fleet.run(IN_FORCE_WITHIN);
        assertAllAt(fleet, 2);
    }

    @Test
    void startingEntryServesOnlyOnceItHoldsTheLatest() {
        Fleet fleet = Fleet.started(37, 6, 1, true, 10);
        fleet.publish(10, 2);
        fleet.run(IN_FORCE_WITHIN);
        FleetEntry entry = fleet.entries.get(1);
        entry.kill();
        entry.start();
        fleet.run(Duration.ofMillis(50));
        assertFalse(entry.control().isReady());
        fleet.run(IN_FORCE_WITHIN);
        assertTrue(entry.control().isReady());
    }

    @Test
    void entryServesOnWhileThePlatformIsDown() {
        Fleet fleet = Fleet.started(38, 6, 1, true, 10);
        fleet.platformDown = true;
        fleet.run(Duration.ofMinutes(2));
        assertTrue(fleet.entries.stream().allMatch(e -> e.control().isReady()));
    }

    @Test
    void racingPublishesPutOneInForce() {
        Fleet fleet = Fleet.started(39, 8, 1, true, 10);
        ConfigRepository repository = new ConfigRepository(fleet.store);
        Optional<ConfigManifest> base = repository.head().await().indefinitely();
        repository
                .publish(base, "first", Fleet.objects(10, 2, "v1").objects())
                .await()
                .indefinitely();
        StoreException.Kind kind = null;
        try {
            repository
                    .publish(base, "second", Fleet.objects(10, 3, "v1").objects())
                    .await()
                    .indefinitely();
        } catch (StoreException e) {
            kind = e.kind();
        }
        assertEquals(StoreException.Kind.CONFLICT, kind);
        fleet.run(IN_FORCE_WITHIN);
        assertAllAt(fleet, 2);
    }

    @Test
    void deadEntryIsNoLongerUsableAndComesBack() {
        Fleet fleet = Fleet.started(40, 8, 1, true, 10);
        FleetEntry dead = fleet.entries.get(5);
        dead.kill();
        fleet.run(Duration.ofSeconds(40));
        assertEquals(7, usable(fleet.entries.get(0)));
        dead.start();
        fleet.run(Duration.ofSeconds(20));
        assertEquals(8, usable(fleet.entries.get(0)));
        assertEquals(8, usable(dead));
    }

    @Test
    void suspicionOfADeadEntryEndsThoughWhoeverRaisedItDied() {
        for (int seed = 50; seed < 60; seed++) {
            Fleet fleet = Fleet.started(seed, 4, 1, true, 2);
            fleet.entries.get(3).kill();
            FleetEntry survivor = fleet.entries.get(0);
            for (int i = 0; i < 400 && !isSuspected(survivor, "entry-3"); i++) {
                fleet.run(Duration.ofMillis(50));
            }
            fleet.entries.get(1).kill();
            fleet.entries.get(2).kill();
            fleet.run(Duration.ofSeconds(60));
            assertEquals(1, usable(survivor), "seed " + seed);
        }
    }

    @Test
    void cutOffEntryIsRefutedBackToLife() {
        Fleet fleet = Fleet.started(41, 8, 1, true, 10);
        FleetEntry cut = fleet.entries.get(5);
        cut.cutOff = true;
        fleet.run(Duration.ofSeconds(60));
        assertEquals(7, usable(fleet.entries.get(0)));
        cut.cutOff = false;
        fleet.run(Duration.ofSeconds(60));
        assertEquals(8, usable(fleet.entries.get(0)));
        assertEquals(8, usable(cut));
    }

    @Test
    void oneWayCutsHealAndEveryoneAgrees() {
        Fleet fleet = Fleet.started(42, 9, 1, true, 10);
        fleet.entries.get(3).hearsNobody = true;
        fleet.entries.get(4).isHeardByNobody = true;
        fleet.publish(10, 2);
        fleet.run(Duration.ofMinutes(2));
        fleet.entries.get(3).hearsNobody = false;
        fleet.entries.get(4).isHeardByNobody = false;
        fleet.run(IN_FORCE_WITHIN);
        assertAllAt(fleet, 2);
        fleet.run(Duration.ofSeconds(60));
        fleet.entries.forEach(entry -> assertEquals(9, usable(entry), entry.id));
    }

    @Test
    void leasesOfReplacedEntriesAreDeletedInTime() {
        Fleet fleet = Fleet.started(43, 4, 1, true, 2);
        FleetEntry replaced = fleet.entries.get(1);
        replaced.kill();
        fleet.run(Duration.ofMinutes(90));
        assertEquals(3, fleet.store.list("entries/").await().indefinitely().size());
        replaced.start();
        fleet.run(Duration.ofMinutes(1));
        assertEquals(4, usable(fleet.entries.get(0)));
        assertTrue(replaced.control().state().leaseValid());
    }

    private static boolean isSuspected(FleetEntry entry, String other) {
        return entry.control().state().members().stream()
                .anyMatch(m -> m.id().value().equals(other) && m.state() == MemberState.SUSPECT);
    }

    private static long usable(FleetEntry entry) {
        return entry.control().state().members().stream()
                .filter(member -> member.isUsable())
                .count();
    }

    private static void assertAllAt(Fleet fleet, long generation) {
        fleet.entries.forEach(
                entry -> assertEquals(generation, entry.control().config().generation(), entry.id));
    }
}
