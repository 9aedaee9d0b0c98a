package org.tarragonring.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CancellationException;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import io.smallrye.mutiny.Uni;
import org.tarragonring.config.ConfigHolder;
import org.tarragonring.config.Model;
import org.tarragonring.home.HomeSelector;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.SlotId;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.lease.EntryLease;
import org.tarragonring.lease.LeaseObserver;
import org.tarragonring.lease.StaleLeaseCleaner;
import org.tarragonring.log.LogEvent;
import org.tarragonring.membership.FailureDetector;
import org.tarragonring.membership.MemberTable;
import org.tarragonring.objects.Instance;
import org.tarragonring.objects.LeaseRecord;
import org.tarragonring.objects.ObjectStore;
import org.tarragonring.objects.RecordStore;
import org.tarragonring.peer.Datagram;
import org.tarragonring.peer.Member;
import org.tarragonring.peer.MemberState;
import org.tarragonring.peer.Notice;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.peer.PeerTransport;
import org.tarragonring.placement.CoordinatorContext;
import org.tarragonring.placement.IdlePolicy;
import org.tarragonring.placement.Invariants;
import org.tarragonring.placement.LoadPermits;
import org.tarragonring.placement.LoadPlanner;
import org.tarragonring.placement.LoadTimeEstimator;
import org.tarragonring.placement.ModelCoordinators;
import org.tarragonring.placement.PlacementContext;
import org.tarragonring.placement.Reconciler;
import org.tarragonring.placement.ReplicaLoader;
import org.tarragonring.placement.ReplicaReleaser;
import org.tarragonring.spread.BlobFetcher;
import org.tarragonring.spread.BlobProvider;
import org.tarragonring.spread.ConfigSynchronizer;
import org.tarragonring.spread.NoticeDisseminator;
import org.tarragonring.spread.PeerMessenger;
import org.tarragonring.time.Delays;
import org.tarragonring.time.Timers;
import org.tarragonring.upstream.DirectoryPoller;
import org.tarragonring.upstream.UpstreamDirectory;

/**
 * Runs the parts of an entry that coordinate with other entries: the lease, membership, configuration
 * synchronization, model coordinators and reconciliation. It opens no sockets itself, so that tests can run many
 * control planes in one process on a simulated clock.
 *
 * @since 0.1.0
 */
public final class ControlPlane {

    private static final Duration COORDINATOR_TICK_PERIOD = Duration.ofMillis(500);
    private static final Duration LEAVING_NOTICE_VALIDITY = Duration.ofSeconds(10);
    private static final Duration RECONCILE_PERIOD = Duration.ofSeconds(5);
    private static final Duration LEASE_CLEANUP_PERIOD = Duration.ofMinutes(10);
    private static final Duration LEASE_STALE_AFTER = Duration.ofHours(1);
    private static final Duration LOAD_PERMIT_LIFETIME = Duration.ofSeconds(60);
    private static final Duration LEASE_RETRY_INTERVAL = Duration.ofSeconds(1);

    /** Factor from the lease epoch to the first incarnation, which must exceed those of earlier epochs. */
    private static final long INCARNATIONS_PER_EPOCH = 1_000_000;

    private final EntrySettings settings;
    private final ObjectStore objects;
    private final Clocks clocks;
    private final Timers timers;
    private final PeerTransport transport;
    private final UpstreamDirectory directory;
    private final Executor background;
    private final Random random;
    private final IdlePolicy idlePolicy;
    private final Invariants invariants;
    private final Consumer<PeerMessage.Placement> placementListener;
    private final BiConsumer<EntryId, PeerMessage.FailureReport> failureReportListener;
    private final RecordStore records;
    private final ConfigHolder config = new ConfigHolder();
    private final List<Timers.Task> tasks = new ArrayList<>();
    private EntryLease lease;
    private MemberTable members;
    private HomeSelector homeSelector;
    private NoticeDisseminator disseminator;
    private PeerMessenger messenger;
    private FailureDetector detector;
    private BlobFetcher fetcher;
    private ConfigSynchronizer configSynchronizer;
    private Reconciler reconciler;
    private ModelCoordinators coordinators;
    private DirectoryPoller poller;
    private volatile boolean running;

    /**
     * Creates a control plane that is not started.
     *
     * @param settings the settings of this entry, not null
     * @param objects the platform's object store, not null
     * @param clocks the wall clock and the monotonic clock, not null
     * @param timers schedules periodic tasks, retries and timeouts, not null
     * @param transport sends datagrams to other entries, not null
     * @param directory the known upstreams, not null
     * @param background runs tasks that would block an event loop, not null
     * @param random chooses members and delays, and generates ids, not null
     * @param idlePolicy decides how long idle models stay loaded, not null
     * @param invariants checks the invariants of record changes, not null
     * @param placementListener receives the placements that home entries send to this entry, not null
     * @param failureReportListener receives the failure reports of other entries with their sender, not null
     */
    public ControlPlane(
            EntrySettings settings,
            ObjectStore objects,
            Clocks clocks,
            Timers timers,
            PeerTransport transport,
            UpstreamDirectory directory,
            Executor background,
            Random random,
            IdlePolicy idlePolicy,
            Invariants invariants,
            Consumer<PeerMessage.Placement> placementListener,
            BiConsumer<EntryId, PeerMessage.FailureReport> failureReportListener) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.objects = Objects.requireNonNull(objects, "objects");
        this.clocks = Objects.requireNonNull(clocks, "clocks");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.transport = Objects.requireNonNull(transport, "transport");
        this.directory = Objects.requireNonNull(directory, "directory");
        this.background = Objects.requireNonNull(background, "background");
        this.random = Objects.requireNonNull(random, "random");
        this.idlePolicy = Objects.requireNonNull(idlePolicy, "idlePolicy");
        this.invariants = Objects.requireNonNull(invariants, "invariants");
        this.placementListener = Objects.requireNonNull(placementListener, "placementListener");
        this.failureReportListener = Objects.requireNonNull(failureReportListener, "failureReportListener");
        this.records = new RecordStore(objects, this::randomUuid);
    }

    /**
     * Acquires the lease, reads which other entries exist and starts all periodic tasks. Fails if it is stopped before.
     *
     * @param callerAddress the address at which callers reach this entry, not null
     * @param peerAddress the address at which other entries reach this entry, not null
     * @return completes when the periodic tasks are started; retries while the platform is unreachable
     */
    public Uni<Void> start(HostPort callerAddress, HostPort peerAddress) {
        running = true;
        LeaseRecord initialRecord = new LeaseRecord(
                0, 0, callerAddress.toString(), peerAddress.toString(), settings.failureDomain(), false);
        lease = new EntryLease(
                settings.id(),
                initialRecord,
                settings.leaseTiming(),
                records,
                clocks.wall(),
                clocks.monotonic(),
                timers);
        return acquireLease()
                .chain(() -> LeaseMembers.readOthers(objects, settings.id(), INCARNATIONS_PER_EPOCH))
                .invoke(otherEntries -> {
                    if (!running) {
                        throw new CancellationException("the entry was stopped during its start");
                    }
                    createComponents(callerAddress, peerAddress);
                    otherEntries.forEach(members::seed);
                    startPeriodicTasks();
                })
                .replaceWithVoid();
    }

    /**
     * Announces to callers and other entries that this entry is shutting down. Does nothing if no other entry can know
     * this one, as its start has not ended.
     *
     * @return completes when the lease record is marked, or could not be marked; the control plane continues to run
     *     until {@link #stop}
     */
    public Uni<Void> announceShutdown() {
        if (members == null) {
            return Uni.createFrom().voidItem();
        }
        members.leave();
        // Sends the membership update at once instead of with the next probe.
        messenger.broadcast(new PeerMessage.ProbeAck(0));
        return lease.markShuttingDown().onFailure().recoverWithNull();
    }

    /** Stops all periodic tasks and makes the lease invalid for this process; the stored record is not changed. */
    public void stop() {
        running = false;
        tasks.forEach(Timers.Task::cancel);
        if (detector != null) {
            detector.stop();
            poller.stop();
            configSynchronizer.stop();
        }
        if (lease != null) {
            lease.stop();
        }
    }

    /**
     * Handles a datagram from another entry. Ignores it if this control plane is not running.
     *
     * @param datagram the datagram, not null
     */
    public void receive(Datagram datagram) {
        if (!running || messenger == null) {
            return;
        }
        messenger.applyPiggybacked(datagram);
        configSynchronizer.onGeneration(datagram.fromAddress(), datagram.configGeneration());
        handleMessage(datagram.from(), datagram.fromAddress(), datagram.message());
    }

    /**
     * Reports this entry's demand for a model to the home entry of the model, which may be this entry. Does nothing if
     * this control plane is not running.
     *
     * @param demand the demand, not null
     */
    public void reportDemand(PeerMessage.Demand demand) {
        if (!running || messenger == null) {
            return;
        }
        Member homeEntry =
                homeSelector.rankedHomes(demand.model()).stream().findFirst().orElse(members.self());
        if (homeEntry.id().equals(settings.id())) {
            coordinators.onDemand(settings.id(), demand);
        } else {
            messenger.send(homeEntry.peerAddress(), demand);
        }
    }

    /**
     * Returns the connection to the other entries.
     *
     * @return the messenger, empty before this entry has joined the others
     */
    public Optional<PeerMessenger> messenger() {
        return Optional.ofNullable(messenger);
    }

    /**
     * Checks whether this entry may serve calls.
     *
     * @return true if it is running and has, since its start, held the highest configuration generation seen
     */
    public boolean isReady() {
        return running && configSynchronizer != null && configSynchronizer.isCaughtUp();
    }

    /**
     * Returns the holder of the active configuration.
     *
     * @return the holder, never null
     */
    public ConfigHolder config() {
        return config;
    }

    /**
     * Returns the store of the records that all entries share.
     *
     * @return the store, never null
     */
    public RecordStore records() {
        return records;
    }

    /**
     * Returns the usable entries in the order in which they are to be tried as the home entry of a model.
     *
     * @param model the model, not null
     * @return the members, best first; empty before the start; never null
     */
    public List<Member> rankedHomes(ModelName model) {
        return homeSelector == null ? List.of() : homeSelector.rankedHomes(model);
    }

    /**
     * Returns a snapshot of the state.
     *
     * @return the current state, never null
     */
    public ControlState state() {
        return new ControlState(
                settings.id(),
                lease == null ? 0 : lease.epoch(),
                lease != null && lease.isValid(),
                config.generation(),
                isReady(),
                members == null ? List.of() : List.copyOf(members.all()),
                coordinators == null ? List.of() : coordinators.states(),
                invariants.violations());
    }

    private Uni<Void> acquireLease() {
        return new Delays(timers)
                .pollUntilPresent(
                        LEASE_RETRY_INTERVAL,
                        () -> lease.acquire()
                                .replaceWith(Optional.of(true))
                                .onFailure(failure -> running)
                                .invoke(failure ->
                                        LogEvent.ENTRY_NOT_CONFIGURED.log(settings.id(), failure.getMessage()))
                                .onFailure(failure -> running)
                                .recoverWithItem(Optional.empty()))
                .replaceWithVoid();
    }

    private void createComponents(HostPort callerAddress, HostPort peerAddress) {
        members = new MemberTable(new Member(
                settings.id(),
                lease.epoch() * INCARNATIONS_PER_EPOCH,
                MemberState.ALIVE,
                peerAddress,
                callerAddress,
                settings.failureDomain()));
        homeSelector = new HomeSelector(members::usable, settings.id());
        disseminator = new NoticeDisseminator(clocks.monotonic(), this::onNotice);
        messenger = new PeerMessenger(members, disseminator, config::generation, transport, timers);
        detector = new FailureDetector(
                members, settings.membershipTiming(), timers, clocks.monotonic(), random, messenger::send);
        fetcher = new BlobFetcher(messenger::send, timers);
        configSynchronizer = new ConfigSynchronizer(
                config,
                objects,
                fetcher,
                () -> homeSelector.isRelay(settings.failureDomain()),
                messenger::otherPeerAddresses,
                messenger::send,
                timers,
                background,
                random);
        createCoordinators();
    }

    private void createCoordinators() {
        PlacementContext placementContext = new PlacementContext(
                lease,
                new LeaseObserver(records, clocks.monotonic(), settings.leaseTiming()),
                records,
                directory,
                invariants,
                id -> members.find(id).filter(Member::isUsable).isPresent(),
                clocks.monotonic(),
                timers);
        Set<SlotId> activeSlots = Reconciler.newActiveSlotSet();
        ReplicaReleaser releaser = new ReplicaReleaser(placementContext);
        reconciler =
                new Reconciler(placementContext, releaser, activeSlots, this::onLoadedModel, this::onUpstreamLeaving);
        LoadTimeEstimator loadTimes = new LoadTimeEstimator();
        LoadPermits loadPermits = new LoadPermits(
                records, clocks.wall(), settings.id(), "models", settings.maxParallelLoads(), LOAD_PERMIT_LIFETIME);
        coordinators = new ModelCoordinators(new CoordinatorContext(
                placementContext,
                new ReplicaLoader(placementContext, loadPermits),
                releaser,
                reconciler,
                activeSlots,
                new LoadPlanner(loadTimes, settings.minResidence(), this::callWeight),
                loadTimes,
                idlePolicy,
                directory,
                config,
                () -> new SlotId(randomUuid()),
                this::sendPlacement));
    }

    private void startPeriodicTasks() {
        detector.start();
        configSynchronizer.start();
        messenger.otherPeerAddresses().forEach(detector::probeNow);
        poller = new DirectoryPoller(directory, () -> members.usable().size(), clocks.monotonic(), timers);
        poller.start();
        tasks.add(timers.scheduleWithFixedDelay(COORDINATOR_TICK_PERIOD, this::tickCoordinators));
        tasks.add(timers.scheduleWithFixedDelay(RECONCILE_PERIOD, this::reconcileOwnedUpstreams));
        StaleLeaseCleaner leaseCleaner = new StaleLeaseCleaner(objects, clocks.monotonic(), LEASE_STALE_AFTER);
        tasks.add(timers.scheduleWithFixedDelay(LEASE_CLEANUP_PERIOD, () -> cleanLeases(leaseCleaner)));
    }

    private void tickCoordinators() {
        if (!lease.isValid()) {
            return;
        }
        config.current().ifPresent(snapshot -> {
            for (Model model : snapshot.configSet().models()) {
                if (model.minReplicas() > 0 && homeSelector.isHome(model.name())) {
                    coordinators.ensureCoordinator(model.name());
                }
            }
        });
        coordinators.tick();
    }

    private void onUpstreamLeaving(UpstreamId upstream) {
        directory.markLeaving(upstream);
        disseminator.publish(Notice.Kind.LEAVING_UPSTREAM, upstream.value(), LEAVING_NOTICE_VALIDITY.toMillis());
    }

    private void onNotice(Notice notice) {
        if (notice.kind() == Notice.Kind.LEAVING_UPSTREAM) {
            directory.markLeaving(new UpstreamId(notice.subject()));
        }
    }

    private void cleanLeases(StaleLeaseCleaner leaseCleaner) {
        if (homeSelector.isRelay(settings.failureDomain())) {
            leaseCleaner.deleteStaleLeases().subscribe().with(done -> {}, failure -> {});
        }
    }

    private void onLoadedModel(ModelName model) {
        if (homeSelector.isHome(model)) {
            coordinators.ensureCoordinator(model);
        }
    }

    private void reconcileOwnedUpstreams() {
        if (!lease.isValid()) {
            return;
        }
        for (UpstreamId upstream : reconciler.drainUnfinished()) {
            reconciler
                    .reconcileUncached(upstream)
                    .subscribe()
                    .with(done -> {}, failure -> reconciler.markUnfinished(upstream));
        }
        for (Instance instance : directory.engines()) {
            if (homeSelector.owns(instance.id())) {
                reconcile(instance.id());
            }
        }
    }

    private void reconcile(UpstreamId upstream) {
        reconciler
                .reconcile(upstream)
                .subscribe()
                .with(done -> {}, failure -> LogEvent.RECONCILIATION_FAILED.log(upstream, failure.getMessage()));
    }

    private void sendPlacement(EntryId to, PeerMessage.Placement placement) {
        if (to.equals(settings.id())) {
            placementListener.accept(placement);
        } else {
            members.find(to).ifPresent(member -> messenger.send(member.peerAddress(), placement));
        }
    }

    private void handleMessage(EntryId from, HostPort address, PeerMessage message) {
        if (message instanceof PeerMessage.Probe probe) {
            detector.onProbe(address, probe);
        } else if (message instanceof PeerMessage.ProbeAck ack) {
            detector.onAck(ack);
        } else if (message instanceof PeerMessage.IndirectProbe probe) {
            detector.onIndirectProbe(address, probe);
        } else if (message instanceof PeerMessage.Demand demand) {
            coordinators.onDemand(from, demand);
        } else if (message instanceof PeerMessage.Placement placement) {
            placementListener.accept(placement);
        } else if (message instanceof PeerMessage.BlobRequest request) {
            messenger.send(address, new BlobProvider(config).readPart(request));
        } else if (message instanceof PeerMessage.BlobPart part) {
            fetcher.onPart(part);
        } else if (message instanceof PeerMessage.FailureReport report) {
            failureReportListener.accept(from, report);
        }
    }

    private int callWeight(ModelName model) {
        return config.current()
                .flatMap(snapshot -> snapshot.configSet().model(model))
                .map(configured -> configured.callClass().weight())
                .orElse(1);
    }

    private String randomUuid() {
        return new UUID(random.nextLong(), random.nextLong()).toString();
    }
}
