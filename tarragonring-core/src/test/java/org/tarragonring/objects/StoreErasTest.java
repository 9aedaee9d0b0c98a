package org.tarragonring.objects;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** A rise that is missed, or told to some listeners only, leaves leases and records in use that the store has lost. */
class StoreErasTest {

    private final StoreEras eras = new StoreEras();
    private final List<StoreEra> seen = new ArrayList<>();

    @Test
    void firstEraIsNoRise() {
        eras.addListener(seen::add);

        eras.observe(new StoreEra(4));

        assertEquals(new StoreEra(4), eras.newest());
        assertEquals(List.of(), seen);
    }

    @Test
    void eraAfterResponsesWithoutOneIsARise() {
        eras.addListener(seen::add);
        eras.observeNone();

        eras.observe(new StoreEra(1));

        assertEquals(List.of(new StoreEra(1)), seen);
    }

    @Test
    void lowerEraDoesNotReplaceTheNewest() {
        eras.observe(new StoreEra(2));

        eras.observe(new StoreEra(1));

        assertEquals(new StoreEra(2), eras.newest());
    }

    @Test
    void failingListenerDoesNotHideARiseFromTheOthers() {
        eras.addListener(era -> {
            throw new IllegalStateException("test");
        });
        eras.addListener(seen::add);
        eras.observe(new StoreEra(1));

        eras.observe(new StoreEra(2));

        assertEquals(List.of(new StoreEra(2)), seen);
    }

    @Test
    void negativeNumberIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> new StoreEra(-1));
    }
}
