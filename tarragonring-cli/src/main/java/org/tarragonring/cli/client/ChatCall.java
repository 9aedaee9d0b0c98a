package org.tarragonring.cli.client;

import org.tarragonring.ids.HostPort;

/**
 * A call to a model.
 *
 * @param entry the address of the entry that receives the call, not null
 * @param teamKey the team's key, not null
 * @param model the name of the model or adapter, not null
 * @param prompt the content of the user message, not null
 * @param maxTokens the maximum number of tokens to generate
 * @since 0.1.0
 */
public record ChatCall(HostPort entry, String teamKey, String model, String prompt, int maxTokens) {}
