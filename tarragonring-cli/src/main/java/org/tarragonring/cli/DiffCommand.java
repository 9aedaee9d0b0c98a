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

/** Shows in what a folder of object files differs from what is in force. */
@Command(name = "diff", description = "Shows what publishing object files would change.")
final class DiffCommand implements Callable<Integer> {

    @Mixin
    private CommonOptions common;

    @Mixin
    private PlatformOptions platform;

    @Parameters(paramLabel = "DIR", description = "the folder of object files")
    private Path folder;

    @Override
    public Integer call() throws Exception {
        List<ConfigObject> after = ObjectFolder.readChecked(folder).objects();
        List<ConfigObject> before = platform.withRepository(DiffCommand::published);
        List<String> lines = ConfigDiff.lines(before, after);
        if (common.isJson()) {
            System.out.println(Json.MAPPER.writeValueAsString(lines));
        } else {
            lines.forEach(System.out::println);
        }
        return ExitCodes.DONE;
    }

    static List<ConfigObject> published(ConfigRepository repository) {
        return repository
                .head()
                .await()
                .indefinitely()
                .map(head -> repository.objects(head).await().indefinitely())
                .orElse(List.of());
    }
}
