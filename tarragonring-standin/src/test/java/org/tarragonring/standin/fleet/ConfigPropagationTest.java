package org.tarragonring.standin.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tarragonring.config.ConfigManifest;
import org.tarragonring.objects.StoreException;
import org.tarragonring.operator.ConfigRepository;
import org.tarragonring.peer.MemberState;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks that published configurations and membership changes reach all entries despite faults. */
class ConfigPropagationTest {

    private static final Duration MAX_PROPAGATION_TIME = Duration.ofSeconds(14);

    @Test
    void publishedConfigBecomesActiveOnAllEntries() {
        Fleet fleet = Fleet.startNew(31, 24, 1, true, 40);
        fleet.publish(40, 2);
        fleet.runFor(MAX_PROPAGATION_TIME);
        assertGenerationOnAllEntries(fleet, 2);
    }

    @Test
    void publishedConfigBecomesActiveOnAllEntriesDespiteDatagramLoss() {
        Fleet fleet = Fleet.startNew(32, 24, 1, true, 40);
        fleet.datagramLossProbability = 0.3;
        fleet.publish(40, 2);
        fleet.runFor(MAX_PROPAGATION_TIME);
        assertGenerationOnAllEntries(fleet, 2);
    }

    @Test
    void isolatedEntryCatchesUpAfterReconnecting() {
        Fleet fleet = Fleet.startNew(33, 12, 1, true, 10);
        FleetEntry isolatedEntry = fleet.entries.get(3);
        isolatedEntry.isolated = true;
        fleet.publish(10, 2);
        fleet.runFor(Duration.ofMinutes(3));
        assertEquals(1, isolatedEntry.control().config().generation());
        isolatedEntry.isolated = false;
        fleet.runFor(MAX_PROPAGATION_TIME);
        assertGenerationOnAllEntries(fleet, 2);
    }

    @Test
    void isolatedFailureDomainCatchesUpAfterReconnecting() {
        Fleet fleet = Fleet.startNew(34, 12, 1, true, 10);
        List<FleetEntry> domainEntries = fleet.entries.stream()
                .filter(e -> e.failureDomain().equals("domain-1"))
                .toList();
        domainEntries.forEach(entry -> entry.isolated = true);
        fleet.publish(10, 2);
        fleet.publish(10, 3);
        fleet.runFor(Duration.ofMinutes(5));
        domainEntries.forEach(entry -> entry.isolated = false);
        fleet.runFor(MAX_PROPAGATION_TIME);
        assertGenerationOnAllEntries(fleet, 3);
    }

    @Test
    void resumedEntryCatchesUpWithoutReturningToAnOlderGeneration() {
        Fleet fleet = Fleet.startNew(35, 8, 1, true, 10);
        FleetEntry paused = fleet.entries.get(2);
        paused.pause();
        fleet.publish(10, 2);
        fleet.runFor(Duration.ofSeconds(60));
        paused.resume();
        fleet.runFor(MAX_PROPAGATION_TIME);
        assertGenerationOnAllEntries(fleet, 2);
    }

    @Test
    void thirdOfEntriesRestartedAtOnceCatchesUp() {
        Fleet fleet = Fleet.startNew(36, 12, 1, true, 10);
        fleet.publish(10, 2);
        fleet.entries.subList(0, 4).forEach(FleetEntry::kill);
        fleet.runFor(Duration.ofSeconds(1));
        fleet.entries.subList(0, 4).forEach(FleetEntry::start);
        fleet.runFor(MAX_PROPAGATION_TIME);
        assertGenerationOnAllEntries(fleet, 2);
    }

    @Test
    void startingEntryBecomesReadyOnlyWithLatestConfig() {
        Fleet fleet = Fleet.startNew(37, 6, 1, true, 10);
        fleet.publish(10, 2);
        fleet.runFor(MAX_PROPAGATION_TIME);
        FleetEntry entry = fleet.entries.get(1);
        entry.kill();
        entry.start();
        fleet.runFor(Duration.ofMillis(50));
        assertFalse(entry.control().isReady());
        fleet.runFor(MAX_PROPAGATION_TIME);
        assertTrue(entry.control().isReady());
    }

    // Guards against a generation that is not active in time, as the relays wait for answers that never arrive.
    @ParameterizedTest
    @ValueSource(longs = {40, 41, 42, 43, 44})
    void publishedConfigBecomesActiveAfterTheStoreLeftWatchesUnanswered(long seed) {
        Fleet fleet = Fleet.startNew(seed, 3, 1, true, 10);
        fleet.watchesSilent = true;
        fleet.runFor(Duration.ofSeconds(21));
        fleet.watchesSilent = false;
        fleet.publish(10, 2);
        fleet.runFor(MAX_PROPAGATION_TIME);
        assertGenerationOnAllEntries(fleet, 2);
    }

    @Test
    void entriesStayReadyDuringPlatformOutage() {
        Fleet fleet = Fleet.startNew(38, 6, 1, true, 10);
        fleet.platformDown = true;
        fleet.runFor(Duration.ofMinutes(2));
        assertTrue(fleet.entries.stream().allMatch(e -> e.control().isReady()));
    }

    @Test
    void onlyOneOfTwoConcurrentPublishesSucceeds() {
        Fleet fleet = Fleet.startNew(39, 8, 1, true, 10);
        ConfigRepository repository = new ConfigRepository(fleet.store);
        Optional<ConfigManifest> base = repository.head().await().indefinitely();
        repository
                .publish(base, "first", Fleet.configuration(10, 2, "v1").objects())
                .await()
                .indefinitely();
        StoreException.Kind kind = null;
        try {
            repository
                    .publish(base, "second", Fleet.configuration(10, 3, "v1").objects())
                    .await()
                    .indefinitely();
        } catch (StoreException e) {
            kind = e.kind();
        }
        assertEquals(StoreException.Kind.CONFLICT, kind);
        fleet.runFor(MAX_PROPAGATION_TIME);
        assertGenerationOnAllEntries(fleet, 2);
    }

    @Test
    void killedEntryIsUnusableUntilItRestarts() {
        Fleet fleet = Fleet.startNew(40, 8, 1, true, 10);
        FleetEntry killed = fleet.entries.get(5);
        killed.kill();
        fleet.runFor(Duration.ofSeconds(40));
        assertEquals(7, countUsableMembers(fleet.entries.get(0)));
        killed.start();
        fleet.runFor(Duration.ofSeconds(20));
        assertEquals(8, countUsableMembers(fleet.entries.get(0)));
        assertEquals(8, countUsableMembers(killed));
    }

    @Test
    void suspicionExpiresEvenIfTheEntryThatRaisedItDies() {
        for (int seed = 50; seed < 60; seed++) {
            Fleet fleet = Fleet.startNew(seed, 4, 1, true, 2);
            fleet.entries.get(3).kill();
            FleetEntry survivor = fleet.entries.get(0);
            for (int i = 0; i < 400 && !isSuspected(survivor, "entry-3"); i++) {
                fleet.runFor(Duration.ofMillis(50));
            }
            fleet.entries.get(1).kill();
            fleet.entries.get(2).kill();
            fleet.runFor(Duration.ofSeconds(60));
            assertEquals(1, countUsableMembers(survivor), "seed " + seed);
        }
    }

    @Test
    void reconnectedEntryRefutesItsDeathAndBecomesUsable() {
        Fleet fleet = Fleet.startNew(41, 8, 1, true, 10);
        FleetEntry isolatedEntry = fleet.entries.get(5);
        isolatedEntry.isolated = true;
        fleet.runFor(Duration.ofSeconds(60));
        assertEquals(7, countUsableMembers(fleet.entries.get(0)));
        isolatedEntry.isolated = false;
        fleet.runFor(Duration.ofSeconds(60));
        assertEquals(8, countUsableMembers(fleet.entries.get(0)));
        assertEquals(8, countUsableMembers(isolatedEntry));
    }

    @Test
    void entriesConvergeAfterOneWayNetworkFaults() {
        Fleet fleet = Fleet.startNew(42, 9, 1, true, 10);
        fleet.entries.get(3).dropsReceivedDatagrams = true;
        fleet.entries.get(4).dropsSentDatagrams = true;
        fleet.publish(10, 2);
        fleet.runFor(Duration.ofMinutes(2));
        fleet.entries.get(3).dropsReceivedDatagrams = false;
        fleet.entries.get(4).dropsSentDatagrams = false;
        fleet.runFor(MAX_PROPAGATION_TIME);
        assertGenerationOnAllEntries(fleet, 2);
        fleet.runFor(Duration.ofSeconds(60));
        fleet.entries.forEach(entry -> assertEquals(9, countUsableMembers(entry), entry.id));
    }

    @Test
    void staleLeaseIsDeletedAndItsEntryCanRejoin() {
        Fleet fleet = Fleet.startNew(43, 4, 1, true, 2);
        FleetEntry restarted = fleet.entries.get(1);
        restarted.kill();
        fleet.runFor(Duration.ofMinutes(90));
        assertEquals(3, fleet.store.list("entries/").await().indefinitely().size());
        restarted.start();
        fleet.runFor(Duration.ofMinutes(1));
        assertEquals(4, countUsableMembers(fleet.entries.get(0)));
        assertTrue(restarted.control().state().leaseValid());
    }

    private static boolean isSuspected(FleetEntry entry, String other) {
        return entry.control().state().members().stream()
                .anyMatch(m -> m.id().value().equals(other) && m.state() == MemberState.SUSPECT);
    }

    private static long countUsableMembers(FleetEntry entry) {
        return entry.control().state().members().stream()
                .filter(member -> member.isUsable())
                .count();
    }

    private static void assertGenerationOnAllEntries(Fleet fleet, long generation) {
        fleet.entries.forEach(
                entry -> assertEquals(generation, entry.control().config().generation(), entry.id));
    }
}
