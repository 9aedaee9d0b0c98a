package org.tarragonring.policy.quota;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Two sides of a partition must not grant a limit twice, and entries that are gone for good must not lower it for ever. */
class EntryShareTest {

    private long nowMillis = 40_000;
    private final EntryShare share = new EntryShare(() -> nowMillis * 1_000_000);

    @Test
    void nothingIsGrantedBeforeTheRegisteredEntriesAreKnown() {
        share.onAlive(1);

        assertEquals(0, share.share());
    }

    @Test
    void entriesThatAreCutOffCountForMinutes() {
        share.onListed(60);
        share.onAlive(80);
        nowMillis += Duration.ofMinutes(4).toMillis();
        share.onAlive(20);

        assertEquals(0.25, share.share());
        assertEquals(80, share.registered());
    }

    @Test
    void entriesThatAreGoneCountNoMoreAfterTenMinutes() {
        share.onListed(80);
        share.onAlive(20);
        for (int minute = 0; minute <= 10; minute++) {
            nowMillis += Duration.ofMinutes(1).toMillis();
            share.onAlive(20);
        }

        assertEquals(1, share.share());
    }
}
