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

/** The options of commands that access the platform. */
final class PlatformOptions {

    private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(5);

    @Option(names = "--platform", description = "the address of the platform, HOST:PORT", required = true)
    private String platform;

    /** Applies a function to the platform's object store and closes the connections afterwards. */
    <T> T withStore(Function<ObjectStore, T> function) {
        HostPort address = parseAddress(platform);
        Vertx vertx = Vertx.vertx();
        try {
            return function.apply(new HttpObjectStore(WebClient.create(vertx), address, PLATFORM_TIMEOUT));
        } finally {
            vertx.close().toCompletionStage().toCompletableFuture().join();
        }
    }

    /** Applies a function to the repository of configuration generations. */
    <T> T withRepository(Function<ConfigRepository, T> function) {
        return withStore(store -> function.apply(new ConfigRepository(store)));
    }

    static HostPort parseAddress(String text) {
        try {
            return HostPort.parse(text);
        } catch (IllegalArgumentException e) {
            throw new UsageException(e.getMessage());
        }
    }
}
