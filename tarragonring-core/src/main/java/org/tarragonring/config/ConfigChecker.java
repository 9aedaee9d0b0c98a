package org.tarragonring.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.TeamName;

/**
 * Validates a set of configuration objects as a whole and reports all problems at once.
 *
 * @since 0.1.0
 */
public final class ConfigChecker {

    private static final int LOWEST_PRIORITY = 9;
    private static final int DEFAULT_PRIORITY = 5;
    private static final int MAX_WEIGHT = 1000;
    private static final int MAX_REPLICAS = 10_000;
    private static final int MAX_CALLS = 1_000_000;
    private static final int DEFAULT_CALLS_PER_REPLICA = 16;
    private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern ROUTE = Pattern.compile("(/[A-Za-z0-9._~-]+)+");

    private final List<SourcedObject> sources;
    private final Map<String, SourcedObject> bySection = new HashMap<>();
    private final List<Problem> problems = new ArrayList<>();
    private final Map<String, CallClass> classes = new TreeMap<>();

    private ConfigChecker(List<SourcedObject> sources) {
        this.sources = sources;
    }

    /**
     * Validates objects that were read from files.
     *
     * @param sources the objects and the files that define them, not null
     * @return the validated set
     * @throws ProblemsException if at least one object is invalid; contains all problems
     */
    public static ConfigSet check(List<SourcedObject> sources) {
        return new ConfigChecker(sources).check();
    }

    /**
     * Validates objects of a published generation.
     *
     * @param objects the objects, not null
     * @return the validated set
     * @throws ProblemsException if at least one object is invalid; contains all problems
     */
    public static ConfigSet checkPublished(Collection<ConfigObject> objects) {
        return check(objects.stream().map(o -> new SourcedObject("", o)).toList());
    }

    private ConfigSet check() {
        for (SourcedObject source : sources) {
            indexAndCheckKeys(source);
        }
        ofKind(ObjectKind.CLASS).forEach(source -> {
            CallClass callClass = parseCallClass(source);
            classes.put(callClass.name(), callClass);
        });
        List<Team> teams = ofKind(ObjectKind.TEAM).map(this::parseTeam).toList();
        ofKind(ObjectKind.VERSION).forEach(s -> checkReference(s, "model", ObjectKind.MODEL));
        ofKind(ObjectKind.GRANT).forEach(this::checkGrant);
        ofKind(ObjectKind.CAPACITY).forEach(this::checkCapacity);
        List<Model> models = ofKind(ObjectKind.MODEL).map(this::parseModel).toList();
        List<Adapter> adapters =
                ofKind(ObjectKind.ADAPTER).map(this::parseAdapter).toList();
        List<PlainService> services =
                ofKind(ObjectKind.SERVICE).map(this::parseService).toList();
        checkUniqueKeys(teams);
        checkUniqueRoutes(services);
        if (!problems.isEmpty()) {
            throw new ProblemsException(problems);
        }
        List<ConfigObject> objects = sources.stream()
                .map(SourcedObject::object)
                .sorted(Comparator.comparing(ConfigObject::kind).thenComparing(ConfigObject::name))
                .toList();
        return new ConfigSet(objects, classes.values(), teams, models, adapters, services);
    }

    private Stream<SourcedObject> ofKind(ObjectKind kind) {
        return sources.stream().filter(s -> s.object().kind() == kind);
    }

    private void indexAndCheckKeys(SourcedObject source) {
        ConfigObject object = source.object();
        SourcedObject earlier = bySection.putIfAbsent(object.section(), source);
        if (earlier != null) {
            report(source, "", "is already defined in file \"%s\"".formatted(earlier.file()));
        }
        try {
            new ModelName(object.name());
        } catch (IllegalArgumentException e) {
            report(source, "", e.getMessage());
        }
        for (String key : object.keys().keySet()) {
            if (!object.kind().allowedKeys().contains(key)) {
                report(
                        source,
                        key,
                        "is not a valid key for kind \"%s\""
                                .formatted(object.kind().keyword()));
            }
        }
        for (String key : new TreeSet<>(object.kind().requiredKeys())) {
            if (object.keys().getOrDefault(key, "").isBlank()) {
                report(source, key, "is missing");
            }
        }
    }

    private CallClass parseCallClass(SourcedObject source) {
        return new CallClass(
                source.object().name(),
                parseOrDefault(source, "deadline", ValueParser::parseDuration, Duration.ofSeconds(1)),
                parseOrDefault(
                        source, "priority", t -> ValueParser.parseInteger(t, 0, LOWEST_PRIORITY), DEFAULT_PRIORITY),
                parseOrDefault(source, "repeatable", ValueParser::parseBoolean, true),
                parseOrDefault(source, "weight", t -> ValueParser.parseInteger(t, 1, MAX_WEIGHT), 1));
    }

    private Team parseTeam(SourcedObject source) {
        String name = source.object().name();
        String hash = parseOrDefault(source, "key-sha256", this::parseSha256, "");
        int calls = ofKind(ObjectKind.GRANT)
                .filter(g -> name.equals(g.object().keys().get("team")))
                .mapToInt(g -> callsOrZero(g.object().keys().get("calls")))
                .sum();
        return new Team(new TeamName(validNameOrPlaceholder(name)), hash, calls);
    }

    private String parseSha256(String text) {
        if (!SHA256.matcher(text).matches()) {
            throw new IllegalArgumentException("is not 64 lower-case hexadecimal digits");
        }
        return text;
    }

    private void checkGrant(SourcedObject source) {
        checkReference(source, "team", ObjectKind.TEAM);
        checkReference(source, "capacity", ObjectKind.CAPACITY);
        parseOrDefault(source, "accelerator-bytes", ValueParser::parseBytes, 0L);
        parseOrDefault(source, "calls", t -> ValueParser.parseInteger(t, 0, MAX_CALLS), 0);
    }

    private void checkCapacity(SourcedObject source) {
        long bytes = parseOrDefault(source, "accelerator-bytes", ValueParser::parseBytes, Long.MAX_VALUE);
        int calls = parseOrDefault(source, "calls", t -> ValueParser.parseInteger(t, 1, MAX_CALLS), Integer.MAX_VALUE);
        String name = source.object().name();
        List<SourcedObject> grants = ofKind(ObjectKind.GRANT)
                .filter(g -> name.equals(g.object().keys().get("capacity")))
                .toList();
        long grantedBytes = grants.stream()
                .mapToLong(g -> bytesOrZero(g.object().keys().get("accelerator-bytes")))
                .sum();
        int grantedCalls = grants.stream()
                .mapToInt(g -> callsOrZero(g.object().keys().get("calls")))
                .sum();
        String granted = grants.stream().map(g -> g.object().name()).collect(Collectors.joining(", "));
        if (grantedBytes > bytes) {
            report(
                    source,
                    "accelerator-bytes",
                    "grants %s take %d bytes of %d".formatted(granted, grantedBytes, bytes));
        }
        if (grantedCalls > calls) {
            report(source, "calls", "grants %s take %d calls of %d".formatted(granted, grantedCalls, calls));
        }
    }

    private Model parseModel(SourcedObject source) {
        String name = source.object().name();
        checkReference(source, "version", ObjectKind.VERSION);
        String version = source.object().keys().getOrDefault("version", "");
        SourcedObject versionObject = bySection.get(ObjectKind.VERSION.keyword() + " " + version);
        if (versionObject != null && !name.equals(versionObject.object().keys().get("model"))) {
            report(source, "version", "version \"%s\" belongs to another model".formatted(version));
        }
        int minReplicas = parseOrDefault(source, "min-replicas", t -> ValueParser.parseInteger(t, 0, MAX_REPLICAS), 0);
        int maxReplicas = parseOrDefault(source, "max-replicas", t -> ValueParser.parseInteger(t, 1, MAX_REPLICAS), 1);
        if (minReplicas > maxReplicas) {
            report(source, "min-replicas", "%d is greater than max-replicas %d".formatted(minReplicas, maxReplicas));
        }
        long bytes = parseOrDefault(source, "accelerator-bytes", ValueParser::parseBytes, 0L)
                + parseOrDefault(source, "adapter-pool-bytes", ValueParser::parseBytes, 0L);
        return new Model(
                new ModelName(validNameOrPlaceholder(name)),
                resolveTeams(source),
                resolveCallClass(source),
                version,
                bytes,
                minReplicas,
                maxReplicas,
                parseOrDefault(
                        source,
                        "calls-per-replica",
                        t -> ValueParser.parseInteger(t, 1, MAX_CALLS),
                        DEFAULT_CALLS_PER_REPLICA));
    }

    private Adapter parseAdapter(SourcedObject source) {
        checkReference(source, "model", ObjectKind.MODEL);
        String name = source.object().name();
        if (bySection.containsKey(ObjectKind.MODEL.keyword() + " " + name)) {
            report(source, "", "has the same name as a model");
        }
        String base = source.object().keys().getOrDefault("model", "");
        long bytes = parseOrDefault(source, "bytes", ValueParser::parseBytes, 0L);
        SourcedObject model = bySection.get(ObjectKind.MODEL.keyword() + " " + base);
        if (model != null && bytes > bytesOrZero(model.object().keys().get("adapter-pool-bytes"))) {
            report(source, "bytes", "%d is greater than adapter-pool-bytes of model \"%s\"".formatted(bytes, base));
        }
        return new Adapter(
                new ModelName(validNameOrPlaceholder(name)),
                new ModelName(validNameOrPlaceholder(base)),
                resolveTeams(source),
                bytes);
    }

    private PlainService parseService(SourcedObject source) {
        String route = parseOrDefault(source, "route", this::parseRoute, "/");
        return new PlainService(source.object().name(), route, resolveTeams(source), resolveCallClass(source));
    }

    private String parseRoute(String text) {
        if (!ROUTE.matcher(text).matches()) {
            throw new IllegalArgumentException("\"%s\" is not a valid path, such as /bookings".formatted(text));
        }
        if (text.equals("/v1") || text.startsWith("/v1/")) {
            throw new IllegalArgumentException("\"%s\" is under /v1, which is reserved".formatted(text));
        }
        return text;
    }

    private CallClass resolveCallClass(SourcedObject source) {
        checkReference(source, "class", ObjectKind.CLASS);
        String name = source.object().keys().getOrDefault("class", "");
        return Optional.ofNullable(classes.get(name))
                .orElse(new CallClass(name, Duration.ofSeconds(1), DEFAULT_PRIORITY, false, 1));
    }

    private Set<TeamName> resolveTeams(SourcedObject source) {
        List<String> names = Arrays.stream(
                        source.object().keys().getOrDefault("teams", "").split(","))
                .map(String::trim)
                .filter(name -> !name.isEmpty())
                .toList();
        names.forEach(name -> checkDefined(source, "teams", ObjectKind.TEAM, name));
        return names.stream()
                .map(name -> new TeamName(validNameOrPlaceholder(name)))
                .collect(Collectors.toSet());
    }

    private void checkReference(SourcedObject source, String key, ObjectKind kind) {
        String name = source.object().keys().get(key);
        if (name != null && !name.isBlank()) {
            checkDefined(source, key, kind, name);
        }
    }

    private void checkDefined(SourcedObject source, String key, ObjectKind kind, String name) {
        if (!bySection.containsKey(kind.keyword() + " " + name)) {
            report(source, key, "%s \"%s\" does not exist".formatted(kind.keyword(), name));
        }
    }

    private void checkUniqueKeys(List<Team> teams) {
        Map<String, TeamName> owners = new HashMap<>();
        for (Team team : teams) {
            TeamName owner = owners.putIfAbsent(team.keySha256(), team.name());
            if (owner != null && !team.keySha256().isEmpty()) {
                SourcedObject source = bySection.get(ObjectKind.TEAM.keyword() + " " + team.name());
                report(source, "key-sha256", "is the same as the key of team \"%s\"".formatted(owner));
            }
        }
    }

    private void checkUniqueRoutes(List<PlainService> services) {
        Map<String, String> owners = new HashMap<>();
        for (PlainService service : services) {
            String owner = owners.putIfAbsent(service.route(), service.name());
            if (owner != null) {
                SourcedObject source = bySection.get(ObjectKind.SERVICE.keyword() + " " + service.name());
                report(source, "route", "is the same as the route of service \"%s\"".formatted(owner));
            }
        }
    }

    private <T> T parseOrDefault(SourcedObject source, String key, Function<String, T> parser, T defaultValue) {
        String text = source.object().keys().get(key);
        if (text == null || text.isBlank()) {
            return defaultValue;
        }
        try {
            return parser.apply(text);
        } catch (IllegalArgumentException | ArithmeticException e) {
            report(source, key, e.getMessage());
            return defaultValue;
        }
    }

    private void report(SourcedObject source, String key, String message) {
        problems.add(new Problem(source.file(), source.object().section(), key, message));
    }

    /** Returns the name, or a placeholder for an invalid name, which has been reported already. */
    private static String validNameOrPlaceholder(String name) {
        try {
            return new ModelName(name).value();
        } catch (IllegalArgumentException e) {
            return "invalid";
        }
    }

    /** Returns a size in bytes, or 0 for an invalid value, which is reported where its own object is checked. */
    private static long bytesOrZero(String text) {
        try {
            return text == null ? 0 : ValueParser.parseBytes(text);
        } catch (IllegalArgumentException | ArithmeticException e) {
            return 0;
        }
    }

    /** Returns a number of calls, or 0 for an invalid value, which is reported where its own object is checked. */
    private static int callsOrZero(String text) {
        try {
            return text == null ? 0 : ValueParser.parseInteger(text, 0, MAX_CALLS);
        } catch (IllegalArgumentException e) {
            return 0;
        }
    }

    /**
     * A configuration object and the file that defines it.
     *
     * @param file the file name, not null; empty if the object was not read from a file
     * @param object the object, not null
     */
    public record SourcedObject(String file, ConfigObject object) {}
}
