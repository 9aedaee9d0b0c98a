package org.tarragonring.cli.bench;

import java.util.concurrent.Callable;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * Groups the benchmark commands.
 *
 * @since 0.1.0
 */
@Command(
        name = "bench",
        description = "Groups the benchmarks of the system.",
        mixinStandardHelpOptions = true,
        subcommands = {ColdStartBench.class, LoadBench.class, ControlBench.class, StateBench.class})
public final class BenchCommand implements Callable<Integer> {

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
        throw new CommandLine.ParameterException(
                spec.commandLine(), "no benchmark was given; expected cold-start, load, control or state");
    }
}
