import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process of the system, started with the commands and the template of the deploy file. */
final class Entry {

    final String id;
    final int callerPort = Ports.free();
    final int readyPort = Ports.free();
    final int directoryPort = Ports.free();
    private final int peerPort = Ports.free();
    private final int metricsPort = Ports.free();
    private final Path folder;
    private final String storeAddress;
    private final String zone;
    private final boolean fencesChecked;
    private Process process;

    Entry(String id, String zone, Path folder, String storeAddress, boolean fencesChecked) throws IOException {
        this.id = id;
        this.zone = zone;
        this.folder = folder;
        this.storeAddress = storeAddress;
        this.fencesChecked = fencesChecked;
    }

    void start() throws IOException {
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        Path settings = folder.resolve(id + ".ini");
        Files.writeString(settings, render(Files.readString(Path.of(field(deploy, "template")))));
        List<String> command = new ArrayList<>();
        for (String word : field(deploy, "run").split(" ")) {
            command.add(word.equals("/etc/tarragonring/local.toml") ? settings.toString() : word);
        }
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(id + ".log").toFile()))
                .start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        Record.line("%s starts", id);
    }

    void awaitReady() throws IOException {
        long endMillis = Record.millis() + 30_000;
        while (!isReady()) {
            if (Record.millis() > endMillis || !process.isAlive()) {
                throw new IOException(id + " does not become ready");
            }
            TcpServer.sleep(100);
        }
        Record.line("%s is ready", id);
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Sends SIGTERM. */
    void terminate() {
        Record.line("SIGTERM to %s", id);
        process.destroy();
    }

    void kill() {
        process.destroyForcibly();
    }

    Process process() {
        return process;
    }

    private boolean isReady() {
        try {
            return new Client("127.0.0.1", readyPort).send("GET", "/api/readyz", Map.of(), 1_000).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private static String field(String toml, String name) {
        Matcher matcher = Pattern.compile("(?m)^" + name + " = \"(.*)\"$").matcher(toml);
        if (!matcher.find()) {
            throw new IllegalStateException("the deploy file has no " + name);
        }
        return matcher.group(1);
    }

    private String render(String template) {
        Map<String, String> values = Map.ofEntries(
                Map.entry("node_name", id),
                Map.entry("zone", zone),
                Map.entry("listen.front", "127.0.0.1:" + callerPort),
                Map.entry("listen.ready_address", "127.0.0.1:" + readyPort),
                Map.entry("listen.directory", "127.0.0.1:" + directoryPort),
                Map.entry("ip", "127.0.0.1"),
                Map.entry("internal_ports.0", Integer.toString(peerPort)),
                Map.entry("platform.address", storeAddress),
                Map.entry("bounds.ttl_max_s", "5"),
                Map.entry("bounds.contact_ms", "3000"),
                Map.entry("bounds.drain_ms", "2000"),
                Map.entry("bounds.lease_ms", "3000"),
                Map.entry("bounds.require_fencing", Boolean.toString(fencesChecked)),
                Map.entry("bounds.retry_budget_ratio", "0.2"),
                Map.entry("bounds.retry_budget_slack", "56"),
                Map.entry("bounds.budget_window_s", "10"),
                Map.entry("bounds.grace_s", "8"));
        // Without bounds for keys and quotas, as in the small deployments.
        String text = template.replaceAll("(?s)\\{\\{#[^}]*\\}\\}.*?\\{\\{/[^}]*\\}\\}", "")
                .replace("127.0.0.1:9464", "127.0.0.1:" + metricsPort)
                .replace("{{ip}}:9464", "127.0.0.1:" + metricsPort);
        for (Map.Entry<String, String> value : values.entrySet()) {
            text = text.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        if (text.contains("{{")) {
            throw new IllegalStateException("the template has unknown fields: " + text);
        }
        return text;
    }
}
