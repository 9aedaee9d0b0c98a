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

/** Calls a model through an entry and prints the tokens as they come. */
@Command(name = "call", description = "Calls a model and prints its tokens.")
final class CallCommand implements Callable<Integer> {

    @Mixin
    private CommonOptions common;

    @Option(names = "--entry", description = "an entry's address, HOST:PORT", required = true)
    private String entry;

    @Option(names = "--max-tokens", description = "the most tokens wanted", defaultValue = "16")
    private int maxTokens;

    @Parameters(index = "0", paramLabel = "TEAM", description = "the team's key")
    private String teamKey;

    @Parameters(index = "1", paramLabel = "MODEL", description = "the model or adapter")
    private String model;

    @Parameters(index = "2", paramLabel = "PROMPT", description = "the message")
    private String prompt;

    @Override
    public Integer call() {
        Vertx vertx = Vertx.vertx();
        try {
            ChatCall chat = new ChatCall(PlatformOptions.address(entry), teamKey, model, prompt, maxTokens);
            CallResult result = new CallClient(vertx)
                    .chat(chat, token -> {
                        System.out.print(token);
                        System.out.flush();
                    })
                    .toCompletionStage()
                    .toCompletableFuture()
                    .join();
            System.out.println();
            if (result.isAnswered()) {
                return ExitCodes.DONE;
            }
            System.err.println(result.describe());
            return ExitCodes.FAILED;
        } finally {
            vertx.close().toCompletionStage().toCompletableFuture().join();
        }
    }
}
