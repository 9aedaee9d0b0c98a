package org.tarragonring.cli;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Options that every command has. */
@Command(mixinStandardHelpOptions = true, versionProvider = Version.class)
final class CommonOptions {

    @Option(names = "--output", description = "plain or json", defaultValue = "plain")
    private Output output;

    boolean isJson() {
        return output == Output.JSON;
    }

    /** The forms of results. */
    enum Output {
        PLAIN,
        JSON
    }
}
