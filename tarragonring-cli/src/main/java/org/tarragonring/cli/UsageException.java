package org.tarragonring.cli;

/** Thrown if a command is called with invalid arguments, settings or input files. */
final class UsageException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    UsageException(String message) {
        super(message);
    }
}
