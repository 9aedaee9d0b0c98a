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

/** A site of real processes: platform, engines, a service and entries. */
final class ProcessSite implements AutoCloseable {

    final Vertx vertx = Vertx.vertx();
    final CallClient client = new CallClient(vertx);
    final WebClient web = WebClient.create(vertx);
    final List<Program> entries = new ArrayList<>();
    final List<HostPort> entryAddresses = new ArrayList<>();
    final List<HostPort> adminAddresses = new ArrayList<>();
    final List<HostPort> engineAddresses = new ArrayList<>();
    final HostPort platform;

    private final Path folder;
    private final List<Program> others = new ArrayList<>();

    ProcessSite(Path folder) throws IOException {
        this.folder = folder;
        this.platform = standIn("platform");
    }

    HostPort standIn(String... args) throws IOException {
        List<String> all = new ArrayList<>(List.of("stand-in"));
        all.addAll(List.of(args));
        Program program = Program.start(all.toArray(new String[0]));
        others.add(program);
        return HostPort.parse(program.line());
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
        engineAddresses.add(standIn(args.toArray(new String[0])));
    }

    void publish() throws Exception {
        Path objects = folder.resolve("objects");
        Files.createDirectories(objects);
        Files.copy(TestSite.objects().resolve("site.ini"), objects.resolve("site.ini"));
        try (Program publish = Program.start("publish", "--platform", platform.toString(), objects.toString())) {
            if (publish.exitCode() != 0) {
                throw new IOException(publish.errors());
            }
        }
    }

    void startEntry(String id, HostPort platformSeen) throws IOException {
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
                """.formatted(id, id, platformSeen));
        Program program = Program.start("serve", "--settings", settings.toString());
        entries.add(program);
        String[] words = program.line().split(" ");
        entryAddresses.add(HostPort.parse(words[1]));
        adminAddresses.add(HostPort.parse(words[3]));
    }

    void awaitReady() throws InterruptedException {
        for (HostPort admin : adminAddresses) {
            TestSite.await(() -> status(admin, "/readyz") == 200);
        }
    }

    int status(HostPort at, String path) {
        try {
            return TestSite.join(web.get(at.port(), at.host(), path).send()).statusCode();
        } catch (Exception e) {
            return -1;
        }
    }

    JsonObject json(HostPort at, String path) throws Exception {
        return TestSite.join(web.get(at.port(), at.host(), path).send()).bodyAsJsonObject();
    }

    /** Returns how many replicas of a model the engines hold. */
    int residents(String model) throws Exception {
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
        entries.forEach(Program::close);
        others.forEach(Program::close);
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }
}
