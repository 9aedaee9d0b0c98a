package org.tarragonring.policy.quota;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.EntryId;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** An account must not grant a request twice, nor a burst that another coordinator may have granted before. */
class QuotaAccountTest {

    private static final QuotaSettings SETTINGS = new QuotaSettings(Duration.ofSeconds(8), 0, 0);
    private static final QuotaLimit LIMIT = new QuotaLimit(100, 5_000, true, 50);
    private static final EntryId ENTRY = new EntryId("front-1");
    private static final EntryId OTHER = new EntryId("front-2");

    private long nowMillis = 40_000;
    private final QuotaAccount account = new QuotaAccount(SETTINGS, LIMIT, 1, () -> nowMillis * 1_000_000);
    private long sequence;

    @Test
    void repeatedRequestGetsTheSameAnswerAndIsDebitedOnce() {
        nowMillis += 1_000;
        long first = ++sequence;

        assertEquals(60, account.onRequest(ENTRY, first, 60, 0).granted());
        assertEquals(60, account.onRequest(ENTRY, first, 60, 0).granted());
        assertEquals(40, grant(OTHER, 40));
        assertEquals(0, account.onRequest(ENTRY, first - 1, 1, 0).granted(), "an older request that was overtaken");
    }

    @Test
    void burstIsAddedWhenAWindowHasPassed() {
        nowMillis += 7_900;
        assertEquals(0, grant(ENTRY, 1_000));
        nowMillis += 100;
        assertEquals(5_000, grant(ENTRY, 5_000));
    }

    @Test
    void refusedCallsAreToldToComeBackOneAfterTheOther() {
        QuotaAccount.Answer first = account.onRequest(ENTRY, ++sequence, 100, 0);
        QuotaAccount.Answer second = account.onRequest(OTHER, ++sequence, 100, 0);

        assertEquals(1_000, first.retryAfterMillis());
        assertEquals(2_000, second.retryAfterMillis());
        nowMillis += first.retryAfterMillis();
        assertEquals(100, grant(ENTRY, 100), "there is capacity when the time has passed");
    }

    // Guards against a team whose limit has no burst and which is refused for ever.
    @Test
    void limitWithoutABurstGrantsItsRate() {
        account.setLimit(new QuotaLimit(100, 0, true, 50), 1);
        for (int i = 0; i < 16; i++) {
            nowMillis += 500;
            assertEquals(50, grant(ENTRY, 50));
        }
        assertEquals(0, grant(ENTRY, 50));
    }

    @Test
    void accountsOnBothSidesOfAPartitionShareTheLimit() {
        account.setLimit(LIMIT, 0.25);
        nowMillis += 1_000;

        assertEquals(0, grant(ENTRY, 26));
        assertEquals(25, grant(ENTRY, 25));
    }

    // Load: a team that asks for as much as it can get. Guards against a tolerance that is used up in the calm.
    @Test
    void grantsOfAWindowLeaveAPartOfTheTolerance() {
        QuotaSettings settings = new QuotaSettings(Duration.ofSeconds(8), 0.1, 200);
        QuotaAccount tolerant = new QuotaAccount(settings, LIMIT, 1, () -> nowMillis * 1_000_000);
        nowMillis += 20_000;
        double granted = 0;
        for (int i = 0; i < 800; i++) {
            granted += tolerant.onRequest(ENTRY, ++sequence, 10, 0).granted();
            nowMillis += 10;
        }
        double limit = LIMIT.ratePerSecond() * 8 + LIMIT.burst();
        double tolerance = settings.maxPerWindow(LIMIT) - limit;
        assertTrue(granted > limit && granted <= limit + 0.75 * tolerance + 10, granted + " tokens");
    }

    @Test
    void closedAccountGrantsOnlyWhatItHolds() {
        nowMillis += 1_000;
        account.close();
        nowMillis += 10_000;

        assertEquals(100, grant(ENTRY, 100));
        assertEquals(0, grant(ENTRY, 1));
    }

    @Test
    void limitOfCallsLetsACallPassWhateverItsBurst() {
        QuotaLimit oneCall = new QuotaLimit(0.5, 0, false, 0);
        account.setLimit(oneCall, 1);
        nowMillis += 2_000;

        assertEquals(1, grant(ENTRY, 1));
        assertTrue(account.onRequest(ENTRY, ++sequence, 1, 0).retryAfterMillis() > 1_000);
    }

    private long grant(EntryId entry, long wanted) {
        return account.onRequest(entry, ++sequence, wanted, 0).granted();
    }
}
