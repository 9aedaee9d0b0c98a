package org.tarragonring.dispatch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.ReentrantLock;

import io.smallrye.mutiny.Uni;
import org.tarragonring.config.Adapter;
import org.tarragonring.errors.CallException;
import org.tarragonring.errors.RefusalReason;
import org.tarragonring.ids.SlotId;
import org.tarragonring.placement.LoadPermits;
import org.tarragonring.routing.Target;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;
import org.tarragonring.upstream.EngineDirectory;
import org.tarragonring.upstream.EngineOrder;
import org.tarragonring.upstream.OrderOutcome;

/**
 * Makes sure that a replica has an adapter before a call is sent to it. Loads share a block of permits, so that a
 * load writes no record of its own.
 *
 * @since 0.1.0
 */
public final class AdapterLoader {

    private static final Duration BLOCK_RETRY = Duration.ofMillis(50);

    private final EngineDirectory engines;
    private final LoadPermits permits;
    private final String purpose;
    private final int blockSize;
    private final Duration blockLifetime;
    private final MonotonicClock clock;
    private final Timers timers;
    private final Map<String, CompletableFuture<Void>> loads = new ConcurrentHashMap<>();
    private final ReentrantLock lock = new ReentrantLock();
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private int running;
    private long blockUntilMillis = Long.MIN_VALUE;
    private boolean acquiring;

    /**
     * Creates a loader.
     *
     * @param engines finds engines, not null
     * @param permits the pool of adapter permits that all entries share, not null
     * @param purpose names this entry's block in the pool, not null
     * @param blockSize how many loads a block allows at once
     * @param blockLifetime how long a block is used before it is taken again; shorter than a permit's lifetime; not
     *     null
     * @param clock the monotonic clock, not null
     * @param timers runs retries, not null
     */
    public AdapterLoader(
            EngineDirectory engines,
            LoadPermits permits,
            String purpose,
            int blockSize,
            Duration blockLifetime,
            MonotonicClock clock,
            Timers timers) {
        this.engines = Objects.requireNonNull(engines, "engines");
        this.permits = Objects.requireNonNull(permits, "permits");
        this.purpose = Objects.requireNonNull(purpose, "purpose");
        this.blockSize = blockSize;
        this.blockLifetime = Objects.requireNonNull(blockLifetime, "blockLifetime");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.timers = Objects.requireNonNull(timers, "timers");
    }

    /**
     * Makes sure that a replica has an adapter.
     *
     * @param target the replica, not null
     * @param adapter the adapter, not null
     * @return completes when it is there; fails with {@link CallException} if it could not be loaded
     */
    public CompletableFuture<Void> ensure(Target target, Adapter adapter) {
        String key = key(target, adapter);
        CompletableFuture<Void> created = new CompletableFuture<>();
        CompletableFuture<Void> present = loads.putIfAbsent(key, created);
        if (present != null) {
            return present;
        }
        created.whenComplete((done, failure) -> {
            if (failure != null) {
                loads.remove(key, created);
            }
        });
        submit(() -> load(target, adapter, created));
        return created;
    }

    /**
     * Forgets that a replica has an adapter, after the engine said that it does not.
     *
     * @param target the replica, not null
     * @param adapter the adapter, not null
     */
    public void forget(Target target, Adapter adapter) {
        CompletableFuture<Void> known = loads.get(key(target, adapter));
        if (known != null && known.isDone()) {
            loads.remove(key(target, adapter), known);
        }
    }

    private void load(Target target, Adapter adapter, CompletableFuture<Void> result) {
        EngineOrder order = new EngineOrder(
                EngineOrder.Kind.LOAD_ADAPTER, new SlotId(target.name()), adapter.name(), "", adapter.bytes(), 0);
        engines.find(target.upstream())
                .map(engine -> engine.order(order))
                .orElseGet(() -> Uni.createFrom().item(OrderOutcome.REFUSED))
                .onTermination()
                .invoke(this::onEnded)
                .subscribe()
                .with(
                        outcome -> {
                            if (outcome == OrderOutcome.ACCEPTED) {
                                result.complete(null);
                            } else {
                                result.completeExceptionally(failure(target, adapter, outcome.toString()));
                            }
                        },
                        failure -> result.completeExceptionally(failure(target, adapter, failure.getMessage())));
    }

    private static CallException failure(Target target, Adapter adapter, String why) {
        return CallException.notRun(
                RefusalReason.LOAD_FAILED,
                "adapter \"%s\" was not loaded on upstream \"%s\": %s"
                        .formatted(adapter.name(), target.upstream(), why));
    }

    private void submit(Runnable load) {
        lock.lock();
        try {
            waiting.addLast(load);
        } finally {
            lock.unlock();
        }
        runWaiting();
    }

    private void onEnded() {
        lock.lock();
        try {
            running--;
        } finally {
            lock.unlock();
        }
        runWaiting();
    }

    private void runWaiting() {
        while (true) {
            Runnable next;
            lock.lock();
            try {
                if (waiting.isEmpty() || running >= blockSize) {
                    return;
                }
                if (clock.millis() >= blockUntilMillis) {
                    acquireBlock();
                    return;
                }
                next = waiting.pollFirst();
                running++;
            } finally {
                lock.unlock();
            }
            next.run();
        }
    }

    private void acquireBlock() {
        if (acquiring) {
            return;
        }
        acquiring = true;
        long askedMillis = clock.millis();
        timers.schedule(
                Duration.ZERO,
                () -> permits.acquire(purpose, blockSize)
                        .subscribe()
                        .with(granted -> onBlock(granted, askedMillis), failure -> onBlock(false, askedMillis)));
    }

    private void onBlock(boolean granted, long askedMillis) {
        lock.lock();
        try {
            acquiring = false;
            if (granted) {
                blockUntilMillis = askedMillis + blockLifetime.toMillis();
            }
        } finally {
            lock.unlock();
        }
        if (granted) {
            runWaiting();
        } else {
            timers.schedule(BLOCK_RETRY, this::runWaiting);
        }
    }

    private static String key(Target target, Adapter adapter) {
        return target.name() + "/" + adapter.name();
    }
}
