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

/** A process that runs a command of the command line for a test. */
final class CliProcess implements AutoCloseable {

    private static final int TIMEOUT_SECONDS = 60;

    private final Process process;
    private final Path errorFile;

    private CliProcess(Process process, Path errorFile) {
        this.process = process;
        this.errorFile = errorFile;
    }

    static CliProcess start(String... args) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                ProcessHandle.current().info().command().orElse("java"),
                "-XX:+UseSerialGC",
                "-Xmx192m",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName()));
        command.addAll(Arrays.asList(args));
        Path errorFile = Files.createTempFile("tarragonring-test", ".log");
        errorFile.toFile().deleteOnExit();
        return new CliProcess(
                new ProcessBuilder(command).redirectError(errorFile.toFile()).start(), errorFile);
    }

    /** Reads the first line of standard output. Can be called only once, since lines buffered after it are lost. */
    String readLine() throws IOException {
        BufferedReader reader =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        String line = reader.readLine();
        if (line == null) {
            throw new IOException("process ended before it printed a line: " + Files.readString(errorFile));
        }
        return line;
    }

    /** Waits for the process to end and returns its exit code. */
    int exitCode() throws InterruptedException, IOException {
        if (!process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            throw new IOException(
                    "process did not end within " + TIMEOUT_SECONDS + " seconds: " + Files.readString(errorFile));
        }
        return process.exitValue();
    }

    String output() throws IOException {
        return new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    String errors() throws IOException {
        return Files.readString(errorFile);
    }

    /** Returns the standard error so far, for messages of assertions. */
    String errorsOrEmpty() {
        try {
            return errors();
        } catch (IOException e) {
            return "";
        }
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
