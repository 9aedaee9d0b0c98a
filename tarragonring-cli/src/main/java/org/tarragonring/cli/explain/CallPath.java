package org.tarragonring.cli.explain;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What happened to a call, and what was decided meanwhile about the model and the replicas that it needed.
 *
 * @since 0.2.0
 */
public final class CallPath {

    /** How long before the call's first line a decision may lie that explains it. */
    private static final Duration BEFORE = Duration.ofSeconds(3);

    private static final Duration AFTER = Duration.ofMillis(500);

    private static final Pattern MODEL = Pattern.compile("waits for model (\\S+)");
    private static final Pattern REPLICA = Pattern.compile("(?:sent to replica|attempt on replica) ([^\\s,]+)");

    /** Events that change what is believed of models, replicas, leases and dependencies. */
    private static final Set<String> RELATED_CODES =
            Set.of("TRNG000410", "TRNG000411", "TRNG000412", "TRNG000414", "TRNG000420", "TRNG000422", "TRNG000701");

    private final List<Step> steps;

    private CallPath(List<Step> steps) {
        this.steps = List.copyOf(steps);
    }

    /**
     * Finds a call's path.
     *
     * @param callId the call's id, not null
     * @param lines the lines of any number of entries in any order, not null
     * @return the path, without steps if no line names the call
     */
    public static CallPath find(String callId, Collection<LogLine> lines) {
        String mark = "[" + callId + "]";
        List<LogLine> own =
                lines.stream().filter(line -> line.message().contains(mark)).toList();
        if (own.isEmpty()) {
            return new CallPath(List.of());
        }
        Instant from =
                own.stream().map(LogLine::time).min(Comparator.naturalOrder()).get();
        Instant to =
                own.stream().map(LogLine::time).max(Comparator.naturalOrder()).get();
        Set<String> subjects = subjects(own);
        List<Step> steps = new ArrayList<>();
        for (LogLine line : lines) {
            boolean isOwn = line.message().contains(mark);
            boolean isNear =
                    !line.time().isBefore(from.minus(BEFORE)) && !line.time().isAfter(to.plus(AFTER));
            boolean isRelated = isNear
                    && RELATED_CODES.contains(line.code())
                    && subjects.stream().anyMatch(line.message()::contains);
            if (isOwn || isRelated) {
                steps.add(new Step(line.time(), line.host(), isOwn, line.message()));
            }
        }
        steps.sort(Comparator.comparing(Step::time));
        return new CallPath(steps);
    }

    /**
     * Returns the steps.
     *
     * @return the steps in order of time
     */
    public List<Step> steps() {
        return steps;
    }

    private static Set<String> subjects(List<LogLine> own) {
        Set<String> subjects = new HashSet<>();
        for (LogLine line : own) {
            for (Pattern pattern : List.of(MODEL, REPLICA)) {
                Matcher matcher = pattern.matcher(line.message());
                while (matcher.find()) {
                    subjects.add(matcher.group(1));
                }
            }
        }
        return subjects;
    }

    /**
     * One step.
     *
     * @param time when, not null
     * @param host on which entry, not null
     * @param own whether the line names the call itself
     * @param message the event, not null
     */
    public record Step(Instant time, String host, boolean own, String message) {}
}
