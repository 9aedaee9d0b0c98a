package org.tarragonring.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process of the command line that a test runs. */
final class Program implements AutoCloseable {

    private static final int GUARD_SECONDS = 60;

    private final Process process;
    private final Path errors;

    private Program(Process process, Path errors) {
        this.process = process;
        this.errors = errors;
    }

    static Program start(String... args) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                ProcessHandle.current().info().command().orElse("java"),
                "-XX:+UseSerialGC",
                "-Xmx192m",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName()));
        command.addAll(Arrays.asList(args));
        Path errors = Files.createTempFile("tarragonring-test", ".log");
        errors.toFile().deleteOnExit();
        return new Program(
                new ProcessBuilder(command).redirectError(errors.toFile()).start(), errors);
    }

    /** Reads the next line of standard output. */
    String line() throws IOException {
        BufferedReader reader =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        String line = reader.readLine();
        if (line == null) {
            throw new IOException("the program ended: " + Files.readString(errors));
        }
        return line;
    }

    /** Waits for the end and returns the exit code. */
    int exitCode() throws InterruptedException, IOException {
        if (!process.waitFor(GUARD_SECONDS, TimeUnit.SECONDS)) {
            throw new IOException("the program does not end: " + Files.readString(errors));
        }
        return process.exitValue();
    }

    String output() throws IOException {
        return new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    String errors() throws IOException {
        return Files.readString(errors);
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    void kill() {
        process.destroyForcibly();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
