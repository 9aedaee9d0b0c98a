package org.tarragonring.gateway.follow;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tarragonring.gateway.ManualTime;
import org.tarragonring.objects.RevisionedStore;
import org.tarragonring.objects.StoreEra;
import org.tarragonring.objects.StoreEras;
import org.tarragonring.objects.StoreException;
import org.tarragonring.objects.StoreException.Kind;
import org.tarragonring.objects.StoredObject;
import org.tarragonring.objects.WatchBatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * A watch that ends unnoticed leaves an entry with replicas that are gone. It must outlive everything that an object may
 * contain and everything that the store and the network may do to a request, and tell of a removal in time.
 */
class StoreWatcherTest {

    private static final String PREFIX = "things/";
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration BATCH_DELAY = Duration.ofMillis(700);
    private static final Duration WITHIN_A_SECOND = Duration.ofMillis(990);

    private final ManualTime time = new ManualTime();
    private final ScriptedStore store = new ScriptedStore();
    private final List<String> changed = new ArrayList<>();
    private final List<String> deleted = new ArrayList<>();
    private Optional<Supplier<RuntimeException>> receiverFailure = Optional.empty();

    private final StoreWatcher watcher = new StoreWatcher(
            PREFIX, WATCH_TIMEOUT, BATCH_DELAY, store, time, time, object -> onChanged(object.key()), this::onDeleted);

    @BeforeEach
    void start() {
        store.listed = List.of(object("a"), object("b"));
        watcher.start();
        time.advance(Duration.ofSeconds(10));
        changed.clear();
    }

    @Test
    void eventThatCannotBeAppliedDoesNotEndTheWatch() {
        receiverFailure = Optional.of(() -> new IllegalArgumentException("not a valid id"));
        store.answer(new WatchBatch(2, List.of(object("odd"), object("a")), List.of("things/_probe")));
        receiverFailure = Optional.empty();
        time.advance(BATCH_DELAY);

        store.answer(new WatchBatch(3, List.of(), List.of("things/b")));

        assertEquals(List.of("things/b"), deleted);
        assertEquals(3, watcher.failedEvents());
    }

    @Test
    void laterEventsOfABatchAreAppliedAfterOneThatFails() {
        receiverFailure = Optional.of(() -> new IllegalStateException("only once"));
        store.answer(new WatchBatch(2, List.of(object("odd"), object("a")), List.of()));

        assertEquals(List.of("things/odd", "things/a"), changed);
    }

    @Test
    void watchIsRestartedWithinASecondIfTheStoreThrows() {
        store.nextRequestFailure = Optional.of(new IllegalStateException("broken client"));
        store.answer(new WatchBatch(2, List.of(), List.of()));

        time.advance(WITHIN_A_SECOND);

        assertEquals(1, store.pending.size());
    }

    // Guards against removals that are held back, as if the store had been down, after it cut off a watch.
    @Test
    void interruptedWatchIsRepeatedAtOnceAndHoldsBackNothing() {
        store.fail(Kind.INTERRUPTED);
        assertEquals(1, store.pending.size());
        assertTrue(watcher.isReachable());

        store.answer(new WatchBatch(2, List.of(), List.of("things/a")));

        assertEquals(List.of("things/a"), deleted);
    }

    @Test
    void watchThatIsInterruptedAgainAndAgainIsRepeatedWithADelay() {
        store.fail(Kind.INTERRUPTED);
        int sent = store.sentCount;
        store.fail(Kind.INTERRUPTED);

        assertEquals(sent, store.sentCount);
        time.advance(WITHIN_A_SECOND);
        assertEquals(1, store.pending.size());
    }

    @Test
    void objectThatExpiredDuringAnOutageMayReturn() {
        store.fail(Kind.UNAVAILABLE);
        time.advance(Duration.ofSeconds(3));
        store.answer(new WatchBatch(2, List.of(), List.of("things/a")));

        time.advance(Duration.ofSeconds(1));
        store.answer(new WatchBatch(3, List.of(object("a")), List.of()));
        time.advance(Duration.ofSeconds(3));

        assertEquals(List.of(), deleted);
    }

    // Guards against a delay that starts anew with each removal, and so adds to the drain time.
    @Test
    void removalIsToldTwoSecondsAfterTheReturnOfTheStoreAtTheLatest() {
        store.fail(Kind.UNAVAILABLE);
        time.advance(Duration.ofMillis(500));
        store.answer(new WatchBatch(2, List.of(), List.of()));
        time.advance(Duration.ofMillis(1_500));
        store.answer(new WatchBatch(3, List.of(), List.of("things/a")));

        time.advance(Duration.ofMillis(500));

        assertEquals(List.of("things/a"), deleted);
    }

    @Test
    void watchGoesOnWithoutDelayWhileRemovalsAreHeldBack() {
        store.fail(Kind.UNAVAILABLE);
        time.advance(Duration.ofMillis(500));

        store.answer(new WatchBatch(2, List.of(object("b")), List.of("things/a")));

        assertEquals(1, store.pending.size());
    }

    // Guards against objects that an entry keeps although the store has lost them, and two watches of one prefix.
    @Test
    void objectsAreListedAgainWhenTheStoreComesBackFromACopy() {
        store.listed = List.of(object("a"));
        store.eras.observe(new StoreEra(1));
        store.eras.observe(new StoreEra(2));
        assertEquals(List.of("things/a"), changed);
        assertEquals(List.of(), deleted, "a lost object may be written again");
        time.advance(Duration.ofSeconds(2));
        assertEquals(List.of("things/b"), deleted);
        changed.clear();
        int sent = store.sentCount;

        store.answer(new WatchBatch(900, List.of(object("of-the-era-before")), List.of()));
        time.advance(Duration.ofSeconds(2));

        assertEquals(List.of(), changed);
        assertEquals(sent, store.sentCount);
    }

    // Guards against a confirmation of objects that were not reported yet, or as of a time after their request.
    @Test
    void answeredRequestIsConfirmedAfterItsObjectsWereReported() {
        List<String> confirmed = new ArrayList<>();
        watcher.onRequestSent(() -> {
            long sentMillis = time.millis();
            return () -> confirmed.add(sentMillis + " " + changed);
        });
        store.answer(new WatchBatch(2, List.of(), List.of()));
        assertEquals(List.of(), confirmed, "the request was sent before");
        long sentMillis = time.millis();
        time.advance(Duration.ofSeconds(3));

        store.answer(new WatchBatch(3, List.of(object("a")), List.of()));

        assertEquals(List.of(sentMillis + " [things/a]"), confirmed);
    }

    // Guards against a second failure that cannot be made up for before the confirmation is too old.
    @Test
    void watchAfterAFailedOneIsShortIfConfirmationsMatter() {
        watcher.onRequestSent(() -> () -> {});
        store.fail(Kind.UNAVAILABLE);
        time.advance(WITHIN_A_SECOND);
        assertTrue(store.lastWait.compareTo(Duration.ofMillis(100)) < 0, store.lastWait.toString());

        store.answer(new WatchBatch(2, List.of(), List.of()));

        assertEquals(WATCH_TIMEOUT, store.lastWait);
    }

    // Guards against a watch that waits for its whole time on a connection which delivers nothing any more.
    @Test
    void renewedWatchReplacesTheOneThatWaits() {
        watcher.renew();
        assertEquals(2, store.pending.size());
        watcher.renew();
        assertEquals(2, store.pending.size(), "requests pile up");

        store.answer(new WatchBatch(2, List.of(object("too-late")), List.of()));
        store.answer(new WatchBatch(2, List.of(object("c")), List.of()));

        assertEquals(List.of("things/c"), changed);
    }

    @Test
    void failureAfterSuccessIsToldOnce() {
        List<Boolean> told = new ArrayList<>();
        watcher.onUnreachable(() -> told.add(watcher.isReachable()));

        store.fail(Kind.UNAVAILABLE);
        time.advance(Duration.ofMillis(500));
        store.fail(Kind.UNAVAILABLE);

        assertEquals(List.of(false), told);
    }

    private void onChanged(String key) {
        changed.add(key);
        failIfTold();
    }

    private void onDeleted(String key) {
        failIfTold();
        deleted.add(key);
    }

    private void failIfTold() {
        if (receiverFailure.isPresent()) {
            throw receiverFailure.get().get();
        }
    }

    private static StoredObject object(String name) {
        return new StoredObject(PREFIX + name, 1, new byte[0]);
    }

    /** A store whose watches wait until the test answers them or makes them fail. */
    private static final class ScriptedStore implements RevisionedStore {

        private final Queue<UniEmitter<? super WatchBatch>> pending = new ArrayDeque<>();
        private List<StoredObject> listed = List.of();
        private Optional<RuntimeException> nextRequestFailure = Optional.empty();
        private final StoreEras eras = new StoreEras();
        private int sentCount;
        private Duration lastWait = Duration.ZERO;

        @Override
        public StoreEra era() {
            return eras.newest();
        }

        @Override
        public void addEraListener(Consumer<StoreEra> listener) {
            eras.addListener(listener);
        }

        void answer(WatchBatch batch) {
            pending.remove().complete(batch);
        }

        void fail(Kind kind) {
            pending.remove().fail(new StoreException(kind, "scripted"));
        }

        @Override
        public Uni<Snapshot> snapshot(String prefix) {
            return Uni.createFrom().item(new Snapshot(1, listed));
        }

        @Override
        public Uni<WatchBatch> watch(String prefix, long afterRevision, Duration wait) {
            sentCount++;
            lastWait = wait;
            if (nextRequestFailure.isPresent()) {
                RuntimeException failure = nextRequestFailure.get();
                nextRequestFailure = Optional.empty();
                throw failure;
            }
            return Uni.createFrom().emitter(emitter -> pending.add(emitter));
        }

        @Override
        public Uni<Optional<StoredObject>> read(String key) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Uni<List<StoredObject>> list(String prefix) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Uni<Long> write(String key, long expectedVersion, byte[] value) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Uni<Void> delete(String key, long expectedVersion) {
            throw new UnsupportedOperationException();
        }
    }
}
