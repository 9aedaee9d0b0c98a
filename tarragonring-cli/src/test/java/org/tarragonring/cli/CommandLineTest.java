package org.tarragonring.cli;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class CommandLineTest {

    private static final String SETTINGS = """
            [entry]
            id = a
            failure-domain = d
            [caller]
            address = 127.0.0.1:0
            [peer]
            address = 127.0.0.1:0
            key = k
            [platform]
            address = 127.0.0.1:1
            """;

    @TempDir
    private Path folder;

    private final StringWriter errors = new StringWriter();
    private CommandLine commandLine;

    @BeforeEach
    void create() {
        commandLine = Main.commandLine();
        commandLine.setErr(new PrintWriter(errors, true));
        commandLine.getSubcommands().values().forEach(c -> c.setErr(new PrintWriter(errors, true)));
    }

    @Test
    void unknownCommandIsAUsageError() {
        assertEquals(2, commandLine.execute("serv"));
    }

    @Test
    void everyCommandHasHelpAndVersion() {
        for (String name : commandLine.getSubcommands().keySet()) {
            commandLine.setOut(new PrintWriter(new StringWriter()));
            commandLine.getSubcommands().get(name).setOut(new PrintWriter(new StringWriter()));
            assertEquals(0, commandLine.execute(name, "--help"), name);
            assertEquals(0, commandLine.execute(name, "--version"), name);
        }
    }

    @Test
    void exampleObjectsAreValid() {
        for (String site : new String[] {"strapwise", "ergovale"}) {
            assertEquals(0, commandLine.execute("check", "../examples/" + site), errors.toString());
        }
    }

    @Test
    void allProblemsOfObjectFilesAreReportedTogether() throws Exception {
        Files.copy(TestSite.objects().resolve("site.ini"), folder.resolve("site.ini"));
        Files.writeString(folder.resolve("wrong.ini"), """
                [adapter dangling]
                model = nowhere
                teams = atelier
                bytes = 1MiB

                [grant greedy]
                team = atelier
                capacity = site
                calls = 1000
                """);
        assertEquals(1, commandLine.execute("check", folder.toString()));
        assertTrue(errors.toString().contains("wrong.ini: [adapter dangling] model: model \"nowhere\" does not exist"));
        assertTrue(errors.toString().contains("[capacity site] calls: grants atelier, greedy take 1060 calls of 100"));
    }

    @Test
    void duplicateObjectIsReported() throws Exception {
        Files.writeString(folder.resolve("a.ini"), "[class x]\ndeadline = 1s\n[class x]\ndeadline = 2s\n");
        assertEquals(1, commandLine.execute("check", folder.toString()));
        assertTrue(errors.toString().contains("a.ini: [class x] is defined more than once"), errors.toString());
    }

    @Test
    void unknownSettingIsReportedWithFileSectionAndKey() throws Exception {
        Path file = folder.resolve("entry.ini");
        Files.writeString(file, SETTINGS.replace("key = k", "key = k\nprobe-perod = 1s"));
        assertEquals(2, commandLine.execute("serve", "--settings", file.toString()));
        assertTrue(errors.toString().contains("entry.ini: [peer] probe-perod: is not a setting"), errors.toString());
    }

    @Test
    void missingSettingAndInvalidUnitAreReportedTogether() throws Exception {
        Path file = folder.resolve("entry.ini");
        Files.writeString(file, SETTINGS.replace("id = a\n", "shutdown-limit = 5 parsecs\n"));
        assertEquals(2, commandLine.execute("serve", "--settings", file.toString()));
        assertTrue(errors.toString().contains("[entry] id: is missing"), errors.toString());
        assertTrue(errors.toString().contains("[entry] shutdown-limit: \"5 parsecs\""), errors.toString());
    }

    @Test
    void effectiveSettingsArePrinted() throws Exception {
        Path file = folder.resolve("entry.ini");
        Files.writeString(file, SETTINGS);
        assertEquals(0, commandLine.execute("serve", "--settings", file.toString(), "--print-settings"));
    }
}
