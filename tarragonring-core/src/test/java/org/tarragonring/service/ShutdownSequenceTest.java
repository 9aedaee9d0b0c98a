package org.tarragonring.service;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a process that does not end as a step of its shutdown fails. */
class ShutdownSequenceTest {

    private final List<String> ran = new ArrayList<>();

    @Test
    void stepsRunInTheirOrder() {
        CompletableFuture<Void> ended = new ShutdownSequence()
                .then("first", () -> ran.add("first"))
                .then("second", () -> ran.add("second"))
                .run();

        assertTrue(ended.isDone());
        assertEquals(List.of("first", "second"), ran);
    }

    @Test
    void stepWaitsForThePreviousOne() {
        CompletableFuture<Void> first = new CompletableFuture<>();
        CompletableFuture<Void> ended = new ShutdownSequence()
                .thenAwait("first", () -> first)
                .then("second", () -> ran.add("second"))
                .run();

        assertEquals(List.of(), ran);
        assertFalse(ended.isDone());

        first.complete(null);

        assertEquals(List.of("second"), ran);
        assertTrue(ended.isDone());
    }

    @Test
    void failedStepsDoNotKeepTheNextOnesFromRunning() {
        CompletableFuture<Void> ended = new ShutdownSequence()
                .then("throwing", () -> {
                    throw new IllegalStateException("not started");
                })
                .thenAwait("failing", () -> CompletableFuture.failedFuture(new IllegalStateException("not started")))
                .thenAwait("without a stage", () -> null)
                .then("last", () -> ran.add("last"))
                .run();

        assertEquals(List.of("last"), ran);
        assertTrue(ended.isDone() && !ended.isCompletedExceptionally());
    }

    @Test
    void nullsAreRejected() {
        ShutdownSequence sequence = new ShutdownSequence();

        assertThrows(NullPointerException.class, () -> sequence.then(null, () -> {}));
        assertThrows(NullPointerException.class, () -> sequence.then("step", null));
        assertThrows(NullPointerException.class, () -> sequence.thenAwait("step", null));
    }
}
