package org.tarragonring.log;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

import org.jboss.logmanager.LogContext;
import org.jboss.logmanager.formatters.JsonFormatter;
import org.jboss.logmanager.formatters.PatternFormatter;
import org.jboss.logmanager.handlers.AsyncHandler;
import org.jboss.logmanager.handlers.ConsoleHandler;

/**
 * Configures the destination, format and level of the log.
 *
 * @since 0.2.0
 */
public final class LogOutput {

    private static final String PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSZ} %-5p %s%e%n";
    private static final String ROOT_LOGGER = "";

    /** Capacity of the queue of unwritten lines. Further lines are discarded, so that logging never blocks. */
    private static final int MAX_QUEUED_LINES = 4_096;

    private static final LogRateLimiter RATE_LIMITER = new LogRateLimiter();

    private LogOutput() {}

    /**
     * Returns the number of lines that the rate limit has dropped.
     *
     * @return the count since the start of the process
     */
    public static long droppedLines() {
        return RATE_LIMITER.totalDropped();
    }

    /** Writes the queued lines and closes the log handlers. Must be invoked once, before the process exits. */
    public static void close() {
        for (Handler handler : LogContext.getLogContext().getLogger(ROOT_LOGGER).getHandlers()) {
            handler.close();
        }
    }

    /**
     * Configures the log; replaces an earlier configuration.
     *
     * @param target the stream to write to, not null
     * @param format {@code json} for JSON lines, otherwise plain text; not null
     * @param level {@code error}, {@code warn}, {@code info} or {@code debug}, not null; others mean {@code info}
     */
    public static void configure(Target target, String format, String level) {
        Logger root = LogContext.getLogContext().getLogger(ROOT_LOGGER);
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        ConsoleHandler handler = new ConsoleHandler(
                target == Target.OUTPUT ? ConsoleHandler.Target.SYSTEM_OUT : ConsoleHandler.Target.SYSTEM_ERR,
                format.equals("json") ? new JsonFormatter() : new PatternFormatter(PATTERN));
        handler.setLevel(Level.ALL);
        AsyncHandler asyncHandler = new AsyncHandler(MAX_QUEUED_LINES);
        asyncHandler.setOverflowAction(AsyncHandler.OverflowAction.DISCARD);
        asyncHandler.setCloseChildren(false);
        asyncHandler.addHandler(handler);
        asyncHandler.setFilter(RATE_LIMITER);
        root.addHandler(asyncHandler);
        root.setLevel(Level.WARNING);
        LogContext.getLogContext().getLogger("org.tarragonring").setLevel(level(level));
    }

    private static Level level(String name) {
        return switch (name) {
            case "error" -> org.jboss.logmanager.Level.ERROR;
            case "warn" -> org.jboss.logmanager.Level.WARN;
            case "debug" -> org.jboss.logmanager.Level.DEBUG;
            default -> org.jboss.logmanager.Level.INFO;
        };
    }

    /** The output stream of the log. */
    public enum Target {
        /** Standard output. */
        OUTPUT,
        /** Standard error. */
        ERROR
    }
}
