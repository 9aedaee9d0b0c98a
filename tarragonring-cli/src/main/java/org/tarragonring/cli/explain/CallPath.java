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
 * The path of a call through the system, reconstructed from log lines: the events of the call itself, and the events
 * at about the same time that concern the model and the replicas that the call used.
 *
 * @since 0.2.0
 */
public final class CallPath {

    /** Related events up to this long before the call's first line may explain what happened to the call. */
    private static final Duration LOOKBACK = Duration.ofSeconds(3);

    private static final Duration LOOKAHEAD = Duration.ofMillis(500);

    // The patterns match message formats of LogEvent, as written by this build and by older ones.
    private static final Pattern MODEL_PATTERN = Pattern.compile("waits for model (\\S+)");
    private static final Pattern REPLICA_PATTERN = Pattern.compile("(?:sent to replica|attempt on replica) ([^\\s,]+)");

    /** Codes of events that report the state of replicas, load orders, planned loads and ejected upstreams. */
    private static final Set<String> RELATED_CODES =
            Set.of("TRNG000410", "TRNG000411", "TRNG000412", "TRNG000414", "TRNG000420", "TRNG000422", "TRNG000701");

    private final List<Step> steps;

    private CallPath(List<Step> steps) {
        this.steps = List.copyOf(steps);
    }

    /**
     * Finds the path of a call.
     *
     * @param callId the call's id, not null
     * @param lines the log lines of any number of entries, in any order, not null
     * @return the path, without steps if no line contains the call's id
     */
    public static CallPath find(String callId, Collection<LogLine> lines) {
        String marker = "[" + callId + "]";
        List<LogLine> ownLines =
                lines.stream().filter(line -> line.message().contains(marker)).toList();
        if (ownLines.isEmpty()) {
            return new CallPath(List.of());
        }
        Instant firstTime = ownLines.stream()
                .map(LogLine::time)
                .min(Comparator.naturalOrder())
                .get();
        Instant lastTime = ownLines.stream()
                .map(LogLine::time)
                .max(Comparator.naturalOrder())
                .get();
        Set<String> subjects = findSubjects(ownLines);
        List<Step> steps = new ArrayList<>();
        for (LogLine line : lines) {
            boolean isOwn = line.message().contains(marker);
            boolean isNear = !line.time().isBefore(firstTime.minus(LOOKBACK))
                    && !line.time().isAfter(lastTime.plus(LOOKAHEAD));
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
     * Returns the steps of the path.
     *
     * @return the steps in order of time, empty if no line contains the call's id
     */
    public List<Step> steps() {
        return steps;
    }

    /** Returns the names of the models and replicas that the call's own lines mention. */
    private static Set<String> findSubjects(List<LogLine> ownLines) {
        Set<String> subjects = new HashSet<>();
        for (LogLine line : ownLines) {
            for (Pattern pattern : List.of(MODEL_PATTERN, REPLICA_PATTERN)) {
                Matcher matcher = pattern.matcher(line.message());
                while (matcher.find()) {
                    subjects.add(matcher.group(1));
                }
            }
        }
        return subjects;
    }

    /**
     * An event on the path of a call.
     *
     * @param time the time at which the event was logged, not null
     * @param host the host name of the entry that logged the event, not null
     * @param own whether the message contains the call's id; false for a related event
     * @param message the log message, which starts with the event's code; not null
     */
    public record Step(Instant time, String host, boolean own, String message) {}
}
