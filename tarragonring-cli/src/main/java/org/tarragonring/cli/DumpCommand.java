package org.tarragonring.cli;

import java.util.concurrent.Callable;

import io.vertx.core.Vertx;
import io.vertx.ext.web.client.WebClient;
import org.tarragonring.ids.HostPort;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Prints a process's whole state. */
@Command(name = "dump", description = "Prints the whole state of a process as JSON.")
final class DumpCommand implements Callable<Integer> {

    @Mixin
    private CommonOptions common;

    @Parameters(paramLabel = "ADDRESS", description = "the process's admin address, HOST:PORT")
    private String address;

    @Override
    public Integer call() {
        HostPort admin = PlatformOptions.address(address);
        Vertx vertx = Vertx.vertx();
        try {
            System.out.println(WebClient.create(vertx)
                    .get(admin.port(), admin.host(), "/dump")
                    .send()
                    .toCompletionStage()
                    .toCompletableFuture()
                    .join()
                    .bodyAsString());
            return ExitCodes.DONE;
        } finally {
            vertx.close().toCompletionStage().toCompletableFuture().join();
        }
    }
}
