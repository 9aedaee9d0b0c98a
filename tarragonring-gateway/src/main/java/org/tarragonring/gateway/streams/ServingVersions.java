package org.tarragonring.gateway.streams;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.tarragonring.gateway.catalog.CurrentReplicas;
import org.tarragonring.gateway.catalog.ReplicaCatalog;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.SoftwareVersion;
import org.tarragonring.log.LogEvent;
import org.tarragonring.objects.ObjectStore;
import org.tarragonring.policy.streams.StreamSlot;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * Keeps in the store, for each service, the versions of the replicas' software that may have begun a stream which still
 * runs: those that are listed, and those that were until no stream of theirs can run any more. Entries that have all
 * started again know no stream, but if a single version is recorded, it has begun all of them.
 *
 * <p>While several versions are recorded, the streams of each service and model are divided into slots by their ids, and the
 * record says for each slot at which version its streams begin. So an entry can tell the version of a stream that it does
 * not know, and nothing is written for a single stream. A slot that is moved to another version also names the one before,
 * until none of its streams can run any more.
 *
 * <p>A version is recorded before an entry begins a stream at it. If the record is missing although entries have served
 * before, or cannot be read, the new one says that it is not complete, until no stream can run any more that began before.
 * So it does if the store has come back from an older copy and no entry knows what was recorded since that copy was made;
 * the record tells the era of the store in which it was written.
 *
 * <p>The record contains no times, as the clocks of entries differ: the entry that is responsible for it removes a version
 * when it has itself not seen the version for long enough. The record is read when an entry starts and when a caller
 * takes up a stream that no entry knows, and written when a version joins, when it is removed and when slots are moved.
 * While there are several versions, each entry reads it regularly.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class ServingVersions {

    /** The name of the duty to remove versions from the record. */
    public static final String DUTY = "software-versions";

    /** The store key of the record. */
    static final String KEY = "tarragonring-software/versions";

    /** The time between checks whether the record is up to date. */
    static final Duration CHECK_PERIOD = Duration.ofSeconds(1);

    /** How long an entry waits after its start, until it knows which entry is responsible. */
    static final Duration SETTLE_TIME = Duration.ofSeconds(3);

    /** The longest time between two reads of the record while the streams of a service begin at several versions. */
    static final Duration FOLLOW_PERIOD = Duration.ofSeconds(5);

    /** How often the store is asked before callers are told that something is not known. */
    static final int READ_ATTEMPTS = 3;

    /** How often a write is tried that is overtaken by one of another entry, or whose response is lost. */
    private static final int WRITE_ATTEMPTS = 3;

    /** How long the responsible entry has to record lost versions again before all others do. */
    private static final Duration REWRITE_DELAY_OF_OTHERS = Duration.ofMillis(700);

    /** How long an entry that finds the record of an older copy waits for the entries that know what is lost. */
    static final Duration REWRITE_DELAY_WITHOUT_KNOWLEDGE = Duration.ofMillis(1_500);

    private final ObjectStore store;
    private final ReplicaCatalog catalog;
    private final ListedVersions listed;
    private final StoredVersionRecord storedRecord;
    private final SlotAssignments slots;
    private final BooleanSupplier responsible;
    private final Supplier<Optional<Duration>> longestStream;
    private final MonotonicClock clock;
    private final Timers timers;
    private final CompletableFuture<Void> started = new CompletableFuture<>();

    /** When this entry first read of each recorded version; one that it has not seen itself may have left just before. */
    private final Map<ServiceVersion, Long> firstReadMillis = new HashMap<>();

    /** What this entry has read or written last; empty before the first response of the store. */
    private Optional<RecordedVersions> recorded = Optional.empty();

    /** What was recorded before the store came back from an older copy, until it is recorded again. */
    private LostVersions lost = LostVersions.NONE;

    /** When this entry first read the record of an older copy without knowing what is lost; empty if it has not. */
    private Optional<Long> olderCopyReadMillis = Optional.empty();

    /** When this entry first read that the record is not complete; empty if it is complete. */
    private Optional<Long> incompleteReadMillis = Optional.empty();

    private Optional<CompletableFuture<Void>> pendingUpdate = Optional.empty();

    /** The recorded versions of which a replica has been listed since; the responsible entry does not remove them. */
    private final Set<ServiceVersion> confirmed = new HashSet<>();

    /** Whether this entry was responsible at the last check. */
    private boolean mayRemove;

    private boolean stopped;

    /** When this entry last read or wrote the record. */
    private long knownMillis;

    private Optional<Long> listOutOfDateSinceMillis = Optional.empty();
    private long startedMillis;
    private Timers.Task checks = () -> {};

    /**
     * Creates an instance that is not started.
     *
     * @param store keeps the record, not null
     * @param catalog the listed replicas, not null
     * @param currentReplicas reads the listed replicas if the catalog may be out of date, not null
     * @param traceOfServing the prefix of keys that the store contains if entries have served before, not null
     * @param responsible returns whether this entry removes versions from the record, not null
     * @param longestStream returns how long after a version has left a stream that it began may run, empty if that is not
     *     known yet; not null
     * @param clock the monotonic clock, not null
     * @param timers schedules the checks, not null
     */
    public ServingVersions(
            ObjectStore store,
            ReplicaCatalog catalog,
            CurrentReplicas currentReplicas,
            String traceOfServing,
            BooleanSupplier responsible,
            Supplier<Optional<Duration>> longestStream,
            MonotonicClock clock,
            Timers timers) {
        this.store = Objects.requireNonNull(store, "store");
        this.catalog = Objects.requireNonNull(catalog, "catalog");
        this.storedRecord = new StoredVersionRecord(store, traceOfServing, timers);
        this.listed = new ListedVersions(catalog, currentReplicas, storedRecord);
        this.slots = new SlotAssignments(catalog, clock);
        this.responsible = Objects.requireNonNull(responsible, "responsible");
        this.longestStream = Objects.requireNonNull(longestStream, "longestStream");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.timers = Objects.requireNonNull(timers, "timers");
    }

    /**
     * Reads the record, creates it if nothing has been served yet, and starts to keep it up to date.
     *
     * @return a future that completes when the record is read; other records that show that entries have served may be
     *     written only after that
     */
    public CompletableFuture<Void> start() {
        startedMillis = clock.millis();
        store.addEraListener(era -> onStoreRestored());
        checks = timers.scheduleWithFixedDelay(CHECK_PERIOD, this::check);
        readAtStart();
        return started;
    }

    /** Stops writing the record. */
    public void stop() {
        stopped = true;
        storedRecord.stop();
        checks.cancel();
    }

    /** Returns whether this entry has read the record. */
    boolean isRead() {
        return started.isDone();
    }

    /**
     * Checks whether a version is recorded, so that it may begin streams.
     *
     * @param service the service, not null
     * @param version the version of the software, not null
     * @return false if this entry does not know that it is
     */
    public boolean isRecorded(ServiceName service, SoftwareVersion version) {
        return confirmed.contains(new ServiceVersion(service, version));
    }

    /**
     * Records a listed version unless that has been done.
     *
     * @param service the service, not null
     * @param version the version of the software, not null
     * @return whether the version is recorded now; never fails
     */
    public CompletableFuture<Boolean> record(ServiceName service, SoftwareVersion version) {
        return isRecorded(service, version)
                ? CompletableFuture.completedFuture(true)
                : update().thenApply(done -> isRecorded(service, version));
    }

    /**
     * Checks whether a stream may begin at a version.
     *
     * @param service the service, not null
     * @param slot the slot of the stream, not null
     * @param version the version of the software, not null
     * @return false if this entry does not know that it may
     */
    public boolean mayBegin(ServiceName service, StreamSlot slot, SoftwareVersion version) {
        return isRecorded(service, version)
                && recorded.orElseThrow().slot(service, slot).open().contains(version);
    }

    /**
     * Checks whether a slot may be moved to a version only because that suits better.
     *
     * @param service the service, not null
     * @param slot the slot, not null
     * @param version the version of the software, not null
     * @return false if the version is not recorded, or if the slot was moved lately
     */
    public boolean isMovable(ServiceName service, StreamSlot slot, SoftwareVersion version) {
        return isRecorded(service, version)
                && recorded.orElseThrow().slot(service, slot).isSettled();
    }

    /**
     * Lets the streams of a slot begin at a listed version.
     *
     * @param service the service, not null
     * @param slot the slot, not null
     * @param version the version of the software, not null
     * @return whether they may begin there now; never fails
     */
    public CompletableFuture<Boolean> allow(ServiceName service, StreamSlot slot, SoftwareVersion version) {
        if (mayBegin(service, slot, version)) {
            return CompletableFuture.completedFuture(true);
        }
        SlotAssignments.Request request = new SlotAssignments.Request(service, slot, version);
        slots.add(request);
        // an update that has begun before may not contain the request
        CompletableFuture<Void> updated = update().thenCompose(
                        done -> mayBegin(service, slot, version) ? CompletableFuture.completedFuture(null) : update());
        updated.thenRun(() -> slots.remove(request));
        return updated.thenApply(done -> mayBegin(service, slot, version));
    }

    /**
     * Finds the version of the software that began all running streams of a service, or all those of a slot.
     *
     * @param service the service, not null
     * @param slot the slot, empty if it is not known; not null
     * @return the version; empty if several versions may have begun streams, or if the store does not tell; never fails
     */
    public CompletableFuture<Optional<SoftwareVersion>> onlyVersion(ServiceName service, Optional<StreamSlot> slot) {
        return listed.upToDate(service)
                .thenCombine(
                        storedRecord.retry(this::read, READ_ATTEMPTS),
                        (listed, record) -> listed.flatMap(
                                versions -> record.flatMap(known -> known.only(service, slot, versions, store.era()))));
    }

    private void readAtStart() {
        update().thenRun(() -> {
            if (recorded.isPresent()) {
                started.complete(null);
            } else if (!stopped) {
                timers.schedule(StoredVersionRecord.READ_RETRY_DELAY, this::readAtStart);
            }
        });
    }

    private void check() {
        if (stopped || !isRead() || !isListCurrent()) {
            return;
        }
        Set<ServiceVersion> listedNow = pairs(listed.all());
        confirmed.retainAll(listedNow);
        boolean isSettled = clock.millis() - startedMillis >= SETTLE_TIME.toMillis();
        boolean isResponsible = isSettled && responsible.getAsBoolean();
        boolean hasTakenOver = isResponsible && !mayRemove;
        mayRemove = isResponsible;
        if (hasTakenOver) {
            // a version may have returned and left since it was read of first
            firstReadMillis.replaceAll((version, readMillis) -> clock.millis());
            incompleteReadMillis = incompleteReadMillis.map(readMillis -> clock.millis());
            slots.restartAges();
        }
        RecordedVersions known = recorded.orElseThrow();
        if (hasTakenOver || isResponsible && !isUpToDate(known, wanted(known))) {
            update();
        } else if (isSettled && !confirmed.containsAll(listedNow) || mustFollow(known)) {
            // the store may not respond when the first stream begins
            read();
        }
    }

    /** Returns whether another entry may have moved slots since this entry has read the record. */
    private boolean mustFollow(RecordedVersions known) {
        return known.hasSeveralVersions() && clock.millis() - knownMillis >= FOLLOW_PERIOD.toMillis();
    }

    /** Checks the list, and reads the record again after the list was out of date for so long that versions may have left. */
    private boolean isListCurrent() {
        if (!catalog.isListCurrent()) {
            listOutOfDateSinceMillis = listOutOfDateSinceMillis.or(() -> Optional.of(clock.millis()));
            return false;
        }
        long goneMillis = goneMillis();
        if (listOutOfDateSinceMillis.filter(since -> since <= goneMillis).isPresent()) {
            read();
        }
        listOutOfDateSinceMillis = Optional.empty();
        return true;
    }

    /**
     * Reads the record again, and adds what the store has lost of it by coming back from an older copy. A version that
     * was read of before no stream runs any more is added only if it was listed since.
     */
    private void onStoreRestored() {
        confirmed.clear();
        long goneMillis = goneMillis();
        lost = recorded.map(known -> lost.with(
                        known,
                        (service, version) -> firstReadMillis.get(new ServiceVersion(service, version)) > goneMillis))
                .orElse(LostVersions.NONE);
        if (isRead()) {
            timers.schedule(responsible.getAsBoolean() ? Duration.ZERO : REWRITE_DELAY_OF_OTHERS, this::update);
        }
    }

    private static boolean isUpToDate(RecordedVersions record, RecordedVersions wanted) {
        return wanted.hasContentOf(record) && !(record.isAbsent() && record.isComplete());
    }

    /** Reads the record and writes it if it is not up to date; requests that overlap share one update. Never fails. */
    private CompletableFuture<Void> update() {
        return pendingUpdate.orElseGet(() -> {
            CompletableFuture<Void> update = new CompletableFuture<>();
            pendingUpdate = Optional.of(update);
            update(WRITE_ATTEMPTS).thenRun(() -> {
                pendingUpdate = Optional.empty();
                update.complete(null);
            });
            return update;
        });
    }

    private CompletableFuture<Void> update(int attemptsLeft) {
        if (stopped) {
            return CompletableFuture.completedFuture(null);
        }
        return storedRecord.retry(this::read, READ_ATTEMPTS).thenCompose(record -> {
            if (record.isEmpty() || stopped) {
                return CompletableFuture.completedFuture(null);
            }
            Optional<Duration> delay = delayWithoutKnowledge(record.get());
            if (delay.isPresent()) {
                return storedRecord.after(delay.get()).thenCompose(done -> update(attemptsLeft));
            }
            RecordedVersions wanted = wanted(record.get());
            if (isUpToDate(record.get(), wanted)) {
                lost = LostVersions.NONE;
                return CompletableFuture.completedFuture(null);
            }
            return write(wanted)
                    .thenCompose(isWritten -> isWritten || attemptsLeft == 1
                            ? CompletableFuture.completedFuture(null)
                            : update(attemptsLeft - 1));
        });
    }

    /** Returns how long to wait until the record of an older copy is replaced without knowing what is lost. */
    private Optional<Duration> delayWithoutKnowledge(RecordedVersions record) {
        if (record.isComplete() || record.era().equals(store.era())) {
            olderCopyReadMillis = Optional.empty();
            return Optional.empty();
        }
        if (olderCopyReadMillis.isEmpty()) {
            LogEvent.RECORD_OF_OLDER_COPY.log(KEY, record.era(), store.era());
            olderCopyReadMillis = Optional.of(clock.millis());
        }
        Duration delay = REWRITE_DELAY_WITHOUT_KNOWLEDGE.minusMillis(clock.millis() - olderCopyReadMillis.get());
        return Optional.of(delay).filter(left -> left.compareTo(Duration.ZERO) > 0);
    }

    /** Returns what is to be recorded: the versions that this entry has seen or read of, unless they left long ago. */
    private RecordedVersions wanted(RecordedVersions record) {
        long goneMillis = goneMillis();
        Map<ServiceName, Set<SoftwareVersion>> wanted = listed.all();
        catalog.versionsListedSince(goneMillis)
                .forEach((service, versions) -> versions.forEach(version -> add(wanted, service, version)));
        lost.versions().forEach((service, versions) -> versions.forEach(version -> add(wanted, service, version)));
        boolean mayRemoveNow = mayRemove && catalog.isListCurrent();
        record.versions()
                .forEach((service, versions) -> versions.forEach(version -> {
                    if (!mayRemoveNow || firstReadMillis.get(new ServiceVersion(service, version)) > goneMillis) {
                        add(wanted, service, version);
                    }
                }));
        boolean isOver = mayRemoveNow
                && record.era().equals(store.era())
                && incompleteReadMillis.filter(since -> since <= goneMillis).isPresent();
        return new RecordedVersions(
                record.objectVersion(),
                wanted,
                slots.wanted(record, wanted, lost.assignments(), mayRemoveNow ? settledMillis() : Optional.empty()),
                record.isComplete() || isOver,
                store.era());
    }

    /** Returns the time before which a slot must have been moved so that none of its earlier streams runs any more. */
    private Optional<Long> settledMillis() {
        return longestStream
                .get()
                .map(duration -> clock.millis()
                        - duration.plus(FOLLOW_PERIOD).plus(CHECK_PERIOD).toMillis());
    }

    /** Returns the time before which a version must have been seen last so that no stream of it runs any more. */
    private long goneMillis() {
        return longestStream
                .get()
                .map(duration -> clock.millis() - duration.toMillis())
                .orElse(Long.MIN_VALUE);
    }

    private static void add(
            Map<ServiceName, Set<SoftwareVersion>> versions, ServiceName service, SoftwareVersion version) {
        versions.computeIfAbsent(service, name -> new TreeSet<>()).add(version);
    }

    /** Reads the record; empty if the store does not respond. */
    private CompletableFuture<Optional<RecordedVersions>> read() {
        return storedRecord.read(recorded.isEmpty()).thenApply(stored -> {
            Optional<RecordedVersions> record = stored.map(this::assess);
            record.ifPresent(this::know);
            return record;
        });
    }

    private CompletableFuture<Boolean> write(RecordedVersions wanted) {
        return storedRecord.write(wanted).thenApply(newVersion -> {
            newVersion.ifPresent(version -> onWritten(wanted.withObjectVersion(version)));
            return newVersion.isPresent();
        });
    }

    private void onWritten(RecordedVersions record) {
        know(record);
        if (!lost.versions().isEmpty()) {
            LogEvent.RECORD_WRITTEN_AGAIN.log(KEY, store.era());
        }
        lost = LostVersions.NONE;
        LogEvent.SERVING_VERSIONS_RECORDED.log(record.versions(), record.isComplete(), record.unsettledModels());
    }

    /**
     * Decides whether a stored record is complete. The record of an older copy is not, and one that is missing while this
     * entry runs has been deleted, unless this entry knows what was recorded when the newest era of the store began.
     */
    private RecordedVersions assess(RecordedVersions stored) {
        if (stored.isAbsent()) {
            boolean hasNeverServed = recorded.map(known -> known.isAbsent() && known.isComplete())
                    .orElse(stored.isComplete());
            return stored.withComplete(hasNeverServed || lost.isComplete());
        }
        return stored.isComplete() && stored.era().equals(store.era())
                ? stored
                : stored.withComplete(lost.isComplete());
    }

    private void know(RecordedVersions record) {
        Set<ServiceVersion> known = pairs(record.versions());
        firstReadMillis.keySet().retainAll(known);
        known.forEach(version -> firstReadMillis.putIfAbsent(version, clock.millis()));
        confirmed.clear();
        confirmed.addAll(known);
        slots.onRecord(record);
        incompleteReadMillis =
                record.isComplete() ? Optional.empty() : incompleteReadMillis.or(() -> Optional.of(clock.millis()));
        recorded = Optional.of(record);
        knownMillis = clock.millis();
    }

    private static Set<ServiceVersion> pairs(Map<ServiceName, Set<SoftwareVersion>> versions) {
        Set<ServiceVersion> pairs = new HashSet<>();
        versions.forEach((service, each) -> each.forEach(version -> pairs.add(new ServiceVersion(service, version))));
        return pairs;
    }

    private record ServiceVersion(ServiceName service, SoftwareVersion version) {}
}
