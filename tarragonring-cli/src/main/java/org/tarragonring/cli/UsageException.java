package org.tarragonring.cli;

/** Reports that a command was called with wrong arguments or settings. */
final class UsageException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    UsageException(String message) {
        super(message);
    }
}
