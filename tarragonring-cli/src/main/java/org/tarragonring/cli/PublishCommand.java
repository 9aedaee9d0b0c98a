package org.tarragonring.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.Callable;

import org.tarragonring.config.ConfigManifest;
import org.tarragonring.config.ConfigSet;
import org.tarragonring.objects.Json;
import org.tarragonring.operator.Publisher;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Publishes a folder of object files; remembers in the folder which generation it is now based on. */
@Command(name = "publish", description = "Checks object files and puts them in force.")
final class PublishCommand implements Callable<Integer> {

    private static final String BASE_FILE = ".base-generation";

    @Mixin
    private CommonOptions common;

    @Mixin
    private PlatformOptions platform;

    @Parameters(paramLabel = "DIR", description = "the folder of object files")
    private Path folder;

    @Option(
            names = "--base",
            description = "the generation that the files were edited from; by default the one last published from DIR,"
                    + " else the one in force")
    private Long base;

    @Override
    public Integer call() throws Exception {
        ConfigSet set = ObjectFolder.readChecked(folder);
        OptionalLong baseGeneration = base();
        ConfigManifest manifest = platform.withRepository(repository -> new Publisher(repository)
                .publish(set, baseGeneration, UUID.randomUUID().toString())
                .await()
                .indefinitely());
        Files.writeString(folder.resolve(BASE_FILE), Long.toString(manifest.generation()));
        System.out.println(
                common.isJson()
                        ? Json.MAPPER.writeValueAsString(manifest)
                        : "generation %d is in force".formatted(manifest.generation()));
        return ExitCodes.DONE;
    }

    private OptionalLong base() throws IOException {
        if (base != null) {
            return OptionalLong.of(base);
        }
        Path file = folder.resolve(BASE_FILE);
        if (!Files.exists(file)) {
            return OptionalLong.empty();
        }
        try {
            return OptionalLong.of(Long.parseLong(Files.readString(file).trim()));
        } catch (NumberFormatException e) {
            throw new UsageException("file \"%s\" does not hold a generation".formatted(file));
        }
    }
}
