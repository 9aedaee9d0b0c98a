package org.tarragonring.cli;

/** The exit codes of the commands. */
final class ExitCodes {

    static final int SUCCESS = 0;
    static final int FAILURE = 1;
    static final int USAGE_ERROR = 2;

    private ExitCodes() {}
}
