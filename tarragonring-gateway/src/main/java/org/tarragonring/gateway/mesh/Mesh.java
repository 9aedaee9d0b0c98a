package org.tarragonring.gateway.mesh;

import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;

import io.vertx.core.Vertx;
import org.tarragonring.gateway.GatewaySettings;
import org.tarragonring.home.Rendezvous;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.HostPort;
import org.tarragonring.log.LogEvent;
import org.tarragonring.membership.FailureDetector;
import org.tarragonring.membership.MemberTable;
import org.tarragonring.membership.MembershipTiming;
import org.tarragonring.objects.Json;
import org.tarragonring.objects.ObjectStore;
import org.tarragonring.objects.StoreException;
import org.tarragonring.objects.StoredObject;
import org.tarragonring.peer.Datagram;
import org.tarragonring.peer.DatagramCodec;
import org.tarragonring.peer.Member;
import org.tarragonring.peer.MemberState;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.peer.UdpTransport;
import org.tarragonring.spread.NoticeDisseminator;
import org.tarragonring.spread.PeerMessenger;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * Finds the other entries through the store, watches over them and exchanges messages with them.
 *
 * @since 0.2.0
 */
public final class Mesh {

    /** The kind of the objects by which entries find each other. */
    public static final String ENTRY_PREFIX = "tarragonring-entries/";

    /** A dead entry is found in two to three seconds, about a lease's length. */
    private static final MembershipTiming TIMING =
            new MembershipTiming(Duration.ofMillis(600), Duration.ofMillis(250), Duration.ofMillis(1_200), 3);

    /** The pause between attempts to register while the store does not answer. */
    private static final Duration REGISTER_PERIOD = Duration.ofMillis(700);

    /** How long an entry's word that it is without the store holds; it repeats it more often. */
    private static final Duration WITHOUT_STORE_LIFETIME = Duration.ofMillis(2_000);

    private final GatewaySettings settings;
    private final MonotonicClock clock;
    private final Map<EntryId, Long> withoutStoreUntilMillis = new HashMap<>();
    private final ObjectStore store;
    private final Timers timers;
    private final UdpTransport link;
    private final MemberTable table;
    private final PeerMessenger hub;
    private final FailureDetector detector;
    private final Map<Class<? extends PeerMessage>, BiConsumer<EntryId, PeerMessage>> handlers = new HashMap<>();

    /**
     * Creates a mesh that does not run yet.
     *
     * @param settings the settings, not null
     * @param vertx runs the socket, not null
     * @param store where entries register, not null
     * @param clock the monotonic clock, not null
     * @param wallClock gives incarnations that rise with each start, not null
     * @param timers runs periodic work, not null
     * @param random shuffles the probes, not null
     */
    public Mesh(
            GatewaySettings settings,
            Vertx vertx,
            ObjectStore store,
            MonotonicClock clock,
            InstantSource wallClock,
            Timers timers,
            Random random) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.store = Objects.requireNonNull(store, "store");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.link = new UdpTransport(vertx, new DatagramCodec(settings.peerKey()));
        this.table = new MemberTable(new Member(
                settings.id(),
                wallClock.millis(),
                MemberState.ALIVE,
                settings.peerAddress(),
                settings.callerAddress(),
                settings.failureDomain()));
        NoticeDisseminator notices = new NoticeDisseminator(clock, notice -> {});
        this.hub = new PeerMessenger(table, notices, () -> 0, link, timers);
        this.detector = new FailureDetector(table, TIMING, timers, clock, random, hub::send);
    }

    /**
     * Registers a handler of one kind of message.
     *
     * @param <T> the kind of message
     * @param type its class, not null
     * @param handler takes the sender and the message, not null
     */
    public <T extends PeerMessage> void on(Class<T> type, BiConsumer<EntryId, T> handler) {
        handlers.put(type, (from, message) -> handler.accept(from, type.cast(message)));
    }

    /**
     * Listens for other entries.
     *
     * @return completes when the socket is open
     */
    public CompletableFuture<HostPort> start() {
        return link.start(settings.peerAddress(), this::receive);
    }

    /** Registers this entry, greets the others and begins to probe. */
    public void join() {
        Registration own = new Registration(
                settings.peerAddress().toString(), settings.callerAddress().toString(), settings.failureDomain());
        register(Json.write(own), ObjectStore.ABSENT_VERSION);
        detector.start();
    }

    /** Tells the other entries that this one is leaving. */
    public void leave() {
        table.leave();
        detector.stop();
        hub.broadcast(new PeerMessage.ProbeAck(0));
        hub.broadcast(new PeerMessage.ProbeAck(0));
    }

    /**
     * Closes the socket.
     *
     * @return completes when it is closed
     */
    public CompletableFuture<Void> stop() {
        detector.stop();
        return link.stop();
    }

    /**
     * Sends a message, to this entry itself too.
     *
     * @param to the receiver, not null; unknown ones get nothing
     * @param message the message, not null
     */
    public void send(EntryId to, PeerMessage message) {
        if (to.equals(settings.id())) {
            dispatch(to, message);
        } else {
            table.find(to).ifPresent(member -> hub.send(member.peerAddress(), message));
        }
    }

    /**
     * Sends a message to all other entries.
     *
     * @param message the message, not null
     */
    public void broadcast(PeerMessage message) {
        hub.broadcast(message);
    }

    /**
     * Returns the entries that seem to be alive, this one included unless it is leaving.
     *
     * @return members
     */
    public List<Member> alive() {
        return table.usable();
    }

    /**
     * Checks if an entry seems to be alive.
     *
     * @param id the entry, not null
     * @return true unless it left, died or was never seen
     */
    public boolean isAlive(EntryId id) {
        return table.find(id).map(Member::isUsable).orElse(false);
    }

    /**
     * Chooses the entry that does a duty, preferably one that reaches the store.
     *
     * @param duty names the duty, not null
     * @return the same entry on all that see the same members; this one if it sees none
     */
    public EntryId entryFor(String duty) {
        List<Member> alive = alive();
        if (alive.isEmpty()) {
            return settings.id();
        }
        List<Member> informed =
                alive.stream().filter(member -> !isWithoutStore(member.id())).toList();
        List<Member> members = informed.isEmpty() ? alive : informed;
        return Rendezvous.rank(duty, members, m -> m.id().value()).get(0).id();
    }

    /**
     * Notes that an entry cannot reach the store, or can again.
     *
     * @param id the entry, not null
     * @param withoutStore whether it cannot
     */
    public void setWithoutStore(EntryId id, boolean withoutStore) {
        if (withoutStore) {
            withoutStoreUntilMillis.put(id, clock.millis() + WITHOUT_STORE_LIFETIME.toMillis());
        } else {
            withoutStoreUntilMillis.remove(id);
        }
    }

    private boolean isWithoutStore(EntryId id) {
        Long untilMillis = withoutStoreUntilMillis.get(id);
        return untilMillis != null && clock.millis() < untilMillis;
    }

    private void register(byte[] value, long expectedVersion) {
        store.write(ENTRY_PREFIX + settings.id(), expectedVersion, value)
                .subscribe()
                .with(version -> greetOthers(), failure -> onRegisterFailure(failure, value));
    }

    private void onRegisterFailure(Throwable failure, byte[] value) {
        LogEvent.DEPENDENCY_STATE.log("store", false, "registration failed: " + failure.getMessage());
        if (failure instanceof StoreException store && store.kind() == StoreException.Kind.CONFLICT) {
            replaceRegistration(value);
        } else {
            timers.schedule(REGISTER_PERIOD, () -> register(value, ObjectStore.ABSENT_VERSION));
        }
    }

    private void replaceRegistration(byte[] value) {
        store.read(ENTRY_PREFIX + settings.id())
                .subscribe()
                .with(
                        found ->
                                register(value, found.map(StoredObject::version).orElse(ObjectStore.ABSENT_VERSION)),
                        failure -> timers.schedule(REGISTER_PERIOD, () -> register(value, ObjectStore.ABSENT_VERSION)));
    }

    private void greetOthers() {
        store.list(ENTRY_PREFIX)
                .subscribe()
                .with(
                        objects -> objects.forEach(this::greet),
                        failure -> timers.schedule(REGISTER_PERIOD, this::greetOthers));
    }

    private void greet(StoredObject object) {
        try {
            Registration other = Json.read(object.value(), Registration.class);
            HostPort address = HostPort.parse(other.peerAddress());
            if (!address.equals(settings.peerAddress())) {
                detector.probeNow(address);
                timers.schedule(TIMING.probeTimeout(), () -> detector.probeNow(address));
            }
        } catch (RuntimeException e) {
            LogEvent.STORED_OBJECT_INVALID.log(object.key(), "peerAddress", "cannot be read: " + e.getMessage());
        }
    }

    private void receive(Datagram datagram) {
        hub.applyPiggybacked(datagram);
        PeerMessage message = datagram.message();
        if (message instanceof PeerMessage.Probe probe) {
            detector.onProbe(datagram.fromAddress(), probe);
        } else if (message instanceof PeerMessage.ProbeAck ack) {
            detector.onAck(ack);
        } else if (message instanceof PeerMessage.IndirectProbe probe) {
            detector.onIndirectProbe(datagram.fromAddress(), probe);
        } else {
            dispatch(datagram.from(), message);
        }
    }

    private void dispatch(EntryId from, PeerMessage message) {
        BiConsumer<EntryId, PeerMessage> handler = handlers.get(message.getClass());
        if (handler != null) {
            handler.accept(from, message);
        }
    }

    /**
     * How an entry is reached, as it stands in the store.
     *
     * @param peerAddress where other entries reach it
     * @param callerAddress where callers reach it
     * @param failureDomain its failure domain
     */
    private record Registration(String peerAddress, String callerAddress, String failureDomain) {}
}
