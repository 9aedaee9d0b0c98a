package org.tarragonring.gateway.quarantine;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.tarragonring.gateway.ManualTime;
import org.tarragonring.gateway.MemoryStore;
import org.tarragonring.ids.RequestFingerprint;
import org.tarragonring.routing.Quarantine;
import org.tarragonring.routing.QuarantineState;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** A request that crashes replicas must stay refused when the store comes back from a copy without its record. */
class QuarantineRecordsTest {

    private static final RequestFingerprint REQUEST = new RequestFingerprint("00112233445566778899aabbccddeeff");
    private static final Duration UNTIL_REMOVALS = Duration.ofSeconds(3);

    private final ManualTime time = new ManualTime();
    private final MemoryStore store = new MemoryStore();
    private final Quarantine quarantine = new Quarantine(time, Duration.ofMinutes(10));
    private boolean cleansUp = true;
    private final QuarantineRecords records =
            new QuarantineRecords(store, quarantine, time, time, time, () -> cleansUp);

    @Test
    void lostRecordIsWrittenAgainAndTheQuarantineGoesOn() {
        records.start();
        store.copy();
        quarantine();

        store.restoreCopy();
        time.advance(UNTIL_REMOVALS);

        assertTrue(quarantine.isQuarantined(REQUEST));
        assertEquals(1, recordCount());
    }

    // Guards against a record that is lost for good, as the entry that removes records has failed as well.
    @Test
    void lostRecordIsWrittenByAnyEntryThatKnowsIt() {
        cleansUp = false;
        lostRecordIsWrittenAgainAndTheQuarantineGoesOn();
    }

    // Guards against writes of all entries after each restore.
    @Test
    void recordThatIsNotLostIsNotWritten() {
        records.start();
        quarantine();
        store.copy();
        int writes = store.writeCount();

        store.restoreCopy();
        time.advance(UNTIL_REMOVALS);

        assertEquals(writes, store.writeCount());
        assertTrue(quarantine.isQuarantined(REQUEST));
    }

    private void quarantine() {
        quarantine.quarantine(REQUEST, new QuarantineState(0, Duration.ofSeconds(10), 0, Duration.ofMinutes(10)));
        records.writeAfter(REQUEST, Duration.ZERO);
        time.advance(Duration.ofMillis(100));
        assertEquals(1, recordCount());
    }

    private int recordCount() {
        return store.list(QuarantineRecords.PREFIX).await().indefinitely().size();
    }
}
