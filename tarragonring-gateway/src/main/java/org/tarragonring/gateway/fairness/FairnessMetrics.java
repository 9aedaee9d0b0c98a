package org.tarragonring.gateway.fairness;

import java.time.Duration;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import org.tarragonring.ids.TeamName;

/**
 * Records how the calls of teams end.
 *
 * @since 0.2.0
 */
public final class FairnessMetrics {

    /** The number of teams with metrics of their own; each has one for each outcome. */
    static final int MAX_TEAMS = 50;

    /** Bucket bounds of the time to refusal, from an immediate one to the longest timeout of callers. */
    private static final Duration[] REFUSAL_BUCKETS = {
        Duration.ofMillis(10),
        Duration.ofMillis(50),
        Duration.ofMillis(200),
        Duration.ofMillis(500),
        Duration.ofSeconds(1),
        Duration.ofSeconds(2),
        Duration.ofSeconds(5),
        Duration.ofSeconds(10)
    };

    private static final String OTHER_TEAMS = "other";

    private static final String ANONYMOUS = "anonymous";

    private final MeterRegistry registry;
    private final Set<TeamName> named = new HashSet<>();

    /**
     * Creates the metrics.
     *
     * @param registry the registry that holds the meters, not null
     */
    public FairnessMetrics(MeterRegistry registry) {
        this.registry = Objects.requireNonNull(registry, "registry");
    }

    void recordCall(FairCall call, String outcome) {
        String team = call.team.map(known -> label(known.name())).orElse(ANONYMOUS);
        registry.counter("tarragonring.team.calls", "outcome", outcome, "team", team)
                .increment();
        if (call.wasDemoted) {
            registry.counter("tarragonring.team.calls.demoted", "team", team).increment();
        }
    }

    /** Records the time in a histogram, which can be summed up over entries, and in the quantiles of this entry. */
    void recordRefusal(long durationMillis) {
        Duration duration = Duration.ofMillis(durationMillis);
        Timer.builder("tarragonring.calls.refusal")
                .serviceLevelObjectives(REFUSAL_BUCKETS)
                .register(registry)
                .record(duration);
        Timer.builder("tarragonring.calls.refusal.quantiles")
                .publishPercentiles(0.5, 0.99)
                .register(registry)
                .record(duration);
    }

    /** Returns the name of one of the first teams that had calls, and a common label for the others. */
    private String label(TeamName team) {
        boolean isNamed = named.contains(team) || named.size() < MAX_TEAMS && named.add(team);
        return isNamed ? team.value() : OTHER_TEAMS;
    }
}
