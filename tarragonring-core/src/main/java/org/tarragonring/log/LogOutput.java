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
 * Sets up where and how log events are written.
 *
 * @since 0.2.0
 */
public final class LogOutput {

    private static final String PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSZ} %-5p %s%e%n";
    private static final String ROOT = "";

    /** Lines that may wait to be written; more are left out, so that logging never holds up work. */
    private static final int QUEUED_LINES = 4_096;

    private static final VolumeLimit LIMIT = new VolumeLimit();

    private LogOutput() {}

    /**
     * Returns how many lines were left out to bound the volume.
     *
     * @return a count since the start
     */
    public static long linesLeftOut() {
        return LIMIT.totalLeftOut();
    }

    /** Writes the lines that wait. */
    public static void flush() {
        for (Handler handler : LogContext.getLogContext().getLogger(ROOT).getHandlers()) {
            handler.close();
        }
    }

    /**
     * Writes log events to standard output or standard error.
     *
     * @param target where to write, not null
     * @param format {@code json} or {@code plain}, not null
     * @param level {@code error}, {@code warn}, {@code info} or {@code debug}, not null
     */
    public static void configure(Target target, String format, String level) {
        Logger root = LogContext.getLogContext().getLogger(ROOT);
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        ConsoleHandler handler = new ConsoleHandler(
                target == Target.OUTPUT ? ConsoleHandler.Target.SYSTEM_OUT : ConsoleHandler.Target.SYSTEM_ERR,
                format.equals("json") ? new JsonFormatter() : new PatternFormatter(PATTERN));
        handler.setLevel(Level.ALL);
        AsyncHandler queue = new AsyncHandler(QUEUED_LINES);
        queue.setOverflowAction(AsyncHandler.OverflowAction.DISCARD);
        queue.setCloseChildren(false);
        queue.addHandler(handler);
        queue.setFilter(LIMIT);
        root.addHandler(queue);
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

    /** Where log events are written. */
    public enum Target {
        /** Standard output. */
        OUTPUT,
        /** Standard error. */
        ERROR
    }
}
