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
 * Calls a virtual site: each model sleeps for a while of its own typical length, wakes with a burst at many entries
 * and is then called now and then for some minutes.
 */
final class ColdStartLoad {

    private static final double MIN_MEAN_QUIET_SECONDS = 120;
    private static final double MAX_MEAN_QUIET_SECONDS = 7200;
    private static final int MAX_BURST = 30;
    private static final int MAX_FOLLOWING = 12;
    private static final double FOLLOWING_GAP_SECONDS = 12;
    private static final double BURST_SPREAD_MILLIS = 400;
    private static final Duration SAMPLE = Duration.ofSeconds(1);
    private static final long RETURNS_WITHIN_MILLIS = Duration.ofMinutes(10).toMillis();
    private static final int TOKENS = 40;
    private static final int MAX_ATTEMPTS = 4;

    private final VirtualSite site;
    private final VirtualTime time;
    private final List<Model> models;
    private final Random random;
    private final ColdStartResult result = new ColdStartResult();

    ColdStartLoad(VirtualSite site, ConfigSet set, long seed) {
        this.site = site;
        this.time = site.time();
        this.random = new Random(seed);
        this.models =
                set.models().stream().sorted(Comparator.comparing(Model::name)).toList();
    }

    ColdStartResult run(Duration duration) {
        for (Model model : models) {
            double logRange = Math.log(MAX_MEAN_QUIET_SECONDS / MIN_MEAN_QUIET_SECONDS);
            double meanSeconds = MIN_MEAN_QUIET_SECONDS * Math.exp(random.nextDouble() * logRange);
            Random own = new Random(random.nextLong());
            schedule(exponential(own, meanSeconds) * own.nextDouble(), () -> wake(model, meanSeconds, own, -1));
        }
        time.scheduleWithFixedDelay(SAMPLE, this::sample);
        time.advance(duration);
        finish();
        return result;
    }

    /** Lets calls for the first model arrive at all entries at once and describes what came of it. */
    String burst(int calls) {
        Model model = models.get(0);
        long startMillis = time.millis();
        for (int i = 0; i < calls; i++) {
            int entry = i % VirtualSite.ENTRIES;
            schedule(random.nextDouble() * 0.2, () -> call(model, entry, false));
        }
        time.advance(Duration.ofMinutes(1));
        finish();
        return "burst of %d calls for one cold model at %d entries: %d loads, first tokens %d to %d ms after arrival, %d refused, started at %d ms"
                .formatted(
                        calls,
                        VirtualSite.ENTRIES,
                        result.loads,
                        result.cold.getMinValue(),
                        result.cold.getMaxValue(),
                        result.refused,
                        startMillis);
    }

    private void wake(Model model, double meanSeconds, Random own, long lastMillis) {
        boolean returns = lastMillis >= 0 && time.millis() - lastMillis <= RETURNS_WITHIN_MILLIS;
        int burst = 1 + own.nextInt(MAX_BURST);
        for (int i = 0; i < burst; i++) {
            int entry = own.nextInt(VirtualSite.ENTRIES);
            schedule(own.nextDouble() * BURST_SPREAD_MILLIS / 1000, () -> call(model, entry, returns));
        }
        double atSeconds = 1;
        int following = own.nextInt(MAX_FOLLOWING);
        for (int i = 0; i < following; i++) {
            atSeconds += exponential(own, FOLLOWING_GAP_SECONDS);
            int entry = own.nextInt(VirtualSite.ENTRIES);
            schedule(atSeconds, () -> call(model, entry, false));
        }
        long endMillis = time.millis() + (long) (atSeconds * 1000);
        schedule(atSeconds + exponential(own, meanSeconds), () -> wake(model, meanSeconds, own, endMillis));
    }

    private void call(Model model, int entry, boolean returns) {
        result.calls++;
        attempt(new Call(model, entry, time.millis(), isCold(model), returns), 1);
    }

    private void attempt(Call call, int number) {
        long deadlineMillis =
                call.arrivedMillis + call.model.callClass().deadline().toMillis();
        DispatchRequest request =
                new DispatchRequest(call.model.callClass().priority(), deadlineMillis, 0, Set.of(), Set.of(), 0);
        site.dispatchers(call.entry)
                .getOrCreate(call.model.name())
                .acquire(call.model, request)
                .whenComplete((seat, failure) -> {
                    if (failure != null) {
                        result.refused(CallException.of(failure).reason().code());
                    } else {
                        serve(call, seat, number);
                    }
                });
    }

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

    private void serve(Call call, CallAssignment seat, int number) {
        StandInEngine engine = site.engine(seat.target().upstream());
        SlotId slot = new SlotId(seat.target().name());
        if (!engine.beginCall(slot, null)) {
            seat.release(CallAssignment.Outcome.NOT_LOADED);
            if (number < MAX_ATTEMPTS) {
                attempt(call, number + 1);
            } else {
                result.refused("not_loaded");
            }
            return;
        }
        long firstMillis = engine.profile().timeToFirstToken().toMillis();
        long tookMillis = time.millis() - call.arrivedMillis + firstMillis;
        if (call.wasCold) {
            result.cold.recordValue(tookMillis);
        }
        if (call.returns) {
            result.returning.recordValue(tookMillis);
        }
        long wholeMillis =
                firstMillis + TOKENS * engine.profile().tokenInterval().toMillis();
        time.schedule(Duration.ofMillis(wholeMillis), () -> {
            engine.endCall(slot);
            seat.release(CallAssignment.Outcome.ANSWERED);
        });
    }

    private void sample() {
        result.idleByteSeconds +=
                site.engines().stream().mapToLong(StandInEngine::idleBytes).sum();
    }

    private void finish() {
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

    private record Call(Model model, int entry, long arrivedMillis, boolean wasCold, boolean returns) {}
}
