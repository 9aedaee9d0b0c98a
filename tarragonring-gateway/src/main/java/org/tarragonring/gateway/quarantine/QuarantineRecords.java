package org.tarragonring.gateway.quarantine;

import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;

import org.tarragonring.gateway.follow.StoreWatcher;
import org.tarragonring.ids.RequestFingerprint;
import org.tarragonring.log.LogEvent;
import org.tarragonring.objects.Json;
import org.tarragonring.objects.ObjectStore;
import org.tarragonring.objects.RevisionedStore;
import org.tarragonring.objects.StoreException;
import org.tarragonring.objects.StoredObject;
import org.tarragonring.routing.Quarantine;
import org.tarragonring.routing.QuarantineState;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * Keeps the quarantined requests and prompt parts in the store, one object for each, so that entries that start later or
 * cannot reach their peers know them. Deleting an object ends the quarantine.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class QuarantineRecords {

    /** The prefix of the store keys of quarantined requests; the rest of a key is the fingerprint. */
    public static final String PREFIX = "tarragonring-quarantine/";

    /**
     * How long the store holds a watch request. Longer than for the configuration, as entries tell each other of
     * quarantined requests, too, and {@link #renewWatch} finds out early that the connections fail.
     */
    private static final Duration WATCH_TIMEOUT = Duration.ofMillis(10_000);

    private static final Duration WRITE_RETRY_DELAY = Duration.ofMillis(1_000);
    /** How long the entry that removes records has to write lost ones again before all others do. */
    private static final Duration REWRITE_DELAY_OF_OTHERS = Duration.ofMillis(700);

    /** The time in which the records are usually listed, so that those that are not lost are not written. */
    private static final Duration REWRITE_LISTING_TIME = Duration.ofMillis(300);

    private static final Duration CLEANUP_PERIOD = Duration.ofSeconds(60);

    private final RevisionedStore store;
    private final Quarantine quarantine;
    private final InstantSource wallClock;
    private final Timers timers;
    private final BooleanSupplier cleansUp;
    private final StoreWatcher watcher;
    private final Map<RequestFingerprint, Stored> stored = new HashMap<>();
    private final Set<RequestFingerprint> pendingWrites = new HashSet<>();

    /** The requests whose records may be lost, as the store came back from an older copy; until they are stored again. */
    private final Set<RequestFingerprint> possiblyLost = new HashSet<>();

    private Timers.Task cleanupTask = () -> {};

    /**
     * Creates records that are not read yet.
     *
     * @param store the store, not null
     * @param quarantine receives the requests that other entries have quarantined, not null
     * @param clock the monotonic clock, not null
     * @param wallClock the clock of the expiry times, which all entries share approximately; not null
     * @param timers schedules retries and the removal of expired records, not null
     * @param cleansUp returns whether this entry removes expired records, not null
     */
    public QuarantineRecords(
            RevisionedStore store,
            Quarantine quarantine,
            MonotonicClock clock,
            InstantSource wallClock,
            Timers timers,
            BooleanSupplier cleansUp) {
        this.store = Objects.requireNonNull(store, "store");
        this.quarantine = Objects.requireNonNull(quarantine, "quarantine");
        this.wallClock = Objects.requireNonNull(wallClock, "wallClock");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.cleansUp = Objects.requireNonNull(cleansUp, "cleansUp");
        this.watcher = new StoreWatcher(
                PREFIX, WATCH_TIMEOUT, Duration.ZERO, store, clock, timers, this::onStored, this::onDeleted);
    }

    /** Starts to watch the records and to remove expired ones. */
    public void start() {
        store.addEraListener(era -> onStoreRestored());
        watcher.start();
        cleanupTask = timers.scheduleWithFixedDelay(CLEANUP_PERIOD, this::removeExpired);
    }

    /** Writes the records again that the store has lost. The watcher lists those that it still has. */
    private void onStoreRestored() {
        List<RequestFingerprint> known = stored.keySet().stream()
                .filter(request -> !isExpired(stored.get(request)) && quarantine.isQuarantined(request))
                .toList();
        stored.clear();
        possiblyLost.addAll(known);
        Duration delay = cleansUp.getAsBoolean() ? Duration.ZERO : REWRITE_DELAY_OF_OTHERS;
        known.forEach(request -> writeAfter(request, REWRITE_LISTING_TIME.plus(delay)));
    }

    /** Stops watching. */
    public void stop() {
        watcher.stop();
        cleanupTask.cancel();
    }

    /** Sends the watch request again, as another request to the store has failed and the connections may be faulty. */
    public void renewWatch() {
        watcher.renew();
    }

    /**
     * Checks if the records were read at least once.
     *
     * @return true after the first complete listing
     */
    public boolean isListed() {
        return watcher.isListed();
    }

    /**
     * Writes the record of a quarantined request or prompt part unless another entry has written it by then. Repeats a
     * failed write while the quarantine lasts.
     *
     * @param request the request, not null
     * @param delay the time that the other entries get to write it first, not null
     */
    public void writeAfter(RequestFingerprint request, Duration delay) {
        if (!isStored(request) && pendingWrites.add(request)) {
            timers.schedule(delay, () -> write(request));
        }
    }

    /** Deletes the records of requests and prompt parts that are no longer quarantined, as others are to blame. */
    public void deleteReleased() {
        List<RequestFingerprint> released = stored.keySet().stream()
                .filter(request -> isStored(request) && !quarantine.isQuarantined(request))
                .toList();
        released.forEach(this::delete);
    }

    /**
     * Deletes the record of a request that is no longer quarantined. Does nothing if there is none.
     *
     * @param request the request, not null
     */
    public void delete(RequestFingerprint request) {
        Stored record = stored.remove(request);
        if (record != null) {
            store.delete(PREFIX + request, record.version)
                    .subscribe()
                    .with(
                            done -> {},
                            failure -> LogEvent.DEPENDENCY_STATE.log(
                                    "store", false, "quarantine record not deleted: " + failure.getMessage()));
        }
    }

    private void write(RequestFingerprint request) {
        Optional<QuarantineState> state = quarantine.state(request);
        if (isStored(request) || state.isEmpty()) {
            pendingWrites.remove(request);
            possiblyLost.remove(request);
            return;
        }
        Stored previous = stored.get(request);
        long expectedVersion = previous == null ? ObjectStore.ABSENT_VERSION : previous.version;
        Record record = Record.of(state.get(), wallClock.millis());
        store.write(PREFIX + request, expectedVersion, Json.write(record))
                .subscribe()
                .with(
                        version -> {
                            pendingWrites.remove(request);
                            stored.put(request, new Stored(version, record));
                            if (possiblyLost.remove(request)) {
                                LogEvent.RECORD_WRITTEN_AGAIN.log(PREFIX + request, store.era());
                            }
                        },
                        failure -> onWriteFailed(request, failure));
    }

    /** Repeats a failed write, unless it turns out that another entry has written the record. */
    private void onWriteFailed(RequestFingerprint request, Throwable failure) {
        boolean isOtherVersion = failure instanceof StoreException e && e.kind() == StoreException.Kind.CONFLICT;
        if (isOtherVersion) {
            store.read(PREFIX + request)
                    .subscribe()
                    .with(
                            existing -> existing.ifPresentOrElse(this::onStored, () -> stored.remove(request)),
                            readFailure -> logFailure("read", readFailure));
        } else {
            logFailure("written", failure);
        }
        timers.schedule(WRITE_RETRY_DELAY, () -> write(request));
    }

    private void onStored(StoredObject object) {
        try {
            RequestFingerprint request = requestOf(object.key());
            Record record = Json.read(object.value(), Record.class);
            stored.put(request, new Stored(object.version(), record));
            possiblyLost.remove(request);
            quarantine.quarantine(request, record.toState(wallClock.millis()));
        } catch (RuntimeException e) {
            LogEvent.STORED_OBJECT_INVALID.log(object.key(), "expiresAtMillis", "cannot be read: " + e.getMessage());
        }
    }

    /** Ends a quarantine whose record was deleted, not lost by the store, also if this entry has not seen the record. */
    private void onDeleted(String key) {
        try {
            if (possiblyLost.contains(requestOf(key))) {
                return;
            }
            stored.remove(requestOf(key));
            quarantine.clear(requestOf(key));
        } catch (IllegalArgumentException e) {
            LogEvent.STORED_OBJECT_INVALID.log(key, "name", e.getMessage());
        }
    }

    private static RequestFingerprint requestOf(String key) {
        return new RequestFingerprint(key.substring(PREFIX.length()));
    }

    private void removeExpired() {
        if (cleansUp.getAsBoolean()) {
            List<RequestFingerprint> expired = stored.keySet().stream()
                    .filter(request -> isExpired(stored.get(request)))
                    .toList();
            expired.forEach(this::delete);
        }
    }

    private static void logFailure(String operation, Throwable failure) {
        LogEvent.DEPENDENCY_STATE.log(
                "store", false, "quarantine record not %s: %s".formatted(operation, failure.getMessage()));
    }

    /** Returns whether the store has a record that has not expired and knows as many failed trials as this entry. */
    private boolean isStored(RequestFingerprint request) {
        Stored known = stored.get(request);
        if (known == null || isExpired(known)) {
            return false;
        }
        int failedTrials =
                quarantine.state(request).map(QuarantineState::failedTrials).orElse(0);
        return known.record.failedTrials() >= failedTrials;
    }

    private boolean isExpired(Stored known) {
        return wallClock.millis() >= known.record.expiresAtMillis();
    }

    /**
     * The JSON value of a record.
     *
     * @param expiresAtMillis the time at which the record expires, in Unix milliseconds
     * @param refusedUntilMillis the time until which all requests are refused, in Unix milliseconds; 0 if an older build
     *     has written the record
     * @param failedTrials the number of runs after a refusal during which a replica failed
     * @param promptPart the position of the part in prompts, 0 for a whole request
     */
    private record Record(long expiresAtMillis, long refusedUntilMillis, int failedTrials, int promptPart) {

        static Record of(QuarantineState state, long nowMillis) {
            return new Record(
                    nowMillis + state.remaining().toMillis(),
                    nowMillis + state.refusal().toMillis(),
                    state.failedTrials(),
                    state.promptPart());
        }

        QuarantineState toState(long nowMillis) {
            Duration refusal = refusedUntilMillis == 0
                    ? Quarantine.FIRST_REFUSAL
                    : Duration.ofMillis(Math.max(0, refusedUntilMillis - nowMillis));
            return new QuarantineState(
                    promptPart, refusal, failedTrials, Duration.ofMillis(expiresAtMillis - nowMillis));
        }
    }

    private record Stored(long version, Record record) {}
}
