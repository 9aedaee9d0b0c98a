package org.tarragonring.cli.explain;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Log files of several entries are read in any order and may contain lines that are not log events. */
class CallPathTest {

    /** Log lines with abbreviated messages, not in order of time. */
    private static final List<LogLine> LINES = Stream.of(
                    line(
                            "12:00:03.000Z",
                            "entry-2",
                            "TRNG000420: order load model=m7 adapter= replica=r1 reply=ACCEPTED"),
                    line(
                            "12:00:02.500Z",
                            "entry-1",
                            "TRNG000711: [c1] waits for model m7 adapter \\\"\\\", 0 calls already waiting"),
                    line(
                            "12:00:04.000Z",
                            "entry-1",
                            "TRNG000710: [c1] attempt 1 sent to replica r1, in flight there 0"),
                    line("12:00:04.500Z", "entry-1", "TRNG000712: [c1] ended status=200 outcome=answered"),
                    line(
                            "12:00:03.500Z",
                            "entry-1",
                            "TRNG000710: [c2] attempt 1 sent to replica r1, in flight there 0"),
                    line(
                            "12:00:03.600Z",
                            "entry-3",
                            "TRNG000420: order load model=m8 adapter= replica=r2 reply=ACCEPTED"),
                    line(
                            "11:00:00.000Z",
                            "entry-2",
                            "TRNG000420: order load model=m7 adapter= replica=r1 reply=FENCED"))
            .map(text -> LogLine.parse(text).orElseThrow())
            .toList();

    @Test
    void pathContainsOwnLinesAndRelatedEventsInOrderOfTime() {
        List<CallPath.Step> steps = CallPath.find("c1", LINES).steps();

        assertEquals(4, steps.size());
        assertEquals(
                List.of(true, false, true, true),
                steps.stream().map(CallPath.Step::own).toList());
        assertTrue(steps.get(1).message().contains("order load model=m7"));
    }

    @Test
    void unknownCallHasNoSteps() {
        assertEquals(List.of(), CallPath.find("c9", LINES).steps());
    }

    @Test
    void textBeforeTheJsonObjectIsIgnored() {
        String prefixed = "   0.2574 entry-1 " + line("12:00:02.500Z", "entry-1", "TRNG000111: ready");

        assertEquals("TRNG000111", LogLine.parse(prefixed).orElseThrow().code());
    }

    @Test
    void textThatIsNoLogLineWithAnEventCodeAndTimeIsNotParsed() {
        assertEquals(Optional.empty(), LogLine.parse(""));
        assertEquals(Optional.empty(), LogLine.parse("{broken"));
        assertEquals(Optional.empty(), LogLine.parse("{\"message\":\"message of a library\"}"));
        assertEquals(Optional.empty(), LogLine.parse("{\"message\":\"TRNG000111: x\",\"timestamp\":\"today\"}"));
    }

    private static String line(String time, String host, String message) {
        return "{\"timestamp\":\"2026-10-18T%s\",\"hostName\":\"%s\",\"message\":\"%s\"}"
                .formatted(time, host, message);
    }
}
