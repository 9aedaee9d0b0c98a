package org.tarragonring.config;

import org.tarragonring.ids.TeamName;

/**
 * A team of callers.
 *
 * @param name the team's name, not null
 * @param keySha256 the SHA-256 hash of the team's key, 64 lower-case hexadecimal digits, not null
 * @param maxCallsInFlight the number of concurrent calls that the team's grants allow in total
 * @since 0.1.0
 */
public record Team(TeamName name, String keySha256, int maxCallsInFlight) {}
