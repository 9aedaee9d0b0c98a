package org.tarragonring.standin.fleet;

import java.util.HashMap;
import java.util.Map;

import org.tarragonring.ids.ModelName;
import org.tarragonring.objects.ModelRecord;
import org.tarragonring.objects.RecordType;
import org.tarragonring.objects.UpstreamRecord;

/** Checks the invariants of a fleet against the state of the engines and the records in the platform's store. */
final class FleetInvariants {

    private final Fleet fleet;
    private final Map<String, Long> highestFences = new HashMap<>();
    private final Map<String, Long> highestGenerations = new HashMap<>();

    FleetInvariants(Fleet fleet) {
        this.fleet = fleet;
    }

    void check() {
        if (!fleet.violations.isEmpty()) {
            throw new AssertionError(fleet.violations.get(0));
        }
        fleet.engines.keySet().forEach(id -> checkFence(id.value()));
        fleet.engines.values().stream()
                .flatMap(engine -> engine.status().await().indefinitely().residents().stream())
                .map(resident -> resident.model())
                .distinct()
                .forEach(this::checkReplicas);
        fleet.entries.stream()
                .filter(entry -> entry.isAlive() && entry.control().isReady())
                .forEach(this::checkGeneration);
    }

    /**
     * Checks that each upstream record has as many reservations as the engine has models and that each reservation's
     * slot is in its model's record. To be called only while no load or unload is in progress.
     */
    void checkQuiescentState() {
        fleet.engines.forEach((id, engine) -> {
            UpstreamRecord record = fleet.records
                    .read(RecordType.UPSTREAM, id.value())
                    .await()
                    .indefinitely()
                    .body();
            long residents = engine.status().await().indefinitely().residents().size();
            if (record.reservations().size() != residents) {
                throw new AssertionError("upstream %s holds %d models, but its record has the reservations %s"
                        .formatted(id, residents, record.reservations()));
            }
            record.reservations().forEach(reservation -> {
                boolean inModelRecord =
                        model(reservation.model()).find(reservation.slot()).isPresent();
                if (!inModelRecord) {
                    throw new AssertionError("slot %s is reserved, but missing from the record of its model"
                            .formatted(reservation.slot()));
                }
            });
        });
    }

    private void checkFence(String upstream) {
        long fence = fleet.records
                .read(RecordType.UPSTREAM, upstream)
                .await()
                .indefinitely()
                .body()
                .fence();
        long previous = highestFences.merge(upstream, fence, Math::max);
        if (fence < previous) {
            throw new AssertionError(
                    "fencing token of upstream %s decreased from %d to %d".formatted(upstream, previous, fence));
        }
    }

    private void checkReplicas(ModelName model) {
        int replicas = fleet.replicas(model);
        int decided = model(model).decidedReplicas();
        if (replicas > decided) {
            throw new AssertionError(
                    "model %s has %d replicas, but only %d were decided".formatted(model, replicas, decided));
        }
    }

    /** Must be called for ready entries only: no configuration is active on others, since they serve no callers. */
    private void checkGeneration(FleetEntry entry) {
        long generation = entry.control().config().generation();
        long previous = highestGenerations.merge(entry.id, generation, Math::max);
        if (generation < previous) {
            throw new AssertionError("configuration generation of entry %s decreased from %d to %d"
                    .formatted(entry.id, previous, generation));
        }
    }

    private ModelRecord model(ModelName name) {
        return fleet.records
                .read(RecordType.MODEL, name.value())
                .await()
                .indefinitely()
                .body();
    }
}
