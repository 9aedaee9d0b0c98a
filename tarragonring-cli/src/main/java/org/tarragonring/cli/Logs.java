package org.tarragonring.cli;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

import org.jboss.logmanager.LogContext;
import org.jboss.logmanager.formatters.JsonFormatter;
import org.jboss.logmanager.formatters.PatternFormatter;
import org.jboss.logmanager.handlers.ConsoleHandler;

/** Sets up logging to standard error. */
final class Logs {

    private static final String PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSZ} %-5p %s%e%n";
    private static final String ROOT = "";

    private Logs() {}

    static void configure(String format, String level) {
        Logger root = LogContext.getLogContext().getLogger(ROOT);
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        ConsoleHandler handler = new ConsoleHandler(
                ConsoleHandler.Target.SYSTEM_ERR,
                format.equals("json") ? new JsonFormatter() : new PatternFormatter(PATTERN));
        handler.setLevel(Level.ALL);
        root.addHandler(handler);
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
}
