package org.tarragonring.cli;

import java.util.concurrent.Callable;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import org.tarragonring.cli.client.CallClient;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Prints the caller addresses of the entries to use for a model. */
@Command(name = "resolve", description = "Asks an entry which entries to use for a model and prints their addresses.")
final class ResolveCommand implements Callable<Integer> {

    @Mixin
    private CommonOptions common;

    @Option(names = "--entry", description = "the caller address of an entry, HOST:PORT", required = true)
    private String entry;

    @Parameters(index = "0", paramLabel = "TEAM", description = "the team's key")
    private String teamKey;

    @Parameters(index = "1", paramLabel = "MODEL", description = "the name of the model or adapter")
    private String model;

    @Override
    public Integer call() {
        Vertx vertx = Vertx.vertx();
        try {
            JsonObject response = new CallClient(vertx)
                    .resolve(PlatformOptions.parseAddress(entry), teamKey, model)
                    .toCompletionStage()
                    .toCompletableFuture()
                    .join();
            if (common.isJson()) {
                System.out.println(response.encode());
            } else {
                response.getJsonArray("addresses").forEach(System.out::println);
            }
            return ExitCodes.SUCCESS;
        } finally {
            vertx.close().toCompletionStage().toCompletableFuture().join();
        }
    }
}
