package org.tarragonring.cli;

/** The codes with which commands exit. */
final class ExitCodes {

    static final int DONE = 0;
    static final int FAILED = 1;
    static final int USAGE = 2;

    private ExitCodes() {}
}
