package org.tarragonring.config;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;

import org.tarragonring.ids.ModelName;

/**
 * A validated set of configuration objects. Only {@link ConfigChecker} creates it.
 *
 * @since 0.1.0
 */
public final class ConfigSet {

    private final List<ConfigObject> objects;
    private final Map<String, CallClass> classes;
    private final Map<String, Team> teamsByKeySha256;
    private final Map<ModelName, Model> models;
    private final Map<ModelName, Adapter> adapters;
    private final List<PlainService> services;

    ConfigSet(
            List<ConfigObject> objects,
            Collection<CallClass> classes,
            Collection<Team> teams,
            Collection<Model> models,
            Collection<Adapter> adapters,
            Collection<PlainService> services) {
        this.objects = List.copyOf(objects);
        this.classes = sortedByKey(classes, CallClass::name);
        this.teamsByKeySha256 = sortedByKey(teams, Team::keySha256);
        this.models = sortedByKey(models, Model::name);
        this.adapters = sortedByKey(adapters, Adapter::name);
        this.services = List.copyOf(services);
    }

    /** Returns the values by key. The map is sorted, so that every process iterates over it in the same order. */
    private static <K extends Comparable<K>, V> Map<K, V> sortedByKey(Collection<V> values, Function<V, K> key) {
        Map<K, V> sorted = new TreeMap<>();
        values.forEach(value -> sorted.put(key.apply(value), value));
        return Collections.unmodifiableMap(sorted);
    }

    /**
     * Returns the objects as written in the object files.
     *
     * @return all objects, ordered by kind and name
     */
    public List<ConfigObject> objects() {
        return objects;
    }

    /**
     * Finds a call class by name.
     *
     * @param name the name, not null
     * @return the class, or empty
     */
    public Optional<CallClass> callClass(String name) {
        return Optional.ofNullable(classes.get(name));
    }

    /**
     * Finds a team by its key.
     *
     * @param keySha256 the SHA-256 hash of the key in lower-case hexadecimal digits, not null
     * @return the team, or empty
     */
    public Optional<Team> teamByKeySha256(String keySha256) {
        return Optional.ofNullable(teamsByKeySha256.get(keySha256));
    }

    /**
     * Returns the teams.
     *
     * @return all teams, ordered by the hash of their keys
     */
    public Collection<Team> teams() {
        return teamsByKeySha256.values();
    }

    /**
     * Finds a model by name.
     *
     * @param name the name, not null
     * @return the model, or empty
     */
    public Optional<Model> model(ModelName name) {
        return Optional.ofNullable(models.get(name));
    }

    /**
     * Returns the models.
     *
     * @return all models, ordered by name
     */
    public Collection<Model> models() {
        return models.values();
    }

    /**
     * Finds an adapter by name.
     *
     * @param name the name, not null
     * @return the adapter, or empty
     */
    public Optional<Adapter> adapter(ModelName name) {
        return Optional.ofNullable(adapters.get(name));
    }

    /**
     * Returns the adapters.
     *
     * @return all adapters, ordered by name
     */
    public Collection<Adapter> adapters() {
        return adapters.values();
    }

    /**
     * Finds the service with the longest route that matches a path.
     *
     * @param path the path of the request, not null
     * @return the service, or empty if no route matches
     */
    public Optional<PlainService> serviceForPath(String path) {
        return services.stream()
                .filter(s -> path.equals(s.route()) || path.startsWith(s.route() + "/"))
                .max((a, b) -> Integer.compare(a.route().length(), b.route().length()));
    }

    /**
     * Returns the plain services.
     *
     * @return all plain services
     */
    public List<PlainService> services() {
        return services;
    }
}
