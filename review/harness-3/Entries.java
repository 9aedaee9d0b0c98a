import java.io.File;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;

/** Starts entries with the run command of the deploy file and ends them. */
final class Entries {

    private static final int LOWEST_PORT = 15_000;
    private static final int HIGHEST_PORT = 30_000;

    private final Path folder;
    private final Store store;
    private final List<Entry> all = new CopyOnWriteArrayList<>();
    private Link link = address -> address;
    private int contactMillis = 3_000;
    private int drainMillis = 2_000;
    private String moreSettings = "";

    Entries(Path folder, Store store) {
        this.folder = folder;
        this.store = store;
        Runtime.getRuntime().addShutdownHook(new Thread(() -> all.forEach(entry -> entry.process.destroyForcibly())));
    }

    /** Sets what lies between the store and the entries that are started from now on. */
    void setLink(Link newLink) {
        link = newLink;
    }

    /** Sets the bounds of the deployment for the entries that are started from now on. */
    void setBounds(int newContactMillis, int newDrainMillis) {
        contactMillis = newContactMillis;
        drainMillis = newDrainMillis;
    }

    /** Adds sections to the settings of the entries that are started from now on. */
    void addSettings(String sections) {
        moreSettings += sections;
    }

    Entry start(String id, String zone) throws IOException {
        Entry entry = new Entry(id, zone);
        entry.launch();
        all.add(entry);
        return entry;
    }

    void stopAll() throws InterruptedException {
        for (Entry entry : all) {
            entry.process.destroyForcibly();
        }
        for (Entry entry : all) {
            entry.process.waitFor();
        }
    }

    /** Returns a port that nothing uses, below those that the system gives to outgoing connections. */
    private static int freePort() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(LOWEST_PORT, HIGHEST_PORT);
            InetAddress loopback = InetAddress.getLoopbackAddress();
            try {
                new ServerSocket(port, 1, loopback).close();
                new DatagramSocket(port, loopback).close();
                return port;
            } catch (IOException e) {
                // The port is in use.
            }
        }
    }

    /** What lies between a machine and the store. */
    interface Link {

        String through(String address) throws IOException;
    }

    /** An entry process with its addresses, which stay the same over restarts. */
    final class Entry {

        final String id;
        final int callerPort = freePort();
        final int readyPort = freePort();
        final int directoryPort = freePort();
        final int metricsPort = freePort();
        final int peerPort = freePort();
        private final String zone;
        private final String storeAddress;
        Process process;

        private Entry(String id, String zone) throws IOException {
            this.id = id;
            this.zone = zone;
            this.storeAddress = link.through(store.listen(id));
        }

        /** Starts the process with the command of the deploy file. */
        void launch() throws IOException {
            Path settings = folder.resolve(id + ".ini");
            Files.writeString(settings, """
                    [entry]
                    id = %s
                    failure-domain = %s
                    [caller]
                    address = 127.0.0.1:%d
                    max-id-bytes = 512
                    [ready]
                    address = 127.0.0.1:%d
                    [directory]
                    address = 127.0.0.1:%d
                    longest-keep-seconds = 5
                    [peer]
                    address = 127.0.0.1:%d
                    [metrics]
                    address = 127.0.0.1:%d
                    [store]
                    address = %s
                    contact-milliseconds = %d
                    [replicas]
                    drain-milliseconds = %d
                    [orders]
                    turn-milliseconds = 3000
                    fences-checked = true
                    [repeats]
                    ratio = 0.2
                    allowance = 56
                    window-seconds = 10
                    [shutdown]
                    limit-seconds = 8
                    """.formatted(
                            id,
                            zone,
                            callerPort,
                            readyPort,
                            directoryPort,
                            peerPort,
                            metricsPort,
                            storeAddress,
                            contactMillis,
                            drainMillis) + moreSettings);
            List<String> command = new ArrayList<>();
            for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
                if (line.startsWith("run = ")) {
                    command.addAll(List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" ")));
                }
            }
            command.set(command.size() - 1, settings.toString());
            File log = folder.resolve(id + ".log").toFile();
            process = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                    .start();
        }

        void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }

        /** Returns the status page of the entry. */
        String status() throws IOException {
            try (Client client = new Client(metricsPort)) {
                client.send("GET /dump HTTP/1.1\r\nHost: entry\r\n\r\n");
                return new String(client.read(2_000).body);
            }
        }

        boolean isReady() {
            try {
                HttpURLConnection connection = (HttpURLConnection)
                        URI.create("http://127.0.0.1:" + readyPort + "/api/readyz").toURL().openConnection();
                connection.setConnectTimeout(500);
                connection.setReadTimeout(500);
                return connection.getResponseCode() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void awaitReady() throws InterruptedException {
            long endNanos = System.nanoTime() + 30_000_000_000L;
            while (!isReady()) {
                if (System.nanoTime() > endNanos || !process.isAlive()) {
                    throw new IllegalStateException("entry " + id + " did not become ready");
                }
                Thread.sleep(50);
            }
        }
    }
}
