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
 * The entry point of the command line.
 *
 * @since 0.1.0
 */
@Command(
        name = "tarragonring",
        description = "Serves rarely used models.",
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
     * Runs a command and exits with its code: 0 done, 1 refused or failed, 2 usage.
     *
     * @param args the command and its arguments, not null
     */
    public static void main(String[] args) {
        System.setProperty("java.util.logging.manager", "org.jboss.logmanager.LogManager");
        System.setProperty("org.jboss.logging.provider", "jboss");
        LogOutput.configure(LogOutput.Target.ERROR, "plain", "warn");
        System.exit(commandLine().execute(args));
    }

    /**
     * Makes the command line.
     *
     * @return a new command line
     */
    public static CommandLine commandLine() {
        CommandLine commandLine = new CommandLine(new Main());
        commandLine.setCaseInsensitiveEnumValuesAllowed(true);
        commandLine.setExecutionExceptionHandler((failure, failed, result) -> {
            failed.getErr().println(message(failure));
            return failure instanceof UsageException ? ExitCodes.USAGE : ExitCodes.FAILED;
        });
        return commandLine;
    }

    @Override
    public Integer call() {
        throw new ParameterException(spec.commandLine(), "a command is missing");
    }

    private static String message(Exception failure) {
        Throwable cause = failure;
        while (cause.getCause() != null && !(cause instanceof ProblemsException)) {
            cause = cause.getCause();
        }
        return cause.getMessage() == null ? cause.toString() : cause.getMessage();
    }
}
