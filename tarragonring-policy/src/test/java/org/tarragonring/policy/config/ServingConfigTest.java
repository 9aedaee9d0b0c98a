package org.tarragonring.policy.config;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.ServiceName;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks that calls get the route with the longest matching prefix and are split between its services by weight. */
class ServingConfigTest {

    private static final ServiceName ASSISTANT = new ServiceName("assistant");
    private static final ServiceName SHOP = new ServiceName("shop");

    private final Route shortPrefix =
            route("wide", "/shop/", RouteKind.IDEMPOTENT, List.of(new WeightedService(SHOP, 1)));
    private final Route longPrefix =
            route("narrow", "/shop/book/", RouteKind.NON_IDEMPOTENT, List.of(new WeightedService(SHOP, 1)));
    private final ServingConfig config =
            new ServingConfig(3, List.of(shortPrefix, longPrefix), Map.of(), RequestLimits.DEFAULT, Optional.empty());

    @Test
    void longestMatchingPrefixIsSelected() {
        assertEquals(Optional.of(longPrefix), config.findRoute("shop.example", "/shop/book/7"));
        assertEquals(Optional.of(shortPrefix), config.findRoute("shop.example", "/shop/bookings"));
    }

    @Test
    void hostMatchIgnoresPortAndCase() {
        assertEquals(Optional.of(shortPrefix), config.findRoute("Shop.Example:8080", "/shop/x"));
    }

    @Test
    void unknownHostOrPathHasNoRoute() {
        assertEquals(Optional.empty(), config.findRoute("other.example", "/shop/x"));
        assertEquals(Optional.empty(), config.findRoute("shop.example", "/shop"));
    }

    @Test
    void callsAreSplitByWeight() {
        Route split = route(
                "split",
                "/s/",
                RouteKind.IDEMPOTENT,
                List.of(new WeightedService(ASSISTANT, 90), new WeightedService(SHOP, 10)));

        assertEquals(ASSISTANT, split.selectService(0));
        assertEquals(ASSISTANT, split.selectService(0.899));
        assertEquals(SHOP, split.selectService(0.9));
    }

    @Test
    void weightsMayBeFractions() {
        Route split = route(
                "split",
                "/s/",
                RouteKind.IDEMPOTENT,
                List.of(
                        new WeightedService(ASSISTANT, 0.1),
                        new WeightedService(SHOP, 0.7),
                        new WeightedService(ASSISTANT, 0)));

        assertEquals(ASSISTANT, split.selectService(0.12));
        assertEquals(SHOP, split.selectService(0.13));
        assertEquals(SHOP, split.selectService(Math.nextDown(1.0)));
    }

    @Test
    void serviceWithZeroWeightGetsNoCalls() {
        Route split = route(
                "split",
                "/s/",
                RouteKind.IDEMPOTENT,
                List.of(new WeightedService(ASSISTANT, 0), new WeightedService(SHOP, 10)));

        assertEquals(SHOP, split.selectService(0));
    }

    // Guards against a route that is left out, so that its calls run on the service of a shorter prefix.
    @Test
    void routeWithoutServiceMatchesButSelectsNone() {
        Route none = route("none", "/shop/book/n/", RouteKind.IDEMPOTENT, List.of());
        ServingConfig withNone = new ServingConfig(
                3, List.of(shortPrefix, longPrefix, none), Map.of(), RequestLimits.DEFAULT, Optional.empty());

        assertEquals(Optional.of(none), withNone.findRoute("shop.example", "/shop/book/n/7"));
        assertFalse(none.isServable());
        assertTrue(longPrefix.isServable());
        assertThrows(IllegalStateException.class, () -> none.selectService(0));
    }

    @Test
    void maxCallerWaitOfStreamIsTheLongestOfItsLowerBounds() {
        assertEquals(Duration.ofSeconds(10), stream(2_500, 400).maxCallerWait());
        assertEquals(Duration.ofMillis(3_200), stream(500, 400).maxCallerWait());
        assertEquals(Duration.ofSeconds(2), stream(100, 100).maxCallerWait());
        assertEquals(Duration.ofSeconds(30), shortPrefix.maxCallerWait());
    }

    private static Route stream(long latencyObjectiveMillis, long eventGapMillis) {
        return new Route(
                "stream",
                "shop.example",
                "/stream/",
                RouteKind.STREAM,
                Duration.ofSeconds(30),
                Duration.ofMillis(latencyObjectiveMillis),
                Duration.ofMillis(eventGapMillis),
                1,
                1,
                false,
                false,
                List.of(new WeightedService(ASSISTANT, 1)));
    }

    private static Route route(String name, String prefix, RouteKind kind, List<WeightedService> services) {
        return new Route(
                name,
                "shop.example",
                prefix,
                kind,
                Duration.ofSeconds(30),
                Duration.ofSeconds(1),
                Duration.ZERO,
                1,
                1,
                false,
                false,
                services);
    }
}
