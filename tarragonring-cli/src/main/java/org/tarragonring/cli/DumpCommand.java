package org.tarragonring.cli;

import java.util.concurrent.Callable;

import io.vertx.core.Vertx;
import io.vertx.ext.web.client.WebClient;
import org.tarragonring.ids.HostPort;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Prints the complete state of an entry as JSON. */
@Command(name = "dump", description = "Prints the complete state of an entry as JSON.")
final class DumpCommand implements Callable<Integer> {

    @Mixin
    private CommonOptions common;

    @Parameters(paramLabel = "ADDRESS", description = "the admin address of the entry, HOST:PORT")
    private String address;

    @Override
    public Integer call() {
        HostPort adminAddress = PlatformOptions.parseAddress(address);
        Vertx vertx = Vertx.vertx();
        try {
            System.out.println(WebClient.create(vertx)
                    .get(adminAddress.port(), adminAddress.host(), "/dump")
                    .send()
                    .toCompletionStage()
                    .toCompletableFuture()
                    .join()
                    .bodyAsString());
            return ExitCodes.SUCCESS;
        } finally {
            vertx.close().toCompletionStage().toCompletableFuture().join();
        }
    }
}
