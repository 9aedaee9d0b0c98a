package org.tarragonring.cli;

import java.util.concurrent.Callable;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import org.tarragonring.cli.client.CallClient;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Asks an entry which addresses to use for a model. */
@Command(name = "resolve", description = "Asks an entry which addresses to use for a model.")
final class ResolveCommand implements Callable<Integer> {

    @Mixin
    private CommonOptions common;

    @Option(names = "--entry", description = "an entry's address, HOST:PORT", required = true)
    private String entry;

    @Parameters(index = "0", paramLabel = "TEAM", description = "the team's key")
    private String teamKey;

    @Parameters(index = "1", paramLabel = "MODEL", description = "the model or adapter")
    private String model;

    @Override
    public Integer call() {
        Vertx vertx = Vertx.vertx();
        try {
            JsonObject answer = new CallClient(vertx)
                    .resolve(PlatformOptions.address(entry), teamKey, model)
                    .toCompletionStage()
                    .toCompletableFuture()
                    .join();
            if (common.isJson()) {
                System.out.println(answer.encode());
            } else {
                answer.getJsonArray("addresses").forEach(System.out::println);
            }
            return ExitCodes.DONE;
        } finally {
            vertx.close().toCompletionStage().toCompletableFuture().join();
        }
    }
}
