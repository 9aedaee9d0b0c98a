package org.tarragonring.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.WebClient;
import org.tarragonring.cli.client.CallClient;
import org.tarragonring.ids.HostPort;

/** A site whose platform, engines, plain services and entries run as separate processes. */
final class ProcessSite implements AutoCloseable {

    final Vertx vertx = Vertx.vertx();
    final CallClient client = new CallClient(vertx);
    final WebClient web = WebClient.create(vertx);
    final List<CliProcess> entries = new ArrayList<>();
    final List<HostPort> entryAddresses = new ArrayList<>();
    final List<HostPort> adminAddresses = new ArrayList<>();
    final List<HostPort> engineAddresses = new ArrayList<>();
    final HostPort platform;

    private final Path folder;
    private final List<CliProcess> standIns = new ArrayList<>();

    ProcessSite(Path folder) throws IOException {
        this.folder = folder;
        this.platform = startStandIn("platform");
    }

    HostPort startStandIn(String... args) throws IOException {
        List<String> all = new ArrayList<>(List.of("stand-in"));
        all.addAll(List.of(args));
        CliProcess process = CliProcess.start(all.toArray(new String[0]));
        standIns.add(process);
        return HostPort.parse(process.readLine());
    }

    void startEngine(int index, boolean honoursFence) throws IOException {
        List<String> args = new ArrayList<>(List.of(
                "engine",
                "--platform",
                platform.toString(),
                "--id",
                "engine-" + index,
                "--failure-domain",
                "d" + index));
        if (!honoursFence) {
            args.add("--ignores-fence");
        }
        engineAddresses.add(startStandIn(args.toArray(new String[0])));
    }

    void publish() throws Exception {
        Path objects = folder.resolve("objects");
        Files.createDirectories(objects);
        Files.copy(TestSite.objects().resolve("site.ini"), objects.resolve("site.ini"));
        try (CliProcess publish = CliProcess.start("publish", "--platform", platform.toString(), objects.toString())) {
            if (publish.exitCode() != 0) {
                throw new IOException(publish.errors());
            }
        }
    }

    void startEntry(String id, HostPort platformAddress) throws IOException {
        Path settings = folder.resolve(id + ".ini");
        Files.writeString(settings, """
                [entry]
                id = %s
                failure-domain = domain-%s
                shutdown-limit = 50s
                [caller]
                address = 127.0.0.1:0
                [peer]
                address = 127.0.0.1:0
                key = process-test
                [platform]
                address = %s
                [lease]
                duration = 3s
                renewal = 1s
                order-validity = 1s
                """.formatted(id, id, platformAddress));
        CliProcess process = CliProcess.start("serve", "--settings", settings.toString());
        entries.add(process);
        String[] words = process.readLine().split(" ");
        entryAddresses.add(HostPort.parse(words[1]));
        adminAddresses.add(HostPort.parse(words[3]));
    }

    void awaitReady() throws InterruptedException {
        for (HostPort admin : adminAddresses) {
            TestSite.await(() -> status(admin, "/readyz") == 200);
        }
    }

    /** Returns the status of a GET request, or -1 if it fails. */
    int status(HostPort address, String path) {
        try {
            return TestSite.join(web.get(address.port(), address.host(), path).send())
                    .statusCode();
        } catch (Exception e) {
            return -1;
        }
    }

    JsonObject json(HostPort address, String path) throws Exception {
        return TestSite.join(web.get(address.port(), address.host(), path).send())
                .bodyAsJsonObject();
    }

    /** Returns the number of replicas of a model that are resident in the engines. */
    int residentReplicas(String model) throws Exception {
        int count = 0;
        for (HostPort engine : engineAddresses) {
            for (Object resident : json(engine, "/status").getJsonArray("residents")) {
                count += ((JsonObject) resident).getString("model").equals(model) ? 1 : 0;
            }
        }
        return count;
    }

    @Override
    public void close() {
        entries.forEach(CliProcess::close);
        standIns.forEach(CliProcess::close);
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }
}
