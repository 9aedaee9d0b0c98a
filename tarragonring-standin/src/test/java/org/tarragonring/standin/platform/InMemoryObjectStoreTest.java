package org.tarragonring.standin.platform;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.tarragonring.objects.ObjectStore;
import org.tarragonring.objects.StoreEra;
import org.tarragonring.objects.StoreException;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** A drill that keeps what was written after the copy, or lets watches go on, would hide faults of the entries. */
class InMemoryObjectStoreTest {

    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(2);

    private final InMemoryObjectStore store = new InMemoryObjectStore((delay, action) -> () -> {});

    @Test
    void storeThatComesBackHasLostLaterWritesAndGivesVersionsOutAgain() {
        write("things/a", ObjectStore.ABSENT_VERSION);
        store.copy();
        List<StoreEra> eras = new ArrayList<>();
        store.addEraListener(eras::add);
        long lostVersion = write("things/a", 1);
        write("things/b", ObjectStore.ABSENT_VERSION);

        store.restoreCopy();

        assertEquals(List.of(new StoreEra(2)), eras);
        assertEquals(Optional.empty(), store.read("things/b").await().indefinitely());
        assertEquals(lostVersion, write("things/a", 1));
    }

    @Test
    void watchesFromALostRevisionFail() {
        store.copy();
        write("things/a", ObjectStore.ABSENT_VERSION);
        List<Throwable> failures = new ArrayList<>();
        store.watch("things/", 1, WATCH_TIMEOUT).subscribe().with(batch -> {}, failures::add);

        store.restoreCopy();
        store.watch("things/", 1, WATCH_TIMEOUT).subscribe().with(batch -> {}, failures::add);

        assertEquals(2, failures.size());
        assertTrue(failures.stream()
                .allMatch(failure -> ((StoreException) failure).kind() == StoreException.Kind.HISTORY_GONE));
    }

    private long write(String key, long version) {
        return store.write(key, version, "{}".getBytes(StandardCharsets.UTF_8))
                .await()
                .indefinitely();
    }
}
