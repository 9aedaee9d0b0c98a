package org.tarragonring.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.Executor;
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
 * The part of an entry that acts together with other entries: lease, membership, configuration, homes and
 * reconciliation. It needs no network of its own, so that tests can run many of them on a hand-moved clock.
 *
 * @since 0.1.0
 */
public final class ControlPlane {

    private static final Duration TICK_PERIOD = Duration.ofMillis(500);
    private static final Duration LEAVING_HOLDS = Duration.ofSeconds(10);
    private static final Duration RECONCILE_PERIOD = Duration.ofSeconds(5);
    private static final Duration JANITOR_PERIOD = Duration.ofMinutes(10);
    private static final Duration LEASES_KEPT = Duration.ofHours(1);
    private static final Duration PERMIT_LIFETIME = Duration.ofSeconds(60);
    private static final Duration START_RETRY = Duration.ofSeconds(1);
    private static final long INCARNATIONS_PER_EPOCH = 1_000_000;

    private final EntrySettings settings;
    private final ObjectStore objects;
    private final Clocks clocks;
    private final Timers timers;
    private final PeerTransport link;
    private final UpstreamDirectory directory;
    private final Executor background;
    private final Random random;
    private final IdlePolicy idlePolicy;
    private final Invariants invariants;
    private final Consumer<PeerMessage.Placement> placements;
    private final Consumer<Notice> notices;
    private final RecordStore records;
    private final ConfigHolder config = new ConfigHolder();
    private final List<Timers.Task> tasks = new ArrayList<>();
    private EntryLease lease;
    private MemberTable table;
    private HomeSelector homes;
    private NoticeDisseminator board;
    private PeerMessenger hub;
    private FailureDetector detector;
    private BlobFetcher fetcher;
    private ConfigSynchronizer spread;
    private Reconciler reconciler;
    private ModelCoordinators modelHomes;
    private DirectoryPoller poller;
    private volatile boolean running;

    /**
     * Creates a control plane that does not run yet.
     *
     * @param settings the entry's settings, not null
     * @param objects the platform's store, not null
     * @param clocks the clocks, not null
     * @param timers runs periodic work, not null
     * @param link sends datagrams, not null
     * @param directory the upstreams, not null
     * @param background runs what takes long for an event loop, not null
     * @param random draws members and delays, not null
     * @param idlePolicy how long idle models stay loaded, not null
     * @param invariants checks what must hold, not null
     * @param placements takes what homes tell this entry, not null
     * @param notices takes notices of other entries, not null
     */
    public ControlPlane(
            EntrySettings settings,
            ObjectStore objects,
            Clocks clocks,
            Timers timers,
            PeerTransport link,
            UpstreamDirectory directory,
            Executor background,
            Random random,
            IdlePolicy idlePolicy,
            Invariants invariants,
            Consumer<PeerMessage.Placement> placements,
            Consumer<Notice> notices) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.objects = Objects.requireNonNull(objects, "objects");
        this.clocks = Objects.requireNonNull(clocks, "clocks");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.link = Objects.requireNonNull(link, "link");
        this.directory = Objects.requireNonNull(directory, "directory");
        this.background = Objects.requireNonNull(background, "background");
        this.random = Objects.requireNonNull(random, "random");
        this.idlePolicy = Objects.requireNonNull(idlePolicy, "idlePolicy");
        this.invariants = Objects.requireNonNull(invariants, "invariants");
        this.placements = Objects.requireNonNull(placements, "placements");
        this.notices = Objects.requireNonNull(notices, "notices");
        this.records = new RecordStore(objects, this::token);
    }

    /**
     * Takes the lease, joins the other entries and starts all periodic work.
     *
     * @param callerAddress where callers reach this entry, not null
     * @param peerAddress where other entries reach it, not null
     * @return completes when it runs; it keeps trying while the platform is away
     */
    public Uni<Void> start(HostPort callerAddress, HostPort peerAddress) {
        running = true;
        LeaseRecord addresses = new LeaseRecord(
                0, 0, callerAddress.toString(), peerAddress.toString(), settings.failureDomain(), false);
        lease = new EntryLease(
                settings.id(), addresses, settings.lease(), records, clocks.wall(), clocks.monotonic(), timers);
        return takeLease()
                .chain(this::readOthers)
                .invoke(others -> {
                    build(callerAddress, peerAddress);
                    others.forEach(table::seed);
                    startWork();
                })
                .replaceWithVoid();
    }

    /**
     * Tells everybody that this entry is leaving.
     *
     * @return completes when the lease record says so; the entry goes on acting until {@link #stop}
     */
    public Uni<Void> leave() {
        table.leave();
        hub.broadcast(new PeerMessage.ProbeAck(0));
        return lease.markLeaving().onFailure().recoverWithNull();
    }

    /** Stops all periodic work and gives the lease up. */
    public void stop() {
        running = false;
        tasks.forEach(Timers.Task::cancel);
        if (detector != null) {
            detector.stop();
            poller.stop();
            spread.stop();
        }
        if (lease != null) {
            lease.stop();
        }
    }

    /**
     * Takes a datagram from another entry.
     *
     * @param datagram the datagram, not null
     */
    public void receive(Datagram datagram) {
        if (!running || hub == null) {
            return;
        }
        hub.applyPiggybacked(datagram);
        spread.onGeneration(datagram.fromAddress(), datagram.configGeneration());
        dispatch(datagram.from(), datagram.fromAddress(), datagram.message());
    }

    /**
     * Tells a model's home what this entry needs.
     *
     * @param demand the report, not null
     */
    public void report(PeerMessage.Demand demand) {
        if (!running || hub == null) {
            return;
        }
        Member home = homes.rankedHomes(demand.model()).stream().findFirst().orElse(table.self());
        if (home.id().equals(settings.id())) {
            modelHomes.onDemand(settings.id(), demand);
        } else {
            hub.send(home.peerAddress(), demand);
        }
    }

    /**
     * Tells every entry that an upstream died while it ran a request.
     *
     * @param subject the notice's subject, not null
     * @param holds for how long it is to be remembered, not null
     */
    public void tellSuspect(String subject, Duration holds) {
        board.publish(Notice.Kind.SUSPECT_REQUEST, subject, holds.toMillis());
        hub.broadcast(new PeerMessage.ProbeAck(0));
    }

    /**
     * Checks if this entry may serve.
     *
     * @return true once it holds the highest configuration generation that it can know of
     */
    public boolean isReady() {
        return running && spread != null && spread.isCaughtUp();
    }

    /**
     * Returns the configuration in force.
     *
     * @return the holder, never null
     */
    public ConfigHolder config() {
        return config;
    }

    /**
     * Returns the records of the platform.
     *
     * @return the store, never null
     */
    public RecordStore records() {
        return records;
    }

    /**
     * Returns the entries that look after a model, best first.
     *
     * @param model the model, not null
     * @return the members, empty before the start
     */
    public List<Member> homes(ModelName model) {
        return homes == null ? List.of() : homes.rankedHomes(model);
    }

    /**
     * Describes the control plane.
     *
     * @return its state at this moment
     */
    public ControlState state() {
        return new ControlState(
                settings.id(),
                lease == null ? 0 : lease.epoch(),
                lease != null && lease.isValid(),
                config.generation(),
                isReady(),
                table == null ? List.of() : List.copyOf(table.all()),
                modelHomes == null ? List.of() : modelHomes.states(),
                invariants.violations());
    }

    private Uni<Void> takeLease() {
        return new Delays(timers)
                .pollUntilPresent(
                        START_RETRY,
                        () -> lease.acquire()
                                .replaceWith(Optional.of(true))
                                .onFailure(failure -> running)
                                .invoke(failure ->
                                        LogEvent.ENTRY_NOT_CONFIGURED.log(settings.id(), failure.getMessage()))
                                .onFailure(failure -> running)
                                .recoverWithItem(Optional.empty()))
                .replaceWithVoid();
    }

    private Uni<List<Member>> readOthers() {
        return objects.list("entries/")
                .map(found -> found.stream()
                        .map(object -> LeaseMembers.read(object, INCARNATIONS_PER_EPOCH))
                        .flatMap(Optional::stream)
                        .filter(member -> !member.id().equals(settings.id()))
                        .toList())
                .onFailure()
                .recoverWithItem(List.of());
    }

    private void build(HostPort callerAddress, HostPort peerAddress) {
        table = new MemberTable(new Member(
                settings.id(),
                lease.epoch() * INCARNATIONS_PER_EPOCH,
                MemberState.ALIVE,
                peerAddress,
                callerAddress,
                settings.failureDomain()));
        homes = new HomeSelector(table::usable, settings.id());
        board = new NoticeDisseminator(clocks.monotonic(), this::onNotice);
        hub = new PeerMessenger(table, board, config::generation, link, timers);
        detector = new FailureDetector(table, settings.membership(), timers, clocks.monotonic(), random, hub::send);
        fetcher = new BlobFetcher(hub::send, timers);
        spread = new ConfigSynchronizer(
                config,
                objects,
                fetcher,
                () -> homes.isRelay(settings.failureDomain()),
                hub::otherPeerAddresses,
                hub::send,
                timers,
                background,
                random);
        buildPlacement();
    }

    private void buildPlacement() {
        PlacementContext placement = new PlacementContext(
                lease,
                new LeaseObserver(records, clocks.monotonic(), settings.lease()),
                records,
                directory,
                invariants,
                id -> table.find(id).filter(Member::isUsable).isPresent(),
                clocks.monotonic(),
                timers);
        Set<SlotId> active = Reconciler.newActiveSlotSet();
        ReplicaReleaser releaser = new ReplicaReleaser(placement);
        reconciler = new Reconciler(placement, releaser, active, this::onResident, this::onLeaving);
        LoadTimeEstimator loadTimes = new LoadTimeEstimator();
        LoadPermits permits = new LoadPermits(
                records, clocks.wall(), settings.id(), "models", settings.parallelLoads(), PERMIT_LIFETIME);
        modelHomes = new ModelCoordinators(new CoordinatorContext(
                placement,
                new ReplicaLoader(placement, permits),
                releaser,
                reconciler,
                active,
                new LoadPlanner(loadTimes, settings.minResidence(), this::weightOf),
                loadTimes,
                idlePolicy,
                directory,
                config,
                () -> new SlotId(token()),
                this::answer));
    }

    private void startWork() {
        detector.start();
        spread.start();
        hub.otherPeerAddresses().forEach(detector::probeNow);
        poller = new DirectoryPoller(directory, () -> table.usable().size(), clocks.monotonic(), timers);
        poller.start();
        tasks.add(timers.scheduleWithFixedDelay(TICK_PERIOD, this::tick));
        tasks.add(timers.scheduleWithFixedDelay(RECONCILE_PERIOD, this::reconcileOwned));
        StaleLeaseCleaner janitor = new StaleLeaseCleaner(objects, clocks.monotonic(), LEASES_KEPT);
        tasks.add(timers.scheduleWithFixedDelay(JANITOR_PERIOD, () -> cleanLeases(janitor)));
    }

    private void tick() {
        if (!lease.isValid()) {
            return;
        }
        config.current().ifPresent(snapshot -> {
            for (Model model : snapshot.configSet().models()) {
                if (model.minReplicas() > 0 && homes.isHome(model.name())) {
                    modelHomes.ensureCoordinator(model.name());
                }
            }
        });
        modelHomes.tick();
    }

    private void onLeaving(UpstreamId upstream) {
        directory.markLeaving(upstream);
        board.publish(Notice.Kind.LEAVING_UPSTREAM, upstream.value(), LEAVING_HOLDS.toMillis());
    }

    private void onNotice(Notice notice) {
        if (notice.kind() == Notice.Kind.LEAVING_UPSTREAM) {
            directory.markLeaving(new UpstreamId(notice.subject()));
        }
        notices.accept(notice);
    }

    private void cleanLeases(StaleLeaseCleaner janitor) {
        if (homes.isRelay(settings.failureDomain())) {
            janitor.deleteStaleLeases().subscribe().with(done -> {}, failure -> {});
        }
    }

    private void onResident(ModelName model) {
        if (homes.isHome(model)) {
            modelHomes.ensureCoordinator(model);
        }
    }

    private void reconcileOwned() {
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
            if (homes.owns(instance.id())) {
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

    private void answer(EntryId to, PeerMessage.Placement placement) {
        if (to.equals(settings.id())) {
            placements.accept(placement);
        } else {
            table.find(to).ifPresent(member -> hub.send(member.peerAddress(), placement));
        }
    }

    private void dispatch(EntryId from, HostPort address, PeerMessage message) {
        if (message instanceof PeerMessage.Probe probe) {
            detector.onProbe(address, probe);
        } else if (message instanceof PeerMessage.ProbeAck ack) {
            detector.onAck(ack);
        } else if (message instanceof PeerMessage.IndirectProbe probe) {
            detector.onIndirectProbe(address, probe);
        } else if (message instanceof PeerMessage.Demand demand) {
            modelHomes.onDemand(from, demand);
        } else if (message instanceof PeerMessage.Placement placement) {
            placements.accept(placement);
        } else if (message instanceof PeerMessage.BlobRequest request) {
            hub.send(address, new BlobProvider(config).readPart(request));
        } else if (message instanceof PeerMessage.BlobPart part) {
            fetcher.onPart(part);
        }
    }

    private int weightOf(ModelName model) {
        return config.current()
                .flatMap(snapshot -> snapshot.configSet().model(model))
                .map(m -> m.callClass().weight())
                .orElse(1);
    }

    private String token() {
        return new UUID(random.nextLong(), random.nextLong()).toString();
    }
}
