package org.tarragonring.upstream;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

import io.smallrye.mutiny.Uni;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.objects.Instance;
import org.tarragonring.objects.InstanceList;

/**
 * Knows the upstreams of the instance list and how to reach their engines.
 *
 * @since 0.1.0
 */
public final class UpstreamDirectory implements EngineDirectory {

    private static final int READS_BEFORE_UNLISTED = 3;
    private static final int READS_BEFORE_GONE = 30;

    private final InstanceList list;
    private final Function<HostPort, Engine> connector;
    private final Map<HostPort, Engine> engines = new ConcurrentHashMap<>();
    private final Map<UpstreamId, Integer> missedReads = new HashMap<>();
    private final Map<UpstreamId, Integer> lastListedReads = new ConcurrentHashMap<>();
    private final Set<UpstreamId> markedLeaving = ConcurrentHashMap.newKeySet();
    private Collection<Instance> lastListed = List.of();
    private volatile int reads;
    private volatile Map<UpstreamId, Instance> instances = Map.of();

    /**
     * Creates a directory that knows no upstream yet.
     *
     * @param list the instance list, not null
     * @param connector makes an engine's client from its address, not null
     */
    public UpstreamDirectory(InstanceList list, Function<HostPort, Engine> connector) {
        this.list = Objects.requireNonNull(list, "list");
        this.connector = Objects.requireNonNull(connector, "connector");
    }

    /**
     * Notes that an upstream said itself that it is leaving, before the list shows it.
     *
     * @param upstream the upstream, not null
     */
    public void markLeaving(UpstreamId upstream) {
        markedLeaving.add(upstream);
    }

    /**
     * Returns how many bytes the latest read of the list transferred.
     *
     * @return bytes, 0 if the list had not changed
     */
    public int latestBytes() {
        return list.lastReadBytes();
    }

    /**
     * Reads the instance list again. An instance that is missing counts as leaving, and as gone only when it is
     * missing several times in a row.
     *
     * @return completes when the list was read; what is known stays if the platform cannot be reached
     */
    public Uni<Void> refresh() {
        return list.read().invoke(this::take).replaceWithVoid();
    }

    @Override
    public Optional<Engine> find(UpstreamId upstream) {
        return instance(upstream)
                .filter(Instance::runsModelEngine)
                .map(instance -> engines.computeIfAbsent(instance.address(), connector));
    }

    @Override
    public boolean isGone(UpstreamId upstream) {
        return !instances.containsKey(upstream)
                && reads - lastListedReads.getOrDefault(upstream, 0) >= READS_BEFORE_GONE;
    }

    /**
     * Finds an upstream.
     *
     * @param upstream its id, not null
     * @return the instance, or empty if it is not listed
     */
    public Optional<Instance> instance(UpstreamId upstream) {
        return Optional.ofNullable(instances.get(upstream));
    }

    /**
     * Returns the model engines.
     *
     * @return all that are listed, leaving ones included
     */
    public List<Instance> engines() {
        return instances.values().stream().filter(Instance::runsModelEngine).toList();
    }

    /**
     * Returns the instances of a plain service that may get new work.
     *
     * @param service the service's name, not null
     * @return the instances that are not leaving
     */
    public List<Instance> serving(String service) {
        return instances.values().stream()
                .filter(i -> i.service().equals(service) && !i.leaving())
                .toList();
    }

    /**
     * Checks if an upstream may get new work.
     *
     * @param upstream its id, not null
     * @return true if it is listed and not leaving
     */
    public boolean mayGetWork(UpstreamId upstream) {
        return !markedLeaving.contains(upstream)
                && instance(upstream).filter(i -> !i.leaving()).isPresent();
    }

    private synchronized void take(Collection<Instance> listed) {
        reads++;
        if (listed == lastListed && missedReads.isEmpty()) {
            return;
        }
        lastListed = listed;
        markedLeaving.clear();
        Map<UpstreamId, Instance> next = new HashMap<>();
        for (Instance instance : listed) {
            next.put(instance.id(), instance);
            missedReads.remove(instance.id());
            lastListedReads.put(instance.id(), reads);
        }
        for (Instance known : instances.values()) {
            if (next.containsKey(known.id())) {
                continue;
            }
            if (missedReads.merge(known.id(), 1, Integer::sum) < READS_BEFORE_UNLISTED) {
                next.put(
                        known.id(),
                        new Instance(known.id(), known.service(), known.address(), known.failureDomain(), true));
            } else {
                missedReads.remove(known.id());
                engines.remove(known.address());
            }
        }
        instances = Collections.unmodifiableMap(new TreeMap<>(next));
    }
}
