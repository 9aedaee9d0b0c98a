package org.tarragonring.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.MalformedInputException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;

import org.tarragonring.cli.explain.CallPath;
import org.tarragonring.cli.explain.LogLine;
import org.tarragonring.objects.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Shows what happened to a call, from saved logs of any number of entries. */
@Command(name = "explain", description = "Shows the path of a request through saved logs, in order of time.")
final class ExplainCommand implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    @Mixin
    private CommonOptions common;

    @Parameters(index = "0", paramLabel = "REQUEST_ID", description = "the request's id")
    private String requestId;

    @Parameters(index = "1..*", arity = "1..*", paramLabel = "FILE", description = "logs as JSON lines")
    private List<Path> files;

    @Override
    public Integer call() throws IOException {
        List<LogLine> lines = new ArrayList<>();
        for (Path file : files) {
            read(file, lines);
        }
        CallPath path = CallPath.find(requestId, lines);
        if (path.steps().isEmpty()) {
            spec.commandLine()
                    .getErr()
                    .println("no line names request \"%s\" (%d log lines read)".formatted(requestId, lines.size()));
            return ExitCodes.FAILED;
        }
        for (CallPath.Step step : path.steps()) {
            spec.commandLine().getOut().println(common.isJson() ? json(step) : text(step));
        }
        return ExitCodes.DONE;
    }

    private static void read(Path file, List<LogLine> lines) throws IOException {
        try (var texts = Files.lines(file)) {
            texts.forEach(text -> LogLine.parse(text).ifPresent(lines::add));
        } catch (UncheckedIOException e) {
            if (e.getCause() instanceof MalformedInputException) {
                throw new UsageException("file \"%s\" is not UTF-8 text".formatted(file));
            }
            throw e;
        } catch (NoSuchFileException e) {
            throw new UsageException("file \"%s\" does not exist".formatted(file));
        }
    }

    private static String text(CallPath.Step step) {
        return "%s %-20s %s %s".formatted(step.time(), step.host(), step.own() ? "*" : " ", step.message());
    }

    private static String json(CallPath.Step step) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("time", step.time().toString());
        fields.put("host", step.host());
        fields.put("own", step.own());
        fields.put("message", step.message());
        return new String(Json.write(fields), StandardCharsets.UTF_8);
    }
}
