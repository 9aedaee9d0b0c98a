import java.io.File;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One entry of the system as a process of its own, started with the command and the template of the deploy file. */
final class Entry {

    private static final String SETTINGS_PATH = "/etc/tarragonring/local.toml";

    final String name;
    final String ip;
    final String front;
    final String ready;
    final String directory;
    private final Path settings;
    private final Path log;
    private Process process;

    Entry(String name, String ip, String zone, String store, Path folder) throws Exception {
        this.name = name;
        this.ip = ip;
        this.front = ip + ":" + freePort(ip);
        this.ready = ip + ":" + freePort(ip);
        this.directory = ip + ":" + freePort(ip);
        this.settings = folder.resolve(name + ".ini");
        this.log = folder.resolve(name + ".log");
        Map<String, String> values = new java.util.HashMap<>();
        values.put("node_name", name);
        values.put("zone", zone);
        values.put("ip", ip);
        values.put("listen.front", front);
        values.put("listen.ready_address", ready);
        values.put("listen.directory", directory);
        values.put("internal_ports.0", Integer.toString(freePort(ip)));
        values.put("platform.address", store);
        values.put("bounds.ttl_max_s", "5");
        values.put("bounds.contact_ms", "3000");
        values.put("bounds.drain_ms", "2000");
        values.put("bounds.lease_ms", "3000");
        values.put("bounds.require_fencing", "true");
        values.put("bounds.retry_budget_ratio", "0.2");
        values.put("bounds.retry_budget_slack", "56");
        values.put("bounds.budget_window_s", "10");
        values.put("bounds.grace_s", "8");
        Matcher matcher = Pattern.compile("\\{\\{([a-z_.0-9]+)}}").matcher(Files.readString(Path.of("deploy/entry.ini")));
        String text = matcher.replaceAll(found -> {
            String value = values.get(found.group(1));
            if (value == null) {
                throw new IllegalStateException("no value for " + found.group(1));
            }
            return Matcher.quoteReplacement(value);
        });
        Files.writeString(settings, text);
    }

    /** Finds a free address of the loopback network for an entry, whose metrics port is fixed. */
    static String freeAddress(java.util.Random random) throws Exception {
        for (int attempt = 0; attempt < 50; attempt++) {
            String ip = "127.%d.%d.%d".formatted(20 + random.nextInt(200), random.nextInt(250), 2 + random.nextInt(250));
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress(InetAddress.getByName(ip), 9464));
                return ip;
            } catch (java.io.IOException e) {
                continue;
            }
        }
        throw new IllegalStateException("no free loopback address");
    }

    private static int freePort(String ip) throws Exception {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName(ip), 0));
            return socket.getLocalPort();
        }
    }

    /** Returns the command of the deploy file, with another path of the settings file. */
    private List<String> command() throws Exception {
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"([^\"]+)\"").matcher(deploy);
        if (!run.find()) {
            throw new IllegalStateException("the deploy file has no run line");
        }
        List<String> command = new ArrayList<>();
        for (String word : run.group(1).split(" ")) {
            command.add(word.equals(SETTINGS_PATH) ? settings.toString() : word);
        }
        return command;
    }

    void start() throws Exception {
        ProcessBuilder builder = new ProcessBuilder(command());
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("TARRAGONRING_SETTINGS", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.directory(new File("."));
        process = builder.start();
        Case.record("%s started", name);
    }

    void awaitReady(long millis) throws Exception {
        long end = System.currentTimeMillis() + millis;
        while (!isReady()) {
            if (System.currentTimeMillis() > end || !process.isAlive()) {
                throw new IllegalStateException(name + " was not ready in time");
            }
            Thread.sleep(20);
        }
        Case.record("%s ready", name);
    }

    boolean isReady() {
        try {
            HttpURLConnection connection = (HttpURLConnection)
                    URI.create("http://" + ready + "/api/readyz").toURL().openConnection();
            connection.setConnectTimeout(500);
            connection.setReadTimeout(500);
            return connection.getResponseCode() == 200;
        } catch (java.io.IOException e) {
            return false;
        }
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    /** Sends SIGKILL. */
    void kill() throws Exception {
        if (process != null) {
            process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
            Case.record("%s killed", name);
        }
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
        Case.record("%s got SIGTERM", name);
    }

    String log() throws Exception {
        return Files.readString(log);
    }
}
