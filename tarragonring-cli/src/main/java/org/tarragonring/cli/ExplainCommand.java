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

/** Shows the path of a call, reconstructed from saved log files of any number of entries. */
@Command(
        name = "explain",
        description = "Shows the events of a call and related events from saved log files, in order of time.")
final class ExplainCommand implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    @Mixin
    private CommonOptions common;

    @Parameters(index = "0", paramLabel = "REQUEST_ID", description = "the call's id, as logged in brackets")
    private String callId;

    @Parameters(
            index = "1..*",
            arity = "1..*",
            paramLabel = "FILE",
            description = "log files with one JSON object per line")
    private List<Path> files;

    @Override
    public Integer call() throws IOException {
        List<LogLine> lines = new ArrayList<>();
        for (Path file : files) {
            readLines(file, lines);
        }
        CallPath path = CallPath.find(callId, lines);
        if (path.steps().isEmpty()) {
            spec.commandLine()
                    .getErr()
                    .println("no log line contains call id \"%s\" (%d log lines read)".formatted(callId, lines.size()));
            return ExitCodes.FAILURE;
        }
        for (CallPath.Step step : path.steps()) {
            spec.commandLine().getOut().println(common.isJson() ? toJson(step) : toText(step));
        }
        return ExitCodes.SUCCESS;
    }

    private static void readLines(Path file, List<LogLine> lines) throws IOException {
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

    private static String toText(CallPath.Step step) {
        return "%s %-20s %s %s".formatted(step.time(), step.host(), step.own() ? "*" : " ", step.message());
    }

    private static String toJson(CallPath.Step step) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("time", step.time().toString());
        fields.put("host", step.host());
        fields.put("own", step.own());
        fields.put("message", step.message());
        return new String(Json.write(fields), StandardCharsets.UTF_8);
    }
}
