package org.tarragonring.cli.client;

import org.tarragonring.ids.HostPort;

/**
 * A call of a model.
 *
 * @param entry the entry to connect to, not null
 * @param teamKey the team's key, not null
 * @param model the model or adapter, not null
 * @param prompt the message, not null
 * @param maxTokens the most tokens wanted
 * @since 0.1.0
 */
public record ChatCall(HostPort entry, String teamKey, String model, String prompt, int maxTokens) {}
