package org.tarragonring.standin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import io.smallrye.mutiny.Uni;
import org.junit.jupiter.api.Test;
import org.tarragonring.time.Delays;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class VirtualTimeTest {

    private final VirtualTime time = new VirtualTime();

    @Test
    void timersRunInOrder() {
        List<String> order = new ArrayList<>();
        time.schedule(Duration.ofSeconds(2), () -> order.add("second"));
        time.schedule(Duration.ofSeconds(1), () -> order.add("first"));
        time.advance(Duration.ofSeconds(3));
        assertEquals(List.of("first", "second"), order);
    }

    @Test
    void cancelledTimerDoesNotRun() {
        time.schedule(Duration.ofSeconds(1), () -> {
                    throw new AssertionError("ran");
                })
                .cancel();
        time.advance(Duration.ofSeconds(3));
    }

    @Test
    void manyPollsDoNotOverflowTheStack() {
        AtomicInteger polls = new AtomicInteger();
        List<Boolean> results = new ArrayList<>();
        new Delays(time)
                .pollUntilPresent(
                        Duration.ofMillis(100),
                        () -> Uni.createFrom()
                                .item(polls.incrementAndGet() > 50_000 ? Optional.of(true) : Optional.<Boolean>empty()))
                .subscribe()
                .with(results::add);
        time.advance(Duration.ofHours(2));
        assertEquals(1, results.size());
        assertTrue(polls.get() > 50_000);
    }
}
