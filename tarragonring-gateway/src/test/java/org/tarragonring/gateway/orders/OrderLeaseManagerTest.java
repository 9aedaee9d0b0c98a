package org.tarragonring.gateway.orders;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tarragonring.gateway.GatewaySettings;
import org.tarragonring.gateway.ManualTime;
import org.tarragonring.gateway.mesh.Mesh;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.HostPort;
import org.tarragonring.objects.Json;
import org.tarragonring.objects.StoredObject;
import org.tarragonring.policy.budget.RetryBudgetSettings;
import org.tarragonring.time.Delays;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** An entry that stops must not leave leases behind that no entry uses and that others must wait for. */
class OrderLeaseManagerTest {

    private static final EntryId SELF = new EntryId("entry-1");
    private static final HostPort ADDRESS = new HostPort("127.0.0.1", 1);
    private static final Duration START_TIME = Duration.ofSeconds(5);

    private static final Duration TAKEOVER_TIME = GroupLease.VALIDITY.plusSeconds(3);

    private final ManualTime time = new ManualTime();
    private final PausableStore store = new PausableStore();
    private final Vertx vertx = Vertx.vertx();
    private final List<GroupLease> leases = new ArrayList<>();
    private final List<Integer> acquiredGroups = new ArrayList<>();
    private final OrderLeaseManager manager = createManager();

    @AfterEach
    void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    @Test
    void stopReleasesHeldLeases() {
        manager.start();
        time.advance(START_TIME);
        assertEquals(OrderGroups.GROUP_COUNT, manager.heldGroupCount());

        manager.stop();

        assertEquals(0, manager.heldGroupCount());
        assertEquals(OrderGroups.GROUP_COUNT, releasedRecords());
    }

    // Guards against a lease that an entry acquires while it stops, and neither announces nor releases.
    @Test
    void leaseAcquiredDuringStopIsReleased() {
        manager.start();
        store.pauseWrites();
        time.advance(START_TIME);
        manager.stop();

        store.resumeWrites();

        assertEquals(0, manager.heldGroupCount());
        assertEquals(OrderGroups.GROUP_COUNT, releasedRecords());
        assertEquals(List.of(), acquiredGroups);
    }

    // Guards against a release that a renewal in flight defeats, so that others wait until the lease expires.
    @Test
    void releaseWaitsForRenewalInFlight() {
        manager.start();
        time.advance(START_TIME);
        time.skip(GroupLease.VALIDITY);
        store.pauseWrites();
        for (int group = 0; group < OrderGroups.GROUP_COUNT; group++) {
            leases.get(group).ensureValid().subscribe().with(valid -> {});
        }

        manager.stop();
        store.resumeWrites();

        assertEquals(OrderGroups.GROUP_COUNT, releasedRecords());
    }

    // Guards against two holders that alternate: the one before may not know yet that the store has lost its lease.
    @Test
    void ownAndReleasedRecordsOfAnEarlierEraAreTakenOverAfterTheHandoverDelay() {
        manager.start();
        time.advance(START_TIME);
        store.copy();

        store.restoreCopy();
        assertEquals(0, manager.heldGroupCount());
        time.advance(TAKEOVER_TIME.minusMillis(100));
        assertEquals(0, manager.heldGroupCount());
        time.advance(Duration.ofMillis(600));

        assertEquals(OrderGroups.GROUP_COUNT, manager.heldGroupCount());
    }

    // Guards against a record that is absent because the store has lost it, and is taken for one that never existed.
    @Test
    void lostRecordsAreTakenOverAfterTheHandoverDelay() {
        store.copy();
        manager.start();
        time.advance(START_TIME);

        store.restoreCopy();
        time.advance(TAKEOVER_TIME.minusMillis(100));
        assertEquals(0, manager.heldGroupCount());
        time.advance(Duration.ofMillis(600));

        assertEquals(OrderGroups.GROUP_COUNT, manager.heldGroupCount());
    }

    private OrderLeaseManager createManager() {
        GatewaySettings settings = new GatewaySettings(
                SELF,
                "z1",
                ADDRESS,
                200,
                ADDRESS,
                "key",
                Duration.ofSeconds(3),
                Duration.ofSeconds(2),
                Duration.ofSeconds(3),
                true,
                Duration.ofSeconds(8),
                new RetryBudgetSettings(0.2, 50, Duration.ofSeconds(10)));
        for (int group = 0; group < OrderGroups.GROUP_COUNT; group++) {
            leases.add(new GroupLease(group, SELF, true, store, time, time, new Delays(time)));
        }
        Mesh mesh = new Mesh(settings, vertx, store, time, time, time, new Random(1));
        OrderLeaseManager created =
                new OrderLeaseManager(SELF, mesh, leases, settings.handoverDelay(), () -> true, time, time);
        created.onAcquired(acquiredGroups::add);
        return created;
    }

    private int releasedRecords() {
        int released = 0;
        for (StoredObject object : store.list(GroupLease.KEY_PREFIX).await().indefinitely()) {
            released += Json.read(object.value(), GroupLease.LeaseRecord.class).released() ? 1 : 0;
        }
        return released;
    }
}
