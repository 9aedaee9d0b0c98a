package org.tarragonring.cli;

import java.util.concurrent.Callable;

import org.tarragonring.cli.bench.BenchCommand;
import org.tarragonring.cli.demo.DemoCommand;
import org.tarragonring.config.ProblemsException;
import org.tarragonring.log.LogOutput;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.ParameterException;

/**
 * The main class of the command line.
 *
 * @since 0.1.0
 */
@Command(
        name = "tarragonring",
        description = "Loads rarely used models on demand and routes calls to them.",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        subcommands = {
            ServeCommand.class,
            CheckCommand.class,
            PublishCommand.class,
            DiffCommand.class,
            GetCommand.class,
            ResolveCommand.class,
            CallCommand.class,
            DumpCommand.class,
            ExplainCommand.class,
            StandInCommand.class,
            DemoCommand.class,
            BenchCommand.class
        })
public final class Main implements Callable<Integer> {

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /**
     * Runs a command and exits with its exit code: 0 for success, 1 for failure, 2 for invalid arguments or settings.
     *
     * @param args the name of the command and its arguments, not null
     */
    public static void main(String[] args) {
        System.setProperty("java.util.logging.manager", "org.jboss.logmanager.LogManager");
        System.setProperty("org.jboss.logging.provider", "jboss");
        LogOutput.configure(LogOutput.Target.ERROR, "plain", "warn");
        System.exit(commandLine().execute(args));
    }

    /**
     * Creates the command line with all commands.
     *
     * @return a new command line, never null
     */
    public static CommandLine commandLine() {
        CommandLine commandLine = new CommandLine(new Main());
        commandLine.setCaseInsensitiveEnumValuesAllowed(true);
        commandLine.setExecutionExceptionHandler((failure, command, parseResult) -> {
            command.getErr().println(rootMessage(failure));
            return failure instanceof UsageException ? ExitCodes.USAGE_ERROR : ExitCodes.FAILURE;
        });
        return commandLine;
    }

    @Override
    public Integer call() {
        throw new ParameterException(spec.commandLine(), "command is missing");
    }

    /** Returns the message of the root cause, or of a {@link ProblemsException}, which lists all problems. */
    private static String rootMessage(Exception failure) {
        Throwable cause = failure;
        while (cause.getCause() != null && !(cause instanceof ProblemsException)) {
            cause = cause.getCause();
        }
        return cause.getMessage() == null ? cause.toString() : cause.getMessage();
    }
}
