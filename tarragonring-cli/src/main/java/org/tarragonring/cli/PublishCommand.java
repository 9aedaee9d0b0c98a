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

/**
 * Publishes a folder of object files as the active configuration, and stores the new generation's number in the folder
 * as the base of the next publication.
 */
@Command(name = "publish", description = "Validates object files and publishes them as the active configuration.")
final class PublishCommand implements Callable<Integer> {

    private static final String BASE_GENERATION_FILE = ".base-generation";

    @Mixin
    private CommonOptions common;

    @Mixin
    private PlatformOptions platform;

    @Parameters(paramLabel = "DIR", description = "the folder of object files")
    private Path folder;

    @Option(
            names = "--base",
            description = "the generation on which the changes are based; by default the one last published from DIR,"
                    + " or else the active one")
    private Long base;

    @Override
    public Integer call() throws Exception {
        ConfigSet configSet = ObjectFolder.readValidated(folder);
        OptionalLong baseGeneration = readBaseGeneration();
        ConfigManifest manifest = platform.withRepository(repository -> new Publisher(repository)
                .publish(configSet, baseGeneration, UUID.randomUUID().toString())
                .await()
                .indefinitely());
        Files.writeString(folder.resolve(BASE_GENERATION_FILE), Long.toString(manifest.generation()));
        System.out.println(
                common.isJson()
                        ? Json.MAPPER.writeValueAsString(manifest)
                        : "generation %d is active".formatted(manifest.generation()));
        return ExitCodes.SUCCESS;
    }

    private OptionalLong readBaseGeneration() throws IOException {
        if (base != null) {
            return OptionalLong.of(base);
        }
        Path file = folder.resolve(BASE_GENERATION_FILE);
        if (!Files.exists(file)) {
            return OptionalLong.empty();
        }
        try {
            return OptionalLong.of(Long.parseLong(Files.readString(file).trim()));
        } catch (NumberFormatException e) {
            throw new UsageException("file \"%s\" does not contain a generation number".formatted(file));
        }
    }
}
