package org.tarragonring.cli;

import java.time.Duration;
import java.util.function.Function;

import io.vertx.core.Vertx;
import io.vertx.ext.web.client.WebClient;
import org.tarragonring.ids.HostPort;
import org.tarragonring.objects.HttpObjectStore;
import org.tarragonring.objects.ObjectStore;
import org.tarragonring.operator.ConfigRepository;
import picocli.CommandLine.Option;

/** Options of commands that work with the platform. */
final class PlatformOptions {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    @Option(names = "--platform", description = "the platform's address, HOST:PORT", required = true)
    private String platform;

    /** Runs a function with the platform's store and closes the connection afterwards. */
    <T> T withStore(Function<ObjectStore, T> function) {
        HostPort address = address(platform);
        Vertx vertx = Vertx.vertx();
        try {
            return function.apply(new HttpObjectStore(WebClient.create(vertx), address, TIMEOUT));
        } finally {
            vertx.close().toCompletionStage().toCompletableFuture().join();
        }
    }

    /** Runs a function with the published generations. */
    <T> T withRepository(Function<ConfigRepository, T> function) {
        return withStore(store -> function.apply(new ConfigRepository(store)));
    }

    static HostPort address(String text) {
        try {
            return HostPort.parse(text);
        } catch (IllegalArgumentException e) {
            throw new UsageException(e.getMessage());
        }
    }
}
