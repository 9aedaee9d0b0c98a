package org.tarragonring.gateway.follow;

import java.time.Duration;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;

import org.tarragonring.log.LogEvent;
import org.tarragonring.objects.RevisionedStore;
import org.tarragonring.objects.StoreException;
import org.tarragonring.objects.StoredObject;
import org.tarragonring.objects.WatchBatch;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * Follows the objects under one prefix: lists them once, then watches, and lists again when history is gone.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.2.0
 */
public final class StoreFollower {

    /** The pause after a failed call, so that a store in trouble is not asked at once again. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(400);

    /** How long after trouble with the store a deletion is held back, as lapsed objects return within two seconds. */
    private static final Duration DELETION_GRACE = Duration.ofMillis(1_800);

    private final String prefix;
    private final Duration watchWait;
    private final Duration batchPause;
    private final RevisionedStore store;
    private final MonotonicClock clock;
    private final Timers timers;
    private final Consumer<StoredObject> onChanged;
    private final Consumer<String> onDeleted;
    private final Set<String> present = new HashSet<>();
    private final Set<String> missing = new HashSet<>();
    private boolean stopped;
    private boolean listed;
    private boolean reached;
    private long lastTroubleMillis;

    /**
     * Creates a follower that does not run yet.
     *
     * @param prefix the start of the keys, not null
     * @param watchWait how long a watch waits, not null
     * @param batchPause the pause after a watch that saw something, which gathers changes into one call; not null
     * @param store the store, not null
     * @param clock the monotonic clock, not null
     * @param timers runs the pauses, not null
     * @param onChanged takes each object that is new or changed, not null
     * @param onDeleted takes the key of each object that is gone, not null
     */
    public StoreFollower(
            String prefix,
            Duration watchWait,
            Duration batchPause,
            RevisionedStore store,
            MonotonicClock clock,
            Timers timers,
            Consumer<StoredObject> onChanged,
            Consumer<String> onDeleted) {
        this.prefix = Objects.requireNonNull(prefix, "prefix");
        this.watchWait = Objects.requireNonNull(watchWait, "watchWait");
        this.batchPause = Objects.requireNonNull(batchPause, "batchPause");
        this.store = Objects.requireNonNull(store, "store");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.onChanged = Objects.requireNonNull(onChanged, "onChanged");
        this.onDeleted = Objects.requireNonNull(onDeleted, "onDeleted");
        this.lastTroubleMillis = clock.millis() - DELETION_GRACE.toMillis();
    }

    /** Starts following. */
    public void start() {
        list();
    }

    /** Stops following. */
    public void stop() {
        stopped = true;
    }

    /**
     * Checks if the objects were listed since the start.
     *
     * @return true once a listing was complete
     */
    public boolean isListed() {
        return listed;
    }

    /**
     * Checks if the last call to the store was answered.
     *
     * @return false while the store is out of reach
     */
    public boolean isReached() {
        return reached;
    }

    private void list() {
        if (stopped) {
            return;
        }
        store.snapshot(prefix).subscribe().with(this::onSnapshot, failure -> {
            onTrouble(failure);
            timers.schedule(RETRY_PAUSE, this::list);
        });
    }

    private void onSnapshot(RevisionedStore.Snapshot snapshot) {
        onReached();
        Set<String> gone = new HashSet<>(present);
        for (StoredObject object : snapshot.objects()) {
            gone.remove(object.key());
            change(object);
        }
        gone.forEach(this::delete);
        listed = true;
        watch(snapshot.revision());
    }

    private void watch(long revision) {
        if (stopped) {
            return;
        }
        store.watch(prefix, revision, watchWait).subscribe().with(this::onBatch, failure -> {
            if (failure instanceof StoreException e && e.kind() == StoreException.Kind.HISTORY_GONE) {
                LogEvent.DEPENDENCY_STATE.log("store", true, "history of " + prefix + " is gone, listing again");
                list();
                return;
            }
            onTrouble(failure);
            timers.schedule(RETRY_PAUSE, () -> watch(revision));
        });
    }

    private void onBatch(WatchBatch batch) {
        onReached();
        batch.deletedKeys().forEach(this::delete);
        batch.changed().forEach(this::change);
        boolean quiet = batch.changed().isEmpty() && batch.deletedKeys().isEmpty();
        if (quiet || batchPause.isZero()) {
            watch(batch.revision());
        } else {
            timers.schedule(batchPause, () -> watch(batch.revision()));
        }
    }

    private void change(StoredObject object) {
        present.add(object.key());
        missing.remove(object.key());
        onChanged.accept(object);
    }

    /** Deletes an object, later if the store was in trouble, since what lapsed meanwhile may be back at once. */
    private void delete(String key) {
        long sinceTroubleMillis = clock.millis() - lastTroubleMillis;
        if (sinceTroubleMillis >= DELETION_GRACE.toMillis()) {
            deleteNow(key);
            return;
        }
        missing.add(key);
        timers.schedule(DELETION_GRACE, () -> {
            if (missing.remove(key)) {
                deleteNow(key);
            }
        });
    }

    private void deleteNow(String key) {
        present.remove(key);
        onDeleted.accept(key);
    }

    private void onReached() {
        if (!reached) {
            LogEvent.DEPENDENCY_STATE.log("store", true, "follows " + prefix);
        }
        reached = true;
    }

    private void onTrouble(Throwable failure) {
        if (reached) {
            LogEvent.DEPENDENCY_STATE.log("store", false, prefix + ": " + failure.getMessage());
        }
        reached = false;
        lastTroubleMillis = clock.millis();
    }
}
