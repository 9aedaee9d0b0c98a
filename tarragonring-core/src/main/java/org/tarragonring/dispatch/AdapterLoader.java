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
 * Ensures that a replica has an adapter loaded before a call is sent to it. The entry acquires permits in blocks that
 * many loads share, so that a single load does not write to the platform's object store.
 *
 * @since 0.1.0
 */
public final class AdapterLoader {

    private static final Duration BLOCK_RETRY_DELAY = Duration.ofMillis(50);

    private final EngineDirectory engines;
    private final LoadPermits permits;
    private final String purpose;
    private final int blockSize;
    private final Duration blockLifetime;
    private final MonotonicClock clock;
    private final Timers timers;
    private final Map<String, CompletableFuture<Void>> loadResults = new ConcurrentHashMap<>();
    private final ReentrantLock lock = new ReentrantLock();
    private final Deque<Runnable> queuedLoads = new ArrayDeque<>();
    private int runningLoads;
    private long blockValidUntilMillis = Long.MIN_VALUE;
    private boolean acquiringBlock;

    /**
     * Creates a loader.
     *
     * @param engines looks up the engines of upstreams, not null
     * @param permits the pool of adapter load permits that all entries share, not null
     * @param purpose the key that identifies this entry's block in the pool, not null
     * @param blockSize the maximum number of loads that a block allows at the same time
     * @param blockLifetime the time for which a block is used before it is renewed, which must be shorter than the
     *     lifetime of a permit; not null
     * @param clock the monotonic clock, not null
     * @param timers schedules requests for blocks, not null
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
     * Loads an adapter into a replica unless a load for it succeeded before or is in progress.
     *
     * @param target the replica, not null
     * @param adapter the adapter, not null
     * @return completes when the adapter is loaded; fails with {@link CallException} if it could not be loaded
     */
    public CompletableFuture<Void> ensureLoaded(Target target, Adapter adapter) {
        String key = key(target, adapter);
        CompletableFuture<Void> created = new CompletableFuture<>();
        CompletableFuture<Void> existing = loadResults.putIfAbsent(key, created);
        if (existing != null) {
            return existing;
        }
        created.whenComplete((done, failure) -> {
            if (failure != null) {
                loadResults.remove(key, created);
            }
        });
        enqueue(() -> load(target, adapter, created));
        return created;
    }

    /**
     * Discards the result of a finished load after the engine reported that the adapter is not loaded.
     *
     * @param target the replica, not null
     * @param adapter the adapter, not null
     */
    public void invalidate(Target target, Adapter adapter) {
        CompletableFuture<Void> existing = loadResults.get(key(target, adapter));
        if (existing != null && existing.isDone()) {
            loadResults.remove(key(target, adapter), existing);
        }
    }

    private void load(Target target, Adapter adapter, CompletableFuture<Void> result) {
        EngineOrder order = new EngineOrder(
                EngineOrder.Kind.LOAD_ADAPTER, new SlotId(target.name()), adapter.name(), "", adapter.bytes(), 0);
        engines.find(target.upstream())
                .map(engine -> engine.order(order))
                .orElseGet(() -> Uni.createFrom().item(OrderOutcome.REFUSED))
                .onTermination()
                .invoke(this::onLoadEnded)
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

    private static CallException failure(Target target, Adapter adapter, String detail) {
        return CallException.notRun(
                RefusalReason.LOAD_FAILED,
                "adapter \"%s\" was not loaded on upstream \"%s\": %s"
                        .formatted(adapter.name(), target.upstream(), detail));
    }

    private void enqueue(Runnable load) {
        lock.lock();
        try {
            queuedLoads.addLast(load);
        } finally {
            lock.unlock();
        }
        startQueuedLoads();
    }

    private void onLoadEnded() {
        lock.lock();
        try {
            runningLoads--;
        } finally {
            lock.unlock();
        }
        startQueuedLoads();
    }

    private void startQueuedLoads() {
        while (true) {
            Runnable next;
            lock.lock();
            try {
                if (queuedLoads.isEmpty() || runningLoads >= blockSize) {
                    return;
                }
                if (clock.millis() >= blockValidUntilMillis) {
                    acquireBlock();
                    return;
                }
                next = queuedLoads.pollFirst();
                runningLoads++;
            } finally {
                lock.unlock();
            }
            next.run();
        }
    }

    private void acquireBlock() {
        if (acquiringBlock) {
            return;
        }
        acquiringBlock = true;
        long requestedMillis = clock.millis();
        timers.schedule(
                Duration.ZERO,
                () -> permits.acquire(purpose, blockSize)
                        .subscribe()
                        .with(
                                granted -> onBlockResponse(granted, requestedMillis),
                                failure -> onBlockResponse(false, requestedMillis)));
    }

    private void onBlockResponse(boolean granted, long requestedMillis) {
        lock.lock();
        try {
            acquiringBlock = false;
            if (granted) {
                blockValidUntilMillis = requestedMillis + blockLifetime.toMillis();
            }
        } finally {
            lock.unlock();
        }
        if (granted) {
            startQueuedLoads();
        } else {
            timers.schedule(BLOCK_RETRY_DELAY, this::startQueuedLoads);
        }
    }

    private static String key(Target target, Adapter adapter) {
        return target.name() + "/" + adapter.name();
    }
}
