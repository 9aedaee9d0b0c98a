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
 * Keeps the upstreams of the instance list and the clients of their engines.
 *
 * @since 0.1.0
 */
public final class UpstreamDirectory implements EngineDirectory {

    private static final int MISSED_READS_BEFORE_UNLISTED = 3;
    private static final int MISSED_READS_BEFORE_REMOVED = 30;

    private final InstanceList instanceList;
    private final Function<HostPort, EngineClient> clientFactory;
    private final Map<HostPort, EngineClient> engineClients = new ConcurrentHashMap<>();
    private final Map<UpstreamId, Integer> missedReadCounts = new HashMap<>();
    private final Map<UpstreamId, Integer> lastListedReadNumbers = new ConcurrentHashMap<>();
    private final Set<UpstreamId> announcedLeaving = ConcurrentHashMap.newKeySet();
    private Collection<Instance> lastListed = List.of();
    private volatile int readCount;
    private volatile Map<UpstreamId, Instance> instances = Map.of();

    /**
     * Creates an empty directory.
     *
     * @param instanceList the instance list, not null
     * @param clientFactory creates an engine's client from its address, not null
     */
    public UpstreamDirectory(InstanceList instanceList, Function<HostPort, EngineClient> clientFactory) {
        this.instanceList = Objects.requireNonNull(instanceList, "instanceList");
        this.clientFactory = Objects.requireNonNull(clientFactory, "clientFactory");
    }

    /**
     * Marks an upstream as leaving after its engine reported this, until the next changed instance list is read.
     *
     * @param upstream the upstream's id, not null
     */
    public void markLeaving(UpstreamId upstream) {
        announcedLeaving.add(upstream);
    }

    /**
     * Returns how many bytes the last read of the list transferred.
     *
     * @return the number of bytes, 0 if the list had not changed
     */
    public int lastReadBytes() {
        return instanceList.lastReadBytes();
    }

    /**
     * Reads the instance list again. A missing instance is considered leaving, and is dropped from the directory only
     * when it is missing from several reads in a row.
     *
     * @return completes when the list was read; if the platform cannot be reached, it fails and the directory does not
     *     change
     */
    public Uni<Void> refresh() {
        return instanceList.read().invoke(this::update).replaceWithVoid();
    }

    @Override
    public Optional<EngineClient> find(UpstreamId upstream) {
        return instance(upstream)
                .filter(Instance::runsModelEngine)
                .map(instance -> engineClients.computeIfAbsent(instance.address(), clientFactory));
    }

    @Override
    public boolean isRemoved(UpstreamId upstream) {
        return !instances.containsKey(upstream)
                && readCount - lastListedReadNumbers.getOrDefault(upstream, 0) >= MISSED_READS_BEFORE_REMOVED;
    }

    /**
     * Finds the instance of an upstream.
     *
     * @param upstream the upstream's id, not null
     * @return the instance, or empty if it is not listed
     */
    public Optional<Instance> instance(UpstreamId upstream) {
        return Optional.ofNullable(instances.get(upstream));
    }

    /**
     * Returns the instances that are model engines.
     *
     * @return the instances, including those that are leaving; never null
     */
    public List<Instance> engines() {
        return instances.values().stream().filter(Instance::runsModelEngine).toList();
    }

    /**
     * Returns the instances of a plain service that can receive new calls.
     *
     * @param service the service's name, not null
     * @return the instances that are not listed as leaving, never null
     */
    public List<Instance> availableInstances(String service) {
        return instances.values().stream()
                .filter(instance -> instance.service().equals(service) && !instance.leaving())
                .toList();
    }

    /**
     * Checks whether an upstream accepts new calls and loads.
     *
     * @param upstream the upstream's id, not null
     * @return true if it is listed and neither listed nor marked as leaving
     */
    public boolean acceptsNewWork(UpstreamId upstream) {
        return !announcedLeaving.contains(upstream)
                && instance(upstream).filter(i -> !i.leaving()).isPresent();
    }

    private synchronized void update(Collection<Instance> listed) {
        readCount++;
        if (listed == lastListed && missedReadCounts.isEmpty()) {
            return;
        }
        lastListed = listed;
        announcedLeaving.clear();
        Map<UpstreamId, Instance> next = new HashMap<>();
        for (Instance instance : listed) {
            next.put(instance.id(), instance);
            missedReadCounts.remove(instance.id());
            lastListedReadNumbers.put(instance.id(), readCount);
        }
        for (Instance previous : instances.values()) {
            if (next.containsKey(previous.id())) {
                continue;
            }
            if (missedReadCounts.merge(previous.id(), 1, Integer::sum) < MISSED_READS_BEFORE_UNLISTED) {
                next.put(
                        previous.id(),
                        new Instance(
                                previous.id(), previous.service(), previous.address(), previous.failureDomain(), true));
            } else {
                missedReadCounts.remove(previous.id());
                engineClients.remove(previous.address());
            }
        }
        instances = Collections.unmodifiableMap(new TreeMap<>(next));
    }
}
