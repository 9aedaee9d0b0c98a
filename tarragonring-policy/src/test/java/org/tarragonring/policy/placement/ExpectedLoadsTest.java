package org.tarragonring.policy.placement;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.ModelName;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** A load that ends late must not hide one of the same model that ends soon, nor the reverse. */
class ExpectedLoadsTest {

    private static final ModelName MODEL = new ModelName("m1");

    private final ExpectedLoads expectedLoads = new ExpectedLoads();

    @Test
    void firstOfTwoLoadsCounts() {
        expectedLoads.add(MODEL, 17_000);
        expectedLoads.add(MODEL, 1_500);
        expectedLoads.add(MODEL, 9_000);

        assertEquals(1_000, expectedLoads.savedMillis(MODEL, 500));
        assertEquals(-500, expectedLoads.savedMillis(MODEL, 2_000));
    }

    @Test
    void anyLoadIsSoonerThanNone() {
        assertEquals(Long.MAX_VALUE, expectedLoads.savedMillis(MODEL, 500));
    }
}
