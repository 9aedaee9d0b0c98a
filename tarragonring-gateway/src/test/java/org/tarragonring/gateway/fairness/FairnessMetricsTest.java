package org.tarragonring.gateway.fairness;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.junit.jupiter.api.Test;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.TeamName;
import org.tarragonring.policy.config.Route;
import org.tarragonring.policy.config.RouteKind;
import org.tarragonring.policy.config.WeightedService;
import org.tarragonring.policy.team.Team;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class FairnessMetricsTest {

    private static final ServiceName SERVICE = new ServiceName("llm");

    private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
    private final FairnessMetrics metrics = new FairnessMetrics(registry);

    // Guards against as many time series as a configuration has teams.
    @Test
    void teamsBeyondTheFirstFiftyShareALabel() {
        for (int i = 0; i < 60; i++) {
            metrics.recordCall(call(Optional.of("team" + i)), "answered");
        }
        metrics.recordCall(call(Optional.of("team0")), "answered");
        metrics.recordCall(call(Optional.empty()), "answered");

        assertEquals(2, count("team0"));
        assertEquals(10, count("other"));
        assertEquals(1, count("anonymous"));
        assertEquals(52, registry.find("tarragonring.team.calls").counters().size());
    }

    @Test
    void demotedCallsAndRefusalTimesAreRecorded() {
        FairCall call = call(Optional.of("loud"));
        call.wasDemoted = true;
        metrics.recordCall(call, "refused");
        metrics.recordRefusal(300);

        assertEquals(
                1, registry.get("tarragonring.team.calls.demoted").counter().count());
        assertEquals(1, registry.get("tarragonring.calls.refusal").timer().count());
    }

    // Guards against a time to refusal of which operators see only the sum.
    @Test
    void timeToRefusalIsPublishedWithQuantilesAndBuckets() {
        PrometheusMeterRegistry published = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        FairnessMetrics publishedMetrics = new FairnessMetrics(published);
        publishedMetrics.recordRefusal(300);
        String text = published.scrape();

        assertTrue(text.contains("tarragonring_calls_refusal_seconds_bucket{le=\"0.5\"} 1"), text);
        assertTrue(text.contains("tarragonring_calls_refusal_quantiles_seconds{quantile=\"0.99\"}"), text);
    }

    private double count(String team) {
        return registry.get("tarragonring.team.calls")
                .tag("team", team)
                .counter()
                .count();
    }

    private static FairCall call(Optional<String> team) {
        Route route = new Route(
                "queries",
                "host",
                "/",
                RouteKind.STREAM,
                Duration.ofSeconds(15),
                Duration.ofSeconds(1),
                Duration.ZERO,
                0,
                1,
                false,
                false,
                List.of(new WeightedService(SERVICE, 1)));
        return new FairCall(
                team.map(name -> new Team(new TeamName(name), 0, Optional.empty())),
                route,
                SERVICE,
                Optional.empty(),
                Optional.empty(),
                0,
                0);
    }
}
