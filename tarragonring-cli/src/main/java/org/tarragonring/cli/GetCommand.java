package org.tarragonring.cli;

import java.util.List;
import java.util.concurrent.Callable;

import org.tarragonring.config.ConfigObject;
import org.tarragonring.config.ObjectKind;
import org.tarragonring.objects.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Shows the objects of the active configuration. */
@Command(name = "get", description = "Shows the objects of the active configuration.")
final class GetCommand implements Callable<Integer> {

    @Mixin
    private CommonOptions common;

    @Mixin
    private PlatformOptions platform;

    @Parameters(
            index = "0",
            paramLabel = "KIND",
            description =
                    "the kind of the objects: class, team, capacity, grant, model, version, adapter" + " or service")
    private String kind;

    @Parameters(
            index = "1",
            paramLabel = "NAME",
            arity = "0..1",
            description = "the name of an object; by default all objects of the kind are shown")
    private String name;

    @Override
    public Integer call() throws Exception {
        ObjectKind objectKind = ObjectKind.fromKeyword(kind)
                .orElseThrow(() -> new UsageException("\"%s\" is not a kind of object".formatted(kind)));
        List<ConfigObject> matches = platform.withRepository(DiffCommand::readActiveObjects).stream()
                .filter(o -> o.kind() == objectKind && (name == null || o.name().equals(name)))
                .toList();
        if (common.isJson()) {
            System.out.println(Json.MAPPER.writeValueAsString(matches));
        } else {
            matches.forEach(GetCommand::print);
        }
        if (name != null && matches.isEmpty()) {
            throw new IllegalArgumentException("%s \"%s\" does not exist".formatted(kind, name));
        }
        return ExitCodes.SUCCESS;
    }

    private static void print(ConfigObject object) {
        System.out.println("[" + object.section() + "]");
        object.keys().forEach((key, value) -> System.out.println(key + " = " + value));
        System.out.println();
    }
}
