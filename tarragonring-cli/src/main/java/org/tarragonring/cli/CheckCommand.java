package org.tarragonring.cli;

import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;

import org.tarragonring.config.ConfigSet;
import org.tarragonring.config.ProblemsException;
import org.tarragonring.objects.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Validates a folder of object files as one configuration. */
@Command(name = "check", description = "Validates object files as one configuration.")
final class CheckCommand implements Callable<Integer> {

    @Mixin
    private CommonOptions common;

    @Parameters(paramLabel = "DIR", description = "the folder of object files")
    private Path folder;

    @Override
    public Integer call() throws Exception {
        try {
            ConfigSet configSet = ObjectFolder.readValidated(folder);
            System.out.println(
                    common.isJson()
                            ? Json.MAPPER.writeValueAsString(
                                    Map.of("objects", configSet.objects().size()))
                            : configSet.objects().size() + " objects are valid");
            return ExitCodes.SUCCESS;
        } catch (ProblemsException e) {
            if (!common.isJson()) {
                throw e;
            }
            System.out.println(Json.MAPPER.writeValueAsString(Map.of("problems", e.problems())));
            return ExitCodes.FAILURE;
        }
    }
}
