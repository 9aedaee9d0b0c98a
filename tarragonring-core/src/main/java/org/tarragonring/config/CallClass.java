package org.tarragonring.config;

import java.time.Duration;

/**
 * A class of calls.
 *
 * @param name its name, not null
 * @param deadline how long a call may take until its first answer, not null
 * @param priority 0 goes first, 9 last
 * @param repeatable whether a call that may have run can be sent again
 * @param weight how much a late call costs, relative to other classes
 * @since 0.1.0
 */
public record CallClass(String name, Duration deadline, int priority, boolean repeatable, int weight) {}
