package org.tarragonring.config;

import org.tarragonring.ids.TeamName;

/**
 * A team of callers.
 *
 * @param name its name, not null
 * @param keySha256 the hash of its key, 64 hexadecimal digits, not null
 * @param callShare the calls in flight that its grants allow
 * @since 0.1.0
 */
public record Team(TeamName name, String keySha256, int callShare) {}
