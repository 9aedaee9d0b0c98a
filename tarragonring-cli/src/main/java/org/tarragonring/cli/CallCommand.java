package org.tarragonring.cli;

import java.util.concurrent.Callable;

import io.vertx.core.Vertx;
import org.tarragonring.cli.client.CallClient;
import org.tarragonring.cli.client.CallResult;
import org.tarragonring.cli.client.ChatCall;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Calls a model through an entry and prints its tokens as they arrive. */
@Command(name = "call", description = "Calls a model through an entry and prints its tokens as they arrive.")
final class CallCommand implements Callable<Integer> {

    @Mixin
    private CommonOptions common;

    @Option(names = "--entry", description = "the caller address of an entry, HOST:PORT", required = true)
    private String entry;

    @Option(names = "--max-tokens", description = "the maximum number of tokens to generate", defaultValue = "16")
    private int maxTokens;

    @Parameters(index = "0", paramLabel = "TEAM", description = "the team's key")
    private String teamKey;

    @Parameters(index = "1", paramLabel = "MODEL", description = "the name of the model or adapter")
    private String model;

    @Parameters(index = "2", paramLabel = "PROMPT", description = "the content of the user message")
    private String prompt;

    @Override
    public Integer call() {
        Vertx vertx = Vertx.vertx();
        try {
            ChatCall chatCall = new ChatCall(PlatformOptions.parseAddress(entry), teamKey, model, prompt, maxTokens);
            CallResult result = new CallClient(vertx)
                    .chat(chatCall, token -> {
                        System.out.print(token);
                        System.out.flush();
                    })
                    .toCompletionStage()
                    .toCompletableFuture()
                    .join();
            System.out.println();
            if (result.isAnswered()) {
                return ExitCodes.SUCCESS;
            }
            System.err.println(result.describe());
            return ExitCodes.FAILURE;
        } finally {
            vertx.close().toCompletionStage().toCompletableFuture().join();
        }
    }
}
