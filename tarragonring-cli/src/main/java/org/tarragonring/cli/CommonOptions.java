package org.tarragonring.cli;

import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The options that all commands have. */
@Command(mixinStandardHelpOptions = true, versionProvider = Version.class)
final class CommonOptions {

    @Option(names = "--output", description = "the output format, plain or json", defaultValue = "plain")
    private Output output;

    boolean isJson() {
        return output == Output.JSON;
    }

    /** The output formats. */
    enum Output {
        PLAIN,
        JSON
    }
}
