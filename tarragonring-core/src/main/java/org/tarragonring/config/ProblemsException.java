package org.tarragonring.config;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Thrown if configuration objects or settings are invalid. Contains all problems found.
 *
 * @since 0.1.0
 */
public final class ProblemsException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final transient List<Problem> problems;

    /**
     * Creates an exception.
     *
     * @param problems the problems, at least one, not null
     */
    public ProblemsException(List<Problem> problems) {
        super(problems.stream().map(Problem::toString).collect(Collectors.joining(System.lineSeparator())));
        this.problems = List.copyOf(problems);
    }

    /**
     * Returns the problems.
     *
     * @return the problems, at least one
     */
    public List<Problem> problems() {
        return problems;
    }
}
