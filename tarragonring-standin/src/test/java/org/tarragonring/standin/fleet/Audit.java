package org.tarragonring.standin.fleet;

import java.util.HashMap;
import java.util.Map;

import org.tarragonring.ids.ModelName;
import org.tarragonring.objects.ModelRecord;
import org.tarragonring.objects.RecordType;
import org.tarragonring.objects.UpstreamRecord;

/** Checks from outside, in the engines and the platform, what must hold at all times. */
final class Audit {

    private final Fleet fleet;
    private final Map<String, Long> fences = new HashMap<>();
    private final Map<String, Long> generations = new HashMap<>();

    Audit(Fleet fleet) {
        this.fleet = fleet;
    }

    void check() {
        if (!fleet.breaches.isEmpty()) {
            throw new AssertionError(fleet.breaches.get(0));
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

    /** Checks that the records and the engines agree and that nothing is left over. */
    void checkSettled() {
        fleet.engines.forEach((id, engine) -> {
            UpstreamRecord record = fleet.records
                    .read(RecordType.UPSTREAM, id.value())
                    .await()
                    .indefinitely()
                    .body();
            long residents = engine.status().await().indefinitely().residents().size();
            if (record.reservations().size() != residents) {
                throw new AssertionError("upstream %s has %d residents and reservations %s"
                        .formatted(id, residents, record.reservations()));
            }
            record.reservations().forEach(reservation -> {
                boolean named =
                        model(reservation.model()).find(reservation.slot()).isPresent();
                if (!named) {
                    throw new AssertionError("slot %s is reserved and not decided".formatted(reservation.slot()));
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
        long before = fences.merge(upstream, fence, Math::max);
        if (fence < before) {
            throw new AssertionError("fencing number of %s fell from %d to %d".formatted(upstream, before, fence));
        }
    }

    private void checkReplicas(ModelName model) {
        int replicas = fleet.replicas(model);
        int decided = model(model).decidedReplicas();
        if (replicas > decided) {
            throw new AssertionError("model %s has %d replicas, %d decided".formatted(model, replicas, decided));
        }
    }

    /** An entry that is not ready serves no caller, so that no configuration is in force there. */
    private void checkGeneration(FleetEntry entry) {
        long generation = entry.control().config().generation();
        long before = generations.merge(entry.id, generation, Math::max);
        if (generation < before) {
            throw new AssertionError("generation at %s fell from %d to %d".formatted(entry.id, before, generation));
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
