package org.tarragonring.cli;

import java.util.List;
import java.util.concurrent.Callable;

import org.tarragonring.config.ConfigObject;
import org.tarragonring.config.ObjectKind;
import org.tarragonring.objects.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Shows published objects. */
@Command(name = "get", description = "Shows published objects.")
final class GetCommand implements Callable<Integer> {

    @Mixin
    private CommonOptions common;

    @Mixin
    private PlatformOptions platform;

    @Parameters(
            index = "0",
            paramLabel = "KIND",
            description = "class, team, capacity, grant, model, version, adapter" + " or service")
    private String kind;

    @Parameters(index = "1", paramLabel = "NAME", arity = "0..1", description = "the object's name")
    private String name;

    @Override
    public Integer call() throws Exception {
        ObjectKind wanted = ObjectKind.fromKeyword(kind)
                .orElseThrow(() -> new UsageException("\"%s\" is not a kind".formatted(kind)));
        List<ConfigObject> found = platform.withRepository(DiffCommand::published).stream()
                .filter(o -> o.kind() == wanted && (name == null || o.name().equals(name)))
                .toList();
        if (common.isJson()) {
            System.out.println(Json.MAPPER.writeValueAsString(found));
        } else {
            found.forEach(GetCommand::print);
        }
        if (name != null && found.isEmpty()) {
            throw new IllegalArgumentException("%s \"%s\" does not exist".formatted(kind, name));
        }
        return ExitCodes.DONE;
    }

    private static void print(ConfigObject object) {
        System.out.println("[" + object.section() + "]");
        object.keys().forEach((key, value) -> System.out.println(key + " = " + value));
        System.out.println();
    }
}
