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

/** Checks a folder of object files as one set. */
@Command(name = "check", description = "Checks object files as one set.")
final class CheckCommand implements Callable<Integer> {

    @Mixin
    private CommonOptions common;

    @Parameters(paramLabel = "DIR", description = "the folder of object files")
    private Path folder;

    @Override
    public Integer call() throws Exception {
        try {
            ConfigSet set = ObjectFolder.readChecked(folder);
            System.out.println(
                    common.isJson()
                            ? Json.MAPPER.writeValueAsString(
                                    Map.of("objects", set.objects().size()))
                            : set.objects().size() + " objects hold together");
            return ExitCodes.DONE;
        } catch (ProblemsException e) {
            if (!common.isJson()) {
                throw e;
            }
            System.out.println(Json.MAPPER.writeValueAsString(Map.of("problems", e.problems())));
            return ExitCodes.FAILED;
        }
    }
}
