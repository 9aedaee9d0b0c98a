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
 * Checks a whole set of objects together and reports everything that is wrong with it at once.
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
     * Checks objects that came from files.
     *
     * @param sources the objects with their files, not null
     * @return the checked set
     * @throws ProblemsException with every problem found
     */
    public static ConfigSet check(List<SourcedObject> sources) {
        return new ConfigChecker(sources).check();
    }

    /**
     * Checks objects that were published.
     *
     * @param objects the objects, not null
     * @return the checked set
     * @throws ProblemsException with every problem found
     */
    public static ConfigSet checkPublished(Collection<ConfigObject> objects) {
        return check(objects.stream().map(o -> new SourcedObject("", o)).toList());
    }

    private ConfigSet check() {
        for (SourcedObject source : sources) {
            index(source);
        }
        ofKind(ObjectKind.CLASS).forEach(source -> {
            CallClass callClass = callClass(source);
            classes.put(callClass.name(), callClass);
        });
        List<Team> teams = ofKind(ObjectKind.TEAM).map(this::team).toList();
        ofKind(ObjectKind.VERSION).forEach(s -> reference(s, "model", ObjectKind.MODEL));
        ofKind(ObjectKind.GRANT).forEach(this::grant);
        ofKind(ObjectKind.CAPACITY).forEach(this::capacity);
        List<Model> models = ofKind(ObjectKind.MODEL).map(this::model).toList();
        List<Adapter> adapters = ofKind(ObjectKind.ADAPTER).map(this::adapter).toList();
        List<PlainService> services =
                ofKind(ObjectKind.SERVICE).map(this::service).toList();
        requireUniqueKeys(teams);
        requireUniqueRoutes(services);
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

    private void index(SourcedObject source) {
        ConfigObject object = source.object();
        SourcedObject earlier = bySection.putIfAbsent(object.section(), source);
        if (earlier != null) {
            report(source, "", "is defined already in file \"%s\"".formatted(earlier.file()));
        }
        try {
            new ModelName(object.name());
        } catch (IllegalArgumentException e) {
            report(source, "", e.getMessage());
        }
        for (String key : object.keys().keySet()) {
            if (!object.kind().keys().contains(key)) {
                report(
                        source,
                        key,
                        "is not a key of a %s".formatted(object.kind().text()));
            }
        }
        for (String key : new TreeSet<>(object.kind().required())) {
            if (object.keys().getOrDefault(key, "").isBlank()) {
                report(source, key, "is missing");
            }
        }
    }

    private CallClass callClass(SourcedObject source) {
        return new CallClass(
                source.object().name(),
                value(source, "deadline", Units::duration, Duration.ofSeconds(1)),
                value(source, "priority", t -> Units.integer(t, 0, LOWEST_PRIORITY), DEFAULT_PRIORITY),
                value(source, "repeatable", Units::truth, true),
                value(source, "weight", t -> Units.integer(t, 1, MAX_WEIGHT), 1));
    }

    private Team team(SourcedObject source) {
        String name = source.object().name();
        String hash = value(source, "key-sha256", this::sha256, "");
        int calls = ofKind(ObjectKind.GRANT)
                .filter(g -> name.equals(g.object().keys().get("team")))
                .mapToInt(g -> quietInteger(g.object().keys().get("calls")))
                .sum();
        return new Team(new TeamName(safeName(name)), hash, calls);
    }

    private String sha256(String text) {
        if (!SHA256.matcher(text).matches()) {
            throw new IllegalArgumentException("is not 64 lower-case hexadecimal digits");
        }
        return text;
    }

    private void grant(SourcedObject source) {
        reference(source, "team", ObjectKind.TEAM);
        reference(source, "capacity", ObjectKind.CAPACITY);
        value(source, "accelerator-bytes", Units::bytes, 0L);
        value(source, "calls", t -> Units.integer(t, 0, MAX_CALLS), 0);
    }

    private void capacity(SourcedObject source) {
        long bytes = value(source, "accelerator-bytes", Units::bytes, Long.MAX_VALUE);
        int calls = value(source, "calls", t -> Units.integer(t, 1, MAX_CALLS), Integer.MAX_VALUE);
        String name = source.object().name();
        List<SourcedObject> grants = ofKind(ObjectKind.GRANT)
                .filter(g -> name.equals(g.object().keys().get("capacity")))
                .toList();
        long grantedBytes = grants.stream()
                .mapToLong(g -> quietBytes(g.object().keys().get("accelerator-bytes")))
                .sum();
        int grantedCalls = grants.stream()
                .mapToInt(g -> quietInteger(g.object().keys().get("calls")))
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

    private Model model(SourcedObject source) {
        String name = source.object().name();
        reference(source, "version", ObjectKind.VERSION);
        String version = source.object().keys().getOrDefault("version", "");
        SourcedObject versionObject = bySection.get(ObjectKind.VERSION.text() + " " + version);
        if (versionObject != null && !name.equals(versionObject.object().keys().get("model"))) {
            report(source, "version", "version \"%s\" belongs to another model".formatted(version));
        }
        int minReplicas = value(source, "min-replicas", t -> Units.integer(t, 0, MAX_REPLICAS), 0);
        int maxReplicas = value(source, "max-replicas", t -> Units.integer(t, 1, MAX_REPLICAS), 1);
        if (minReplicas > maxReplicas) {
            report(source, "min-replicas", "%d is more than max-replicas %d".formatted(minReplicas, maxReplicas));
        }
        long bytes = value(source, "accelerator-bytes", Units::bytes, 0L)
                + value(source, "adapter-pool-bytes", Units::bytes, 0L);
        return new Model(
                new ModelName(safeName(name)),
                teams(source),
                classOf(source),
                version,
                bytes,
                minReplicas,
                maxReplicas,
                value(source, "calls-per-replica", t -> Units.integer(t, 1, MAX_CALLS), DEFAULT_CALLS_PER_REPLICA));
    }

    private Adapter adapter(SourcedObject source) {
        reference(source, "model", ObjectKind.MODEL);
        String name = source.object().name();
        if (bySection.containsKey(ObjectKind.MODEL.text() + " " + name)) {
            report(source, "", "a model has the same name");
        }
        String base = source.object().keys().getOrDefault("model", "");
        long bytes = value(source, "bytes", Units::bytes, 0L);
        SourcedObject model = bySection.get(ObjectKind.MODEL.text() + " " + base);
        if (model != null && bytes > quietBytes(model.object().keys().get("adapter-pool-bytes"))) {
            report(source, "bytes", "is more than adapter-pool-bytes of model \"%s\"".formatted(base));
        }
        return new Adapter(new ModelName(safeName(name)), new ModelName(safeName(base)), teams(source), bytes);
    }

    private PlainService service(SourcedObject source) {
        String route = value(source, "route", this::route, "/");
        return new PlainService(source.object().name(), route, teams(source), classOf(source));
    }

    private String route(String text) {
        if (!ROUTE.matcher(text).matches()) {
            throw new IllegalArgumentException("\"%s\" is not a path such as /bookings".formatted(text));
        }
        if (text.equals("/v1") || text.startsWith("/v1/")) {
            throw new IllegalArgumentException("\"%s\" lies under /v1, which is taken".formatted(text));
        }
        return text;
    }

    private CallClass classOf(SourcedObject source) {
        reference(source, "class", ObjectKind.CLASS);
        String name = source.object().keys().getOrDefault("class", "");
        return Optional.ofNullable(classes.get(name))
                .orElse(new CallClass(name, Duration.ofSeconds(1), DEFAULT_PRIORITY, false, 1));
    }

    private Set<TeamName> teams(SourcedObject source) {
        List<String> names = Arrays.stream(
                        source.object().keys().getOrDefault("teams", "").split(","))
                .map(String::trim)
                .filter(name -> !name.isEmpty())
                .toList();
        names.forEach(name -> requireDefined(source, "teams", ObjectKind.TEAM, name));
        return names.stream().map(name -> new TeamName(safeName(name))).collect(Collectors.toSet());
    }

    private void reference(SourcedObject source, String key, ObjectKind kind) {
        String name = source.object().keys().get(key);
        if (name != null && !name.isBlank()) {
            requireDefined(source, key, kind, name);
        }
    }

    private void requireDefined(SourcedObject source, String key, ObjectKind kind, String name) {
        if (!bySection.containsKey(kind.text() + " " + name)) {
            report(source, key, "%s \"%s\" does not exist".formatted(kind.text(), name));
        }
    }

    private void requireUniqueKeys(List<Team> teams) {
        Map<String, TeamName> owners = new HashMap<>();
        for (Team team : teams) {
            TeamName owner = owners.putIfAbsent(team.keySha256(), team.name());
            if (owner != null && !team.keySha256().isEmpty()) {
                SourcedObject source = bySection.get(ObjectKind.TEAM.text() + " " + team.name());
                report(source, "key-sha256", "team \"%s\" has the same key".formatted(owner));
            }
        }
    }

    private void requireUniqueRoutes(List<PlainService> services) {
        Map<String, String> owners = new HashMap<>();
        for (PlainService service : services) {
            String owner = owners.putIfAbsent(service.route(), service.name());
            if (owner != null) {
                SourcedObject source = bySection.get(ObjectKind.SERVICE.text() + " " + service.name());
                report(source, "route", "service \"%s\" has the same route".formatted(owner));
            }
        }
    }

    private <T> T value(SourcedObject source, String key, Function<String, T> parser, T fallback) {
        String text = source.object().keys().get(key);
        if (text == null || text.isBlank()) {
            return fallback;
        }
        try {
            return parser.apply(text);
        } catch (IllegalArgumentException | ArithmeticException e) {
            report(source, key, e.getMessage());
            return fallback;
        }
    }

    private void report(SourcedObject source, String key, String message) {
        problems.add(new Problem(source.file(), source.object().section(), key, message));
    }

    private static String safeName(String name) {
        try {
            return new ModelName(name).value();
        } catch (IllegalArgumentException e) {
            return "invalid";
        }
    }

    private static long quietBytes(String text) {
        try {
            return text == null ? 0 : Units.bytes(text);
        } catch (IllegalArgumentException | ArithmeticException e) {
            return 0;
        }
    }

    private static int quietInteger(String text) {
        try {
            return text == null ? 0 : Units.integer(text, 0, MAX_CALLS);
        } catch (IllegalArgumentException e) {
            return 0;
        }
    }

    /**
     * An object with the file it came from.
     *
     * @param file the file's name, not null; empty if it came from no file
     * @param object the object, not null
     */
    public record SourcedObject(String file, ConfigObject object) {}
}
