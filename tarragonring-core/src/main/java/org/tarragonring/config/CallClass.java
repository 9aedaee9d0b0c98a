package org.tarragonring.config;

import java.time.Duration;

/**
 * A class of calls with the same deadline, priority and retry rules.
 *
 * @param name the name of the class, not null
 * @param deadline the longest time until the first part of the response, not null
 * @param priority the priority, from 0 (highest) to 9 (lowest)
 * @param retryable whether a call may be sent again although a previous attempt may have run
 * @param weight the cost of a late call relative to other classes, 1 or more
 * @since 0.1.0
 */
public record CallClass(String name, Duration deadline, int priority, boolean retryable, int weight) {}
