package org.tarragonring.gateway.team;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.smallrye.mutiny.Uni;
import org.junit.jupiter.api.Test;
import org.tarragonring.entry.Clocks;
import org.tarragonring.gateway.ManualTime;
import org.tarragonring.gateway.MemoryStore;
import org.tarragonring.gateway.follow.StoreWatcher;
import org.tarragonring.gateway.metrics.GatewayMetrics;
import org.tarragonring.ids.EntryId;
import org.tarragonring.policy.config.RequestLimits;
import org.tarragonring.policy.config.ServingConfig;
import org.tarragonring.policy.team.KeySettings;
import org.tarragonring.policy.team.TeamDirectory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Operators and the platform must see that an entry refuses calls with keys, and only where it does. */
class KeyedCallsTest {

    private final ManualTime time = new ManualTime();
    private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
    private Uni<?> configRequest = Uni.createFrom().failure(new IllegalStateException("unreachable"));
    private boolean readable = true;
    private Optional<TeamDirectory> teams = Optional.of(new TeamDirectory(List.of(), Map.of()));

    @Test
    void refusalIsShownFromTheBoundAfterTheLastAnsweredRequestOn() {
        KeyedCalls keyedCalls = create(new KeySettings(Duration.ofSeconds(5), true));
        watch(keyedCalls);

        time.advance(Duration.ofMillis(4_700));
        assertTrue(keyedCalls.refusalReason().isEmpty());
        time.advance(Duration.ofMillis(100));

        assertFalse(keyedCalls.refusalReason().isEmpty());
        assertEquals(1, registry.get("tarragonring.keys.refused").gauge().value());
        assertEquals(
                4_800,
                registry.get("tarragonring.keys.confirmed.age.ms").gauge().value());
    }

    // Guards against calls that are refused while only the watch hangs, as when the store drops its history.
    @Test
    void requestBesideAHangingWatchKeepsKeysInUse() {
        configRequest = Uni.createFrom().voidItem();
        KeyedCalls keyedCalls = create(new KeySettings(Duration.ofSeconds(5), true));
        watch(keyedCalls);

        for (int second = 0; second < 20; second++) {
            time.advance(Duration.ofSeconds(1));
            assertTrue(keyedCalls.refusalReason().isEmpty(), "refused after " + second + " s");
        }
    }

    // Guards against a removed key that is served because the version which removes it cannot be read.
    @Test
    void answeredRequestConfirmsNothingWhileTheStoredVersionCannotBeRead() {
        AtomicInteger requests = new AtomicInteger();
        configRequest = Uni.createFrom().voidItem().invoke(requests::incrementAndGet);
        KeyedCalls keyedCalls = create(new KeySettings(Duration.ofSeconds(5), true));
        watch(keyedCalls);
        readable = false;

        time.advance(Duration.ofSeconds(20));
        assertFalse(keyedCalls.refusalReason().isEmpty());
        assertEquals(0, requests.get(), "requests that cannot confirm anything");

        readable = true;
        time.advance(Duration.ofSeconds(1));
        assertTrue(keyedCalls.refusalReason().isEmpty());
    }

    @Test
    void nothingIsRefusedWithoutTeamsOrWithoutABound() {
        KeyedCalls bounded = create(new KeySettings(Duration.ofSeconds(5), true));
        teams = Optional.empty();
        assertTrue(bounded.refusalReason().isEmpty());

        teams = Optional.of(new TeamDirectory(List.of(), Map.of()));
        assertTrue(create(KeySettings.OFF).refusalReason().isEmpty());
    }

    /** Lists the configuration once; the watch after that is not answered. */
    private void watch(KeyedCalls keyedCalls) {
        StoreWatcher watcher = new StoreWatcher(
                "config/",
                Duration.ofMillis(1_700),
                Duration.ZERO,
                new MemoryStore(),
                time,
                time,
                object -> {},
                key -> {});
        keyedCalls.follow(watcher, () -> configRequest, () -> readable);
        watcher.start();
        keyedCalls.start();
    }

    private KeyedCalls create(KeySettings settings) {
        return new KeyedCalls(
                new EntryId("front-1"),
                settings,
                () -> Optional.of(new ServingConfig(1, List.of(), Map.of(), RequestLimits.DEFAULT, teams)),
                new Clocks(time, time),
                time,
                new GatewayMetrics(registry));
    }
}
