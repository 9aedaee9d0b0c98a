package org.tarragonring.cli.bench;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.tarragonring.config.ConfigSet;
import org.tarragonring.config.Model;
import org.tarragonring.dispatch.CallAssignment;
import org.tarragonring.dispatch.DispatchRequest;
import org.tarragonring.errors.CallException;
import org.tarragonring.ids.SlotId;
import org.tarragonring.standin.VirtualTime;
import org.tarragonring.standin.engine.StandInEngine;

/**
 * Generates the calls of a virtual site. Each model alternates between an idle period, whose mean length differs per
 * model, and a burst of calls at many entries, followed by single calls for up to a few minutes.
 */
final class ColdStartWorkload {

    private static final double MIN_MEAN_IDLE_SECONDS = 120;
    private static final double MAX_MEAN_IDLE_SECONDS = 7200;
    private static final int MAX_CALLS_PER_BURST = 30;
    private static final int FOLLOW_UP_CALLS_BOUND = 12;
    private static final double MEAN_FOLLOW_UP_GAP_SECONDS = 12;
    private static final double BURST_DURATION_MILLIS = 400;
    private static final Duration IDLE_MEMORY_SAMPLE_PERIOD = Duration.ofSeconds(1);
    /** A burst counts as returning if it starts within this time after the last call of the model. */
    private static final long RETURNING_WITHIN_MILLIS = Duration.ofMinutes(10).toMillis();

    private static final int TOKENS_PER_CALL = 40;
    private static final int MAX_ATTEMPTS = 4;

    private final VirtualSite site;
    private final VirtualTime time;
    private final List<Model> models;
    private final Random random;
    private final ColdStartResult result = new ColdStartResult();

    ColdStartWorkload(VirtualSite site, ConfigSet config, long seed) {
        this.site = site;
        this.time = site.time();
        this.random = new Random(seed);
        this.models = config.models().stream()
                .sorted(Comparator.comparing(Model::name))
                .toList();
    }

    /** Runs the workload for a period of virtual time and returns its results. */
    ColdStartResult run(Duration duration) {
        for (Model model : models) {
            double logRange = Math.log(MAX_MEAN_IDLE_SECONDS / MIN_MEAN_IDLE_SECONDS);
            double meanIdleSeconds = MIN_MEAN_IDLE_SECONDS * Math.exp(random.nextDouble() * logRange);
            Random modelRandom = new Random(random.nextLong());
            schedule(
                    exponential(modelRandom, meanIdleSeconds) * modelRandom.nextDouble(),
                    () -> startBurst(model, meanIdleSeconds, modelRandom, -1));
        }
        time.scheduleWithFixedDelay(IDLE_MEMORY_SAMPLE_PERIOD, this::sampleIdleMemory);
        time.advance(duration);
        recordLoadCounts();
        return result;
    }

    /** Sends calls of the first model to all entries at once and returns a description of the outcome. */
    String runBurst(int callCount) {
        Model model = models.get(0);
        long startMillis = time.millis();
        for (int i = 0; i < callCount; i++) {
            int entry = i % VirtualSite.ENTRY_COUNT;
            schedule(random.nextDouble() * 0.2, () -> sendCall(model, entry, false));
        }
        time.advance(Duration.ofMinutes(1));
        recordLoadCounts();
        return "burst of %d calls for one cold model at %d entries: %d loads, first tokens %d to %d ms after arrival, %d refused, started at %d ms"
                .formatted(
                        callCount,
                        VirtualSite.ENTRY_COUNT,
                        result.loads,
                        result.coldMillis.getMinValue(),
                        result.coldMillis.getMaxValue(),
                        result.refused,
                        startMillis);
    }

    /**
     * Schedules a burst of calls, the single calls after it and, after an idle period, the next burst.
     *
     * @param model the model to call, not null
     * @param meanIdleSeconds the mean length of the model's idle periods in seconds
     * @param modelRandom the random numbers of this model, not null
     * @param lastCallMillis the time of the last call of the previous burst in milliseconds, -1 if there is none
     */
    private void startBurst(Model model, double meanIdleSeconds, Random modelRandom, long lastCallMillis) {
        boolean isReturning = lastCallMillis >= 0 && time.millis() - lastCallMillis <= RETURNING_WITHIN_MILLIS;
        int burstCalls = 1 + modelRandom.nextInt(MAX_CALLS_PER_BURST);
        for (int i = 0; i < burstCalls; i++) {
            int entry = modelRandom.nextInt(VirtualSite.ENTRY_COUNT);
            schedule(
                    modelRandom.nextDouble() * BURST_DURATION_MILLIS / 1000, () -> sendCall(model, entry, isReturning));
        }
        double offsetSeconds = 1;
        int followUpCalls = modelRandom.nextInt(FOLLOW_UP_CALLS_BOUND);
        for (int i = 0; i < followUpCalls; i++) {
            offsetSeconds += exponential(modelRandom, MEAN_FOLLOW_UP_GAP_SECONDS);
            int entry = modelRandom.nextInt(VirtualSite.ENTRY_COUNT);
            schedule(offsetSeconds, () -> sendCall(model, entry, false));
        }
        long lastScheduledMillis = time.millis() + (long) (offsetSeconds * 1000);
        schedule(
                offsetSeconds + exponential(modelRandom, meanIdleSeconds),
                () -> startBurst(model, meanIdleSeconds, modelRandom, lastScheduledMillis));
    }

    private void sendCall(Model model, int entry, boolean isReturning) {
        result.calls++;
        attempt(new Call(model, entry, time.millis(), isCold(model), isReturning), 1);
    }

    private void attempt(Call call, int attempt) {
        long deadlineMillis =
                call.arrivedMillis + call.model.callClass().deadline().toMillis();
        DispatchRequest request =
                new DispatchRequest(call.model.callClass().priority(), deadlineMillis, 0, Set.of(), Set.of(), 0);
        site.dispatchers(call.entry)
                .getOrCreate(call.model.name())
                .acquire(call.model, request)
                .whenComplete((assignment, failure) -> {
                    if (failure != null) {
                        result.addRefusal(CallException.of(failure).reason().code());
                    } else {
                        serve(call, assignment, attempt);
                    }
                });
    }

    /** Checks whether no engine has the model loaded. */
    private boolean isCold(Model model) {
        return site.engines().stream()
                .allMatch(engine -> engine.slotsOf(model.name()).stream()
                        .noneMatch(slot -> engine.status()
                                .await()
                                .indefinitely()
                                .find(slot)
                                .orElseThrow()
                                .loaded()));
    }

    private void serve(Call call, CallAssignment assignment, int attempt) {
        StandInEngine engine = site.engine(assignment.target().upstream());
        SlotId slot = new SlotId(assignment.target().name());
        if (!engine.beginCall(slot, null)) {
            assignment.release(CallAssignment.Outcome.NOT_LOADED);
            if (attempt < MAX_ATTEMPTS) {
                attempt(call, attempt + 1);
            } else {
                result.addRefusal("not_loaded");
            }
            return;
        }
        long engineFirstTokenMillis = engine.profile().timeToFirstToken().toMillis();
        long timeToFirstTokenMillis = time.millis() - call.arrivedMillis + engineFirstTokenMillis;
        if (call.wasCold) {
            result.coldMillis.recordValue(timeToFirstTokenMillis);
        }
        if (call.isReturning) {
            result.returningMillis.recordValue(timeToFirstTokenMillis);
        }
        long callDurationMillis = engineFirstTokenMillis
                + TOKENS_PER_CALL * engine.profile().tokenInterval().toMillis();
        time.schedule(Duration.ofMillis(callDurationMillis), () -> {
            engine.endCall(slot);
            assignment.release(CallAssignment.Outcome.ANSWERED);
        });
    }

    /** Adds a sample of the idle memory, which stands for one second. */
    private void sampleIdleMemory() {
        result.idleByteSeconds +=
                site.engines().stream().mapToLong(StandInEngine::idleBytes).sum();
    }

    private void recordLoadCounts() {
        result.loads =
                site.engines().stream().mapToInt(StandInEngine::startedLoads).sum();
        result.unloads = site.engines().stream()
                .mapToInt(StandInEngine::completedUnloads)
                .sum();
    }

    private void schedule(double seconds, Runnable action) {
        time.schedule(Duration.ofNanos((long) (seconds * 1e9)), action);
    }

    private static double exponential(Random random, double mean) {
        return -Math.log(1 - random.nextDouble()) * mean;
    }

    private record Call(Model model, int entry, long arrivedMillis, boolean wasCold, boolean isReturning) {}
}
