package org.tarragonring.policy.routing;

import org.tarragonring.time.MonotonicClock;

/** A clock that a test advances. */
final class ManualClock implements MonotonicClock {

    long nowMillis = 50_000;

    @Override
    public long nanos() {
        return nowMillis * NANOS_PER_MILLI;
    }
}
