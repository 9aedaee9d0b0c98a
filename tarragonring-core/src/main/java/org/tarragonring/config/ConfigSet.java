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
 * A checked set of objects.
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
        this.classes = sorted(classes, CallClass::name);
        this.teamsByKeySha256 = sorted(teams, Team::keySha256);
        this.models = sorted(models, Model::name);
        this.adapters = sorted(adapters, Adapter::name);
        this.services = List.copyOf(services);
    }

    /** Indexes values in the order of their keys, so that every process goes through them in the same order. */
    private static <K extends Comparable<K>, V> Map<K, V> sorted(Collection<V> values, Function<V, K> key) {
        Map<K, V> sorted = new TreeMap<>();
        values.forEach(value -> sorted.put(key.apply(value), value));
        return Collections.unmodifiableMap(sorted);
    }

    /**
     * Returns the objects as they were written.
     *
     * @return all objects, in the order of kind and name
     */
    public List<ConfigObject> objects() {
        return objects;
    }

    /**
     * Finds a call class.
     *
     * @param name its name, not null
     * @return the class, or empty
     */
    public Optional<CallClass> callClass(String name) {
        return Optional.ofNullable(classes.get(name));
    }

    /**
     * Finds the team that a key belongs to.
     *
     * @param keySha256 the key's hash in lower-case hexadecimal digits, not null
     * @return the team, or empty
     */
    public Optional<Team> teamByKey(String keySha256) {
        return Optional.ofNullable(teamsByKeySha256.get(keySha256));
    }

    /**
     * Returns the teams.
     *
     * @return all teams, in no order
     */
    public Collection<Team> teams() {
        return teamsByKeySha256.values();
    }

    /**
     * Finds a model.
     *
     * @param name its name, not null
     * @return the model, or empty
     */
    public Optional<Model> model(ModelName name) {
        return Optional.ofNullable(models.get(name));
    }

    /**
     * Returns the models.
     *
     * @return all models, in no order
     */
    public Collection<Model> models() {
        return models.values();
    }

    /**
     * Finds an adapter.
     *
     * @param name its name, not null
     * @return the adapter, or empty
     */
    public Optional<Adapter> adapter(ModelName name) {
        return Optional.ofNullable(adapters.get(name));
    }

    /**
     * Returns the adapters.
     *
     * @return all adapters, in no order
     */
    public Collection<Adapter> adapters() {
        return adapters.values();
    }

    /**
     * Finds the service that a path leads to; the longest route wins.
     *
     * @param path the request's path, not null
     * @return the service, or empty
     */
    public Optional<PlainService> serviceFor(String path) {
        return services.stream()
                .filter(s -> path.equals(s.route()) || path.startsWith(s.route() + "/"))
                .max((a, b) -> Integer.compare(a.route().length(), b.route().length()));
    }

    /**
     * Returns the plain services.
     *
     * @return all services
     */
    public List<PlainService> services() {
        return services;
    }
}
