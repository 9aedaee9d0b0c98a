package org.tarragonring.policy.routing;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.policy.replica.ReplicaProcess;

import static org.junit.jupiter.api.Assertions.assertEquals;

class PromptPartMemoryTest {

    private static final List<String> PARTS = List.of("system", "document", "session");

    private final ManualClock clock = new ManualClock();
    private final PromptPartMemory memory = new PromptPartMemory(clock);

    private static ReplicaProcess process(String id, long startMillis) {
        return new ReplicaProcess(new UpstreamId(id), startMillis, Optional.empty());
    }

    @Test
    void countsThePartsUpToTheLastOneThatTheProcessGot() {
        memory.onSent(List.of("system", "document", "other session"), process("a", 1));
        assertEquals(2, memory.cachedParts(PARTS, process("a", 1)));
        assertEquals(0, memory.cachedParts(PARTS, process("b", 1)));
    }

    // Guards against calls that follow a cache which is gone.
    @Test
    void restartAndTimeEndTheCache() {
        memory.onSent(PARTS, process("a", 1));
        assertEquals(0, memory.cachedParts(PARTS, process("a", 2)));
        clock.nowMillis += 10_001;
        assertEquals(0, memory.cachedParts(PARTS, process("a", 1)));
    }

    @Test
    void memoryIsBounded() {
        memory.onSent(PARTS, process("a", 1));
        for (int i = 0; i < 4_000; i++) {
            memory.onSent(List.of("part-" + i), process("a", 1));
        }
        assertEquals(0, memory.cachedParts(PARTS, process("a", 1)));
    }
}
