package org.tarragonring.gateway.streams;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.tarragonring.gateway.catalog.CurrentReplicas;
import org.tarragonring.gateway.catalog.ReplicaCatalog;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.SoftwareVersion;
import org.tarragonring.log.LogEvent;
import org.tarragonring.objects.Json;
import org.tarragonring.objects.ObjectStore;
import org.tarragonring.objects.StoredObject;
import org.tarragonring.policy.replica.ListedReplica;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * Keeps in the store, for each service, the versions of the replicas' software that may have begun a stream which still
 * runs: those that are listed, and those that were until no stream of theirs can run any more. Entries that have all
 * started again know no stream, but if a single version is recorded, it has begun all of them.
 *
 * <p>The record contains no times, as the clocks of entries differ: the entry that is responsible for it removes a version
 * when it has itself not seen the version for long enough. The record is written when a version joins and when it is
 * removed, and read when a caller takes up a stream that no entry knows.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class ServingVersions {

    /** The name of the duty to keep the record. */
    public static final String DUTY = "software-versions";

    /** The store key of the record. */
    static final String KEY = "tarragonring-software/versions";

    /** The time between checks whether the record is up to date. */
    static final Duration CHECK_PERIOD = Duration.ofSeconds(1);

    /** How long an entry waits after its start, until it knows which entry is responsible. */
    static final Duration SETTLE_TIME = Duration.ofSeconds(3);

    /** How often the record is asked for before callers are told that it is not known. */
    static final int READ_ATTEMPTS = 3;

    /** The time between two attempts, so that a store that rejects requests at once is not asked three times at once. */
    static final Duration READ_RETRY_DELAY = Duration.ofMillis(300);

    private final ObjectStore store;
    private final ReplicaCatalog catalog;
    private final CurrentReplicas currentReplicas;
    private final BooleanSupplier responsible;
    private final Supplier<Duration> longestStream;
    private final MonotonicClock clock;
    private final Timers timers;

    /** When this entry first read of each version; one that it has not seen itself may have left just before. */
    private final Map<ServiceVersion, Long> firstReadMillis = new HashMap<>();

    /** What this entry has read or written last; empty if it must be read again. */
    private Optional<Recorded> recorded = Optional.empty();

    private Optional<CompletableFuture<Optional<Recorded>>> pendingRead = Optional.empty();
    private boolean requestInProgress;
    private long startedMillis;
    private long writableMillis = Long.MIN_VALUE;
    private Timers.Task checks = () -> {};

    /**
     * Creates an instance that is not started.
     *
     * @param store keeps the record, not null
     * @param catalog the listed replicas, not null
     * @param currentReplicas reads the listed replicas if the catalog may be out of date, not null
     * @param responsible returns whether this entry keeps the record up to date, not null
     * @param longestStream returns how long after a version has left a stream that it began may run, not null
     * @param clock the monotonic clock, not null
     * @param timers schedules the checks, not null
     */
    public ServingVersions(
            ObjectStore store,
            ReplicaCatalog catalog,
            CurrentReplicas currentReplicas,
            BooleanSupplier responsible,
            Supplier<Duration> longestStream,
            MonotonicClock clock,
            Timers timers) {
        this.store = Objects.requireNonNull(store, "store");
        this.catalog = Objects.requireNonNull(catalog, "catalog");
        this.currentReplicas = Objects.requireNonNull(currentReplicas, "currentReplicas");
        this.responsible = Objects.requireNonNull(responsible, "responsible");
        this.longestStream = Objects.requireNonNull(longestStream, "longestStream");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.timers = Objects.requireNonNull(timers, "timers");
    }

    /** Starts to keep the record up to date whenever this entry is responsible for it. */
    public void start() {
        startedMillis = clock.millis();
        checks = timers.scheduleWithFixedDelay(CHECK_PERIOD, this::check);
    }

    /** Stops writing the record. */
    public void stop() {
        checks.cancel();
    }

    /**
     * Finds the version of the software that began all running streams of a service.
     *
     * @param service the service, not null
     * @return the version; empty if several versions may have begun streams, or if the store does not tell; never fails
     */
    public CompletableFuture<Optional<SoftwareVersion>> onlyVersion(ServiceName service) {
        return listedVersions(service)
                .thenCompose(listed -> listed.isEmpty()
                        ? CompletableFuture.completedFuture(Optional.empty())
                        : read().thenApply(record -> onlyVersion(record, service, listed.get())));
    }

    private static Optional<SoftwareVersion> onlyVersion(
            Optional<Recorded> record, ServiceName service, Set<SoftwareVersion> listed) {
        Set<SoftwareVersion> versions =
                new TreeSet<>(record.map(known -> known.of(service)).orElse(Set.of()));
        boolean isKnown = !versions.isEmpty();
        versions.addAll(listed);
        return isKnown && versions.size() == 1
                ? Optional.of(versions.iterator().next())
                        .filter(version -> !version.value().isEmpty())
                : Optional.empty();
    }

    /** Returns the versions of the listed replicas, empty if an up-to-date list cannot be read. */
    private CompletableFuture<Optional<Set<SoftwareVersion>>> listedVersions(ServiceName service) {
        if (catalog.isListCurrent()) {
            return CompletableFuture.completedFuture(
                    Optional.of(listedVersions().getOrDefault(service, Set.of())));
        }
        return currentReplicas
                .read()
                .thenApply(replicas ->
                        replicas.map(listed -> versionsByService(listed).getOrDefault(service, Set.of())));
    }

    private Map<ServiceName, Set<SoftwareVersion>> listedVersions() {
        return versionsByService(
                catalog.all().stream().map(ReplicaState::listed).toList());
    }

    private static Map<ServiceName, Set<SoftwareVersion>> versionsByService(List<ListedReplica> replicas) {
        Map<ServiceName, Set<SoftwareVersion>> versions = new HashMap<>();
        for (ListedReplica replica : replicas) {
            versions.computeIfAbsent(replica.service(), service -> new TreeSet<>())
                    .add(replica.software());
        }
        return versions;
    }

    private void check() {
        boolean isSettled = clock.millis() - startedMillis >= SETTLE_TIME.toMillis();
        if (!isSettled || requestInProgress || !catalog.isListCurrent() || !responsible.getAsBoolean()) {
            return;
        }
        if (recorded.isEmpty()) {
            requestInProgress = true;
            read().thenAccept(record -> {
                requestInProgress = false;
                recorded = record;
            });
            return;
        }
        Map<ServiceName, Set<SoftwareVersion>> wanted = wantedVersions(recorded.get());
        if (clock.millis() >= writableMillis && !wanted.equals(recorded.get().versions)) {
            write(recorded.get().objectVersion, wanted);
        }
    }

    private Map<ServiceName, Set<SoftwareVersion>> wantedVersions(Recorded record) {
        Map<ServiceName, Set<SoftwareVersion>> wanted = listedVersions();
        long goneMillis = clock.millis() - longestStream.get().toMillis();
        record.versions.forEach((service, versions) -> {
            for (SoftwareVersion version : versions) {
                long lastSeenMillis = catalog.lastListedMillis(service, version)
                        .or(() -> Optional.ofNullable(firstReadMillis.get(new ServiceVersion(service, version))))
                        .orElse(Long.MIN_VALUE);
                if (lastSeenMillis > goneMillis) {
                    wanted.computeIfAbsent(service, name -> new TreeSet<>()).add(version);
                }
            }
        });
        return wanted;
    }

    private void write(long objectVersion, Map<ServiceName, Set<SoftwareVersion>> versions) {
        requestInProgress = true;
        store.write(KEY, objectVersion, Json.write(VersionRecord.of(versions)))
                .subscribe()
                .with(
                        newVersion -> {
                            requestInProgress = false;
                            recorded = Optional.of(new Recorded(newVersion, versions));
                            LogEvent.SERVING_VERSIONS_RECORDED.log(versions);
                        },
                        failure -> {
                            requestInProgress = false;
                            recorded = Optional.empty();
                            LogEvent.DEPENDENCY_STATE.log(
                                    "store", false, "versions not recorded: " + failure.getMessage());
                        });
    }

    /** Reads the record; requests that overlap share one call to the store. Empty if the store does not respond. */
    private CompletableFuture<Optional<Recorded>> read() {
        return pendingRead.orElseGet(() -> {
            CompletableFuture<Optional<Recorded>> response = new CompletableFuture<>();
            pendingRead = Optional.of(response);
            read(response, READ_ATTEMPTS);
            return response;
        });
    }

    private void read(CompletableFuture<Optional<Recorded>> response, int attemptsLeft) {
        store.read(KEY).subscribe().with(object -> onRead(response, Optional.of(decode(object))), failure -> {
            LogEvent.DEPENDENCY_STATE.log("store", false, "versions not read: " + failure.getMessage());
            if (attemptsLeft > 1) {
                timers.schedule(READ_RETRY_DELAY, () -> read(response, attemptsLeft - 1));
            } else {
                onRead(response, Optional.empty());
            }
        });
    }

    private void onRead(CompletableFuture<Optional<Recorded>> response, Optional<Recorded> record) {
        pendingRead = Optional.empty();
        record.ifPresent(known -> known.versions.forEach((service, versions) -> versions.forEach(
                version -> firstReadMillis.putIfAbsent(new ServiceVersion(service, version), clock.millis()))));
        response.complete(record);
    }

    /** Decodes the record. What an unreadable one contained may still matter, so it is not replaced for some time. */
    private Recorded decode(Optional<StoredObject> object) {
        if (object.isEmpty()) {
            return new Recorded(ObjectStore.ABSENT_VERSION, Map.of());
        }
        try {
            VersionRecord record = Json.read(object.get().value(), VersionRecord.class);
            return new Recorded(object.get().version(), record.toVersions());
        } catch (RuntimeException e) {
            LogEvent.STORED_OBJECT_INVALID.log(KEY, "services", "cannot be read: " + e.getMessage());
            writableMillis = Math.max(
                    writableMillis, clock.millis() + longestStream.get().toMillis());
            return new Recorded(object.get().version(), Map.of());
        }
    }

    private record ServiceVersion(ServiceName service, SoftwareVersion version) {}

    private record Recorded(long objectVersion, Map<ServiceName, Set<SoftwareVersion>> versions) {

        Set<SoftwareVersion> of(ServiceName service) {
            return versions.getOrDefault(service, Set.of());
        }
    }

    /**
     * The JSON value of the record.
     *
     * @param services the names of the versions, by the name of the service
     */
    private record VersionRecord(Map<String, List<String>> services) {

        static VersionRecord of(Map<ServiceName, Set<SoftwareVersion>> versions) {
            Map<String, List<String>> services = new TreeMap<>();
            versions.forEach((service, each) -> services.put(
                    service.value(), each.stream().map(SoftwareVersion::value).toList()));
            return new VersionRecord(services);
        }

        Map<ServiceName, Set<SoftwareVersion>> toVersions() {
            Map<ServiceName, Set<SoftwareVersion>> versions = new HashMap<>();
            services.forEach((service, names) -> versions.put(
                    new ServiceName(service),
                    new TreeSet<>(names.stream().map(SoftwareVersion::new).toList())));
            return versions;
        }
    }
}
