package org.tarragonring.policy.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.SoftwareVersion;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.policy.config.EngineSpec;
import org.tarragonring.policy.config.ModelSpec;
import org.tarragonring.policy.replica.ListedReplica;
import org.tarragonring.policy.replica.ListedReplica.Holdings;
import org.tarragonring.policy.replica.ReplicaState;

/** The replicas and the demand of a planning pass. Models take half the memory of a replica, so that it holds two. */
final class PlanningScenario {

    static final long STORE_LOAD_MILLIS = 13_000;
    static final long DISK_LOAD_MILLIS = 1_200;
    static final double OBSERVED_SECONDS = 15;

    private static final double MODEL_MEGABYTES = 60;
    private static final double REPLICA_MEGABYTES = 130;
    private static final long SLACK_MILLIS = 1_000;

    final Map<ModelName, AggregateDemand> demands = new HashMap<>();
    final List<ReplicaSnapshot> replicas = new ArrayList<>();
    private final Map<ModelName, ModelSpec> models = new HashMap<>();
    private final List<String> failureDomains;

    /** Creates a scenario whose replicas take turns among failure domains. */
    PlanningScenario(String... failureDomains) {
        this.failureDomains = List.of(failureDomains);
    }

    static ModelName model(String name) {
        return new ModelName(name);
    }

    /** Adds a replica that can start a load now. */
    PlanningScenario replica(String id, Set<String> residents, Set<String> onDisk) {
        return replica(id, residents, onDisk, Optional.empty(), 0);
    }

    /** Adds a replica that is loading a model. */
    PlanningScenario loading(
            String id, Set<String> residents, Set<String> onDisk, String loaded, long remainingMillis) {
        return replica(id, residents, onDisk, Optional.of(model(loaded)), remainingMillis);
    }

    private PlanningScenario replica(
            String id, Set<String> residents, Set<String> onDisk, Optional<ModelName> loaded, long remainingMillis) {
        Map<ModelName, Set<String>> residentAdapters = new HashMap<>();
        residents.forEach(name -> residentAdapters.put(define(name), Set.of()));
        Set<ModelName> checkpoints = new HashSet<>();
        onDisk.forEach(name -> checkpoints.add(define(name)));
        loaded.ifPresent(model -> define(model.value()));
        ListedReplica listed = new ListedReplica(
                new UpstreamId(id),
                new ServiceName("assistant"),
                new HostPort("10.0.0.1", 8_000),
                failureDomains.get(replicas.size() % failureDomains.size()),
                new SoftwareVersion("v1"),
                48,
                false,
                new Holdings(1, 0, residentAdapters, Set.of(), checkpoints));
        replicas.add(
                new ReplicaSnapshot(new ReplicaState(listed, () -> 0), Map.of(), loaded, remainingMillis, false, true));
        return this;
    }

    /** Sets the speed of the replica that was added last. */
    PlanningScenario withSpeed(double speed) {
        ReplicaSnapshot last = replicas.remove(replicas.size() - 1);
        replicas.add(new ReplicaSnapshot(
                last.state(),
                last.running(),
                last.pendingLoad(),
                last.availableInMillis(),
                last.overdue(),
                last.controllable(),
                speed));
        return this;
    }

    /** Sets the demand for a model, whose call rate has been the same for the observed time. */
    PlanningScenario demand(String name, int waiting, int running, double callsPerSecond) {
        return demand(name, waiting, running, callsPerSecond, SLACK_MILLIS);
    }

    /** Sets the demand for a model whose most urgent waiting call has some time left until its objective. */
    PlanningScenario demand(String name, int waiting, int running, double callsPerSecond, long slackMillis) {
        ModelName model = define(name);
        demands.put(
                model,
                new AggregateDemand(
                        model, waiting, running, callsPerSecond, callsPerSecond * OBSERVED_SECONDS, slackMillis));
        return this;
    }

    List<PlannedLoad> plan(StoreLoadLimits limits) {
        EngineSpec engine = new EngineSpec(48, REPLICA_MEGABYTES, 8, 2, models);
        return new PlacementPlanner(engine).plan(replicas, new ServiceDemand(demands, OBSERVED_SECONDS), limits);
    }

    private ModelName define(String name) {
        ModelName model = model(name);
        models.put(
                model,
                new ModelSpec(
                        model,
                        MODEL_MEGABYTES,
                        0.5,
                        Duration.ofMillis(STORE_LOAD_MILLIS),
                        Duration.ofMillis(DISK_LOAD_MILLIS),
                        Duration.ofMillis(400)));
        return model;
    }
}
