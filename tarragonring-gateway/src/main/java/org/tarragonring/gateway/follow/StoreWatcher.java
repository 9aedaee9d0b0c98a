package org.tarragonring.gateway.follow;

import java.time.Duration;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.smallrye.mutiny.Uni;
import org.tarragonring.log.LogEvent;
import org.tarragonring.objects.RevisionedStore;
import org.tarragonring.objects.StoreException;
import org.tarragonring.objects.StoredObject;
import org.tarragonring.objects.WatchBatch;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * Watches the objects under one key prefix of the store. Lists them first and then waits for changes; lists them again
 * when the store no longer has the history since the last seen revision, when that history exceeds the size limit of a
 * response, or when the store has come back from an older copy.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class StoreWatcher {

    /** The shortest time from a request that fails to the next one, so that a failing store is not overloaded. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(400);

    /**
     * How long deletions are held back after the store has responded again; objects that expired while it was down are
     * written again within two seconds.
     */
    private static final Duration DELETION_DELAY = Duration.ofMillis(1_800);

    /** Bounds the requests that are left waiting when watches are renewed again and again. */
    private static final Duration MIN_AGE_OF_RENEWED_WATCH = Duration.ofMillis(2_000);

    /** The time in which the store responds to a watch after its end, over a network that loses packets. */
    private static final Duration MAX_RESPONSE_TIME = Duration.ofMillis(500);

    /** The time that the store holds a watch after a failure if confirmations matter, about one round trip. */
    private static final Duration SHORT_WATCH_TIMEOUT = Duration.ofMillis(10);

    private final String prefix;
    private final Duration watchTimeout;
    private final Duration batchDelay;
    private final RevisionedStore store;
    private final MonotonicClock clock;
    private final Timers timers;
    private final Consumer<StoredObject> onChanged;
    private final Consumer<String> onDeleted;
    private final Set<String> knownKeys = new HashSet<>();
    private final Set<String> pendingDeletions = new HashSet<>();
    private boolean stopped;
    private boolean listed;
    private boolean reachable;
    private boolean failing;
    private long recoveredMillis;
    private long interruptedMillis;
    private long lastResponseMillis;
    private long failedEvents;
    private Optional<Supplier<Runnable>> confirmations = Optional.empty();

    /** The number of series of requests begun; the responses to, and the delayed requests of, earlier ones are ignored. */
    private long seriesCount;

    private Runnable onUnreachable = () -> {};
    private long watchSentMillis;
    private Optional<Long> watchedRevision = Optional.empty();

    /**
     * Creates a watcher that is not started.
     *
     * @param prefix the prefix of the keys to watch, not null
     * @param watchTimeout how long the store holds a watch request without changes, not null
     * @param batchDelay the delay before the next watch request after a change, so that one request returns several
     *     changes; zero for none, not null
     * @param store the store to watch, not null
     * @param clock the monotonic clock, not null
     * @param timers schedules the delays, not null
     * @param onChanged receives each new or changed object, and all objects after each listing; not null
     * @param onDeleted receives the key of each deleted object, not null
     */
    public StoreWatcher(
            String prefix,
            Duration watchTimeout,
            Duration batchDelay,
            RevisionedStore store,
            MonotonicClock clock,
            Timers timers,
            Consumer<StoredObject> onChanged,
            Consumer<String> onDeleted) {
        this.prefix = Objects.requireNonNull(prefix, "prefix");
        this.watchTimeout = Objects.requireNonNull(watchTimeout, "watchTimeout");
        this.batchDelay = Objects.requireNonNull(batchDelay, "batchDelay");
        this.store = Objects.requireNonNull(store, "store");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.onChanged = Objects.requireNonNull(onChanged, "onChanged");
        this.onDeleted = Objects.requireNonNull(onDeleted, "onDeleted");
        this.recoveredMillis = clock.millis() - DELETION_DELAY.toMillis();
        this.interruptedMillis = clock.millis() - RETRY_DELAY.toMillis();
        this.lastResponseMillis = clock.millis();
    }

    /**
     * Lets a receiver learn as of when the reported objects are confirmed by the store. The first watch after a failed one
     * is short then, so that the objects are confirmed again without delay.
     *
     * @param onSent invoked just before each request is sent; returns the action to run when the request was answered and
     *     its objects were reported; not null
     */
    public void onRequestSent(Supplier<Runnable> onSent) {
        confirmations = Optional.of(onSent);
    }

    /**
     * Sets the action to run when a request fails after others have succeeded, so that other watches can find out
     * whether their connections still work.
     *
     * @param action the action, not null
     */
    public void onUnreachable(Runnable action) {
        onUnreachable = Objects.requireNonNull(action, "action");
    }

    /**
     * Sends the watch request again if one has been waiting for some time. Its connection may deliver nothing any more,
     * without an error. Does nothing while the objects are listed or a request is delayed.
     */
    public void renew() {
        boolean isYoung = clock.millis() - watchSentMillis < MIN_AGE_OF_RENEWED_WATCH.toMillis();
        if (!stopped && !isYoung && watchedRevision.isPresent()) {
            seriesCount++;
            watch(watchedRevision.get());
        }
    }

    /** Starts with a listing and then watches until stopped. */
    public void start() {
        store.addEraListener(era -> onStoreRestored());
        list();
    }

    /** Lists the objects again. Lost ones are written again by their writers, so their deletion is held back. */
    private void onStoreRestored() {
        if (!stopped) {
            seriesCount++;
            recoveredMillis = clock.millis();
            list();
        }
    }

    /** Stops after the current request; its result is still delivered. */
    public void stop() {
        stopped = true;
    }

    /**
     * Checks if the objects were listed at least once.
     *
     * @return true after the first complete listing
     */
    public boolean isListed() {
        return listed;
    }

    /**
     * Checks if the store is reachable.
     *
     * @return true if the last request to the store succeeded, false before the first response
     */
    public boolean isReachable() {
        return reachable;
    }

    /**
     * Checks if all changes but the newest ones have been reported.
     *
     * @return false if the last request failed, or if the last response is older than the store and this watcher make it
     *     while they work, as after a suspension of the process
     */
    public boolean isCurrent() {
        return reachable
                && ageMillis()
                        <= watchTimeout.plus(batchDelay).plus(MAX_RESPONSE_TIME).toMillis();
    }

    /**
     * Returns how old the reported objects may be. While the objects of a response are reported, this is still the time
     * since the response before.
     *
     * @return the time since the last response of the store, since the creation of this watcher if there was none; in
     *     milliseconds
     */
    public long ageMillis() {
        return clock.millis() - lastResponseMillis;
    }

    /**
     * Returns how many changes and deletions could not be applied because the receiver failed.
     *
     * @return the number of events since the creation of this watcher
     */
    public long failedEvents() {
        return failedEvents;
    }

    private void list() {
        if (stopped) {
            return;
        }
        long sentMillis = clock.millis();
        Runnable confirm = requestSent();
        long series = seriesCount;
        Uni.createFrom()
                .deferred(() -> store.snapshot(prefix))
                .subscribe()
                .with(
                        snapshot -> runIfLatest(series, () -> runStep(() -> onSnapshot(snapshot, confirm))),
                        failure -> runIfLatest(series, () -> {
                            onRequestFailed(failure);
                            schedule(retryDelay(sentMillis), this::list);
                        }));
    }

    private void runIfLatest(long series, Runnable step) {
        if (series == seriesCount) {
            watchedRevision = Optional.empty();
            step.run();
        }
    }

    /** Schedules a request, which is not sent if the objects are listed again before. */
    private void schedule(Duration delay, Runnable request) {
        long series = seriesCount;
        timers.schedule(delay, () -> runIfLatest(series, request));
    }

    private Runnable requestSent() {
        return confirmations.isPresent() ? confirmations.get().get() : () -> {};
    }

    /** Runs a step after which the next request is sent. If the step fails unexpectedly, the objects are listed again. */
    private void runStep(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | StackOverflowError e) {
            LogEvent.UNEXPECTED_FAILURE.log("the watch of " + prefix, e);
            schedule(RETRY_DELAY, this::list);
        }
    }

    private void onSnapshot(RevisionedStore.Snapshot snapshot, Runnable confirm) {
        onRequestSucceeded();
        Set<String> deletedKeys = new HashSet<>(knownKeys);
        for (StoredObject object : snapshot.objects()) {
            deletedKeys.remove(object.key());
            reportChange(object);
        }
        deletedKeys.forEach(this::scheduleDeletion);
        listed = true;
        lastResponseMillis = clock.millis();
        confirm.run();
        watch(snapshot.revision());
    }

    private void watch(long revision) {
        if (stopped) {
            return;
        }
        long sentMillis = clock.millis();
        Duration wait = failing && confirmations.isPresent() ? SHORT_WATCH_TIMEOUT : watchTimeout;
        Runnable confirm = requestSent();
        long series = seriesCount;
        watchSentMillis = sentMillis;
        watchedRevision = Optional.of(revision);
        Uni.createFrom()
                .deferred(() -> store.watch(prefix, revision, wait))
                .subscribe()
                .with(
                        batch -> runIfLatest(series, () -> runStep(() -> onBatch(batch, confirm))),
                        failure -> runIfLatest(series, () -> onWatchFailed(failure, revision, sentMillis)));
    }

    private void onWatchFailed(Throwable failure, long revision, long sentMillis) {
        StoreException.Kind kind = failure instanceof StoreException e ? e.kind() : StoreException.Kind.UNAVAILABLE;
        boolean isInterruptedAgain = clock.millis() - interruptedMillis < RETRY_DELAY.toMillis();
        if (kind == StoreException.Kind.HISTORY_GONE) {
            LogEvent.DEPENDENCY_STATE.log(
                    "store",
                    true,
                    "history of %s is not available, listing again: %s".formatted(prefix, failure.getMessage()));
            list();
        } else if (kind == StoreException.Kind.INTERRUPTED && !isInterruptedAgain) {
            interruptedMillis = clock.millis();
            LogEvent.DEPENDENCY_STATE.log("store", true, "the watch of " + prefix + " was interrupted");
            watch(revision);
        } else {
            onRequestFailed(failure);
            schedule(retryDelay(sentMillis), () -> watch(revision));
        }
    }

    private void onBatch(WatchBatch batch, Runnable confirm) {
        onRequestSucceeded();
        batch.deletedKeys().forEach(this::scheduleDeletion);
        batch.changed().forEach(this::reportChange);
        lastResponseMillis = clock.millis();
        confirm.run();
        boolean unchanged = batch.changed().isEmpty() && batch.deletedKeys().isEmpty();
        boolean awaitsReturns = !pendingDeletions.isEmpty();
        if (unchanged || awaitsReturns || batchDelay.isZero()) {
            watch(batch.revision());
        } else {
            schedule(batchDelay, () -> watch(batch.revision()));
        }
    }

    /** Returns the delay before a failed request is repeated: none if it took long to fail. */
    private Duration retryDelay(long sentMillis) {
        Duration remaining = RETRY_DELAY.minusMillis(clock.millis() - sentMillis);
        return remaining.isNegative() ? Duration.ZERO : remaining;
    }

    private void reportChange(StoredObject object) {
        knownKeys.add(object.key());
        pendingDeletions.remove(object.key());
        apply(object.key(), () -> onChanged.accept(object));
    }

    /** Reports a deletion, later if the store was down until recently, as objects that expired meanwhile may return. */
    private void scheduleDeletion(String key) {
        Duration remaining = DELETION_DELAY.minusMillis(clock.millis() - recoveredMillis);
        if (remaining.isZero() || remaining.isNegative()) {
            reportDeletion(key);
            return;
        }
        pendingDeletions.add(key);
        timers.schedule(remaining, () -> {
            if (pendingDeletions.remove(key)) {
                reportDeletion(key);
            }
        });
    }

    private void reportDeletion(String key) {
        knownKeys.remove(key);
        apply(key, () -> onDeleted.accept(key));
    }

    /** Passes on one event. A failure concerns this object only: the others are passed on, and the watch goes on. */
    private void apply(String key, Runnable event) {
        try {
            event.run();
        } catch (RuntimeException | StackOverflowError e) {
            failedEvents++;
            LogEvent.UNEXPECTED_FAILURE.log("the handling of a change of " + key, e);
        }
    }

    private void onRequestSucceeded() {
        if (failing) {
            failing = false;
            recoveredMillis = clock.millis();
        }
        if (!reachable) {
            LogEvent.DEPENDENCY_STATE.log("store", true, "watching " + prefix);
        }
        reachable = true;
    }

    private void onRequestFailed(Throwable failure) {
        boolean wasReachable = reachable;
        reachable = false;
        if (!failing) {
            LogEvent.DEPENDENCY_STATE.log("store", false, prefix + ": " + failure.getMessage());
        }
        if (wasReachable) {
            onUnreachable.run();
        }
        failing = true;
    }
}
