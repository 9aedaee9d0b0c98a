package org.tarragonring.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;

import org.tarragonring.config.ConfigObject;
import org.tarragonring.objects.Json;
import org.tarragonring.operator.ConfigDiff;
import org.tarragonring.operator.ConfigRepository;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Shows the differences between the active configuration and a folder of object files. */
@Command(name = "diff", description = "Shows what publishing object files would change in the active configuration.")
final class DiffCommand implements Callable<Integer> {

    @Mixin
    private CommonOptions common;

    @Mixin
    private PlatformOptions platform;

    @Parameters(paramLabel = "DIR", description = "the folder of object files")
    private Path folder;

    @Override
    public Integer call() throws Exception {
        List<ConfigObject> after = ObjectFolder.readValidated(folder).objects();
        List<ConfigObject> before = platform.withRepository(DiffCommand::readActiveObjects);
        List<String> lines = ConfigDiff.lines(before, after);
        if (common.isJson()) {
            System.out.println(Json.MAPPER.writeValueAsString(lines));
        } else {
            lines.forEach(System.out::println);
        }
        return ExitCodes.SUCCESS;
    }

    /** Returns the objects of the active generation, or an empty list if nothing has been published yet. */
    static List<ConfigObject> readActiveObjects(ConfigRepository repository) {
        return repository
                .head()
                .await()
                .indefinitely()
                .map(head -> repository.objects(head).await().indefinitely())
                .orElse(List.of());
    }
}
