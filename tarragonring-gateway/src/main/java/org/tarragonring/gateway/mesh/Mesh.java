package org.tarragonring.gateway.mesh;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.IntConsumer;
import java.util.stream.Collectors;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import org.tarragonring.gateway.GatewaySettings;
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
 * Peer-to-peer network of the entries: discovers the other entries through the store, detects their failures and
 * exchanges UDP messages with them.
 *
 * @since 0.2.0
 */
public final class Mesh {

    /** The prefix of the store keys under which entries register. */
    public static final String ENTRY_PREFIX = "tarragonring-entries/";

    /** Detects a dead entry within two to three seconds, about the duration of an order lease. */
    private static final MembershipTiming MEMBERSHIP_TIMING =
            new MembershipTiming(Duration.ofMillis(600), Duration.ofMillis(250), Duration.ofMillis(1_200), 3);

    /** The delay before another attempt to register or to list the entries after the store failed. */
    private static final Duration STORE_RETRY_DELAY = Duration.ofMillis(700);

    /** How long a report that an entry cannot reach the store stays valid; the entry repeats it more often. */
    private static final Duration WITHOUT_STORE_VALIDITY = Duration.ofMillis(2_000);

    private final GatewaySettings settings;
    private final MonotonicClock clock;
    private final Map<EntryId, Long> withoutStoreUntilMillis = new HashMap<>();
    private final ObjectStore store;
    private final Timers timers;
    private final UdpTransport transport;
    private final MemberTable table;
    private final PeerMessenger messenger;
    private final FailureDetector detector;
    private final EntryContacts contacts;
    private final DutyRanking ranking = new DutyRanking();
    private boolean left;
    private final Map<Class<? extends PeerMessage>, BiConsumer<EntryId, PeerMessage>> handlers = new HashMap<>();
    private IntConsumer onListed = count -> {};

    /**
     * Creates a mesh that is not started.
     *
     * @param settings the settings of this entry, not null
     * @param vertx the Vert.x instance that runs the UDP socket, not null
     * @param store the store in which entries register, not null
     * @param clock the monotonic clock, not null
     * @param wallClock the source of the incarnation number, which must increase with each start, not null
     * @param timers schedules probes and retries, not null
     * @param random shuffles the order of the probes, not null
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
        this.transport = new UdpTransport(vertx, new DatagramCodec(settings.peerKey()));
        this.table = new MemberTable(new Member(
                settings.id(),
                wallClock.millis(),
                MemberState.ALIVE,
                settings.peerAddress(),
                settings.callerAddress(),
                settings.failureDomain()));
        NoticeDisseminator notices = new NoticeDisseminator(clock, notice -> {});
        this.messenger = new PeerMessenger(table, notices, () -> 0, transport, timers);
        this.detector = new FailureDetector(table, MEMBERSHIP_TIMING, timers, clock, random, messenger::send);
        this.contacts = new EntryContacts(
                messenger::announce,
                detector::requestIntroduction,
                this::knownAddresses,
                MEMBERSHIP_TIMING.probeTimeout(),
                timers,
                random);
    }

    /**
     * Registers the handler for one type of message and replaces an earlier one.
     *
     * @param <T> the type of message
     * @param type the class of the message, not null
     * @param handler receives the sender and the message, not null
     */
    public <T extends PeerMessage> void on(Class<T> type, BiConsumer<EntryId, T> handler) {
        handlers.put(type, (from, message) -> handler.accept(from, type.cast(message)));
    }

    /**
     * Registers what receives the number of entries that are registered in the store, this one included, when this entry
     * has joined.
     *
     * @param receiver receives the number, not null
     */
    public void onListed(IntConsumer receiver) {
        onListed = Objects.requireNonNull(receiver, "receiver");
    }

    /**
     * Returns the id of this entry.
     *
     * @return the id, never null
     */
    public EntryId self() {
        return settings.id();
    }

    /**
     * Opens the UDP socket and starts receiving messages.
     *
     * @return a future that completes with the bound address when the socket is open
     */
    public CompletableFuture<HostPort> start() {
        return transport.start(settings.peerAddress(), this::receive);
    }

    /** Registers this entry in the store, contacts the other entries and starts to probe them. */
    public void join() {
        Registration own = new Registration(
                settings.peerAddress().toString(), settings.callerAddress().toString(), settings.failureDomain());
        byte[] value = Json.write(own);
        store.addEraListener(era -> registerAgain(value));
        register(value, ObjectStore.ABSENT_VERSION);
        detector.start();
    }

    /** Writes the registration again if the store has lost it by coming back from an older copy. */
    private void registerAgain(byte[] value) {
        if (left) {
            return;
        }
        String key = ENTRY_PREFIX + settings.id();
        store.read(key)
                .flatMap(existing -> existing.isPresent()
                                && Arrays.equals(existing.get().value(), value)
                        ? Uni.createFrom().item(Optional.<Long>empty())
                        : store.write(
                                        key,
                                        existing.map(StoredObject::version).orElse(ObjectStore.ABSENT_VERSION),
                                        value)
                                .map(Optional::of))
                .subscribe()
                .with(
                        written -> written.ifPresent(version -> LogEvent.RECORD_WRITTEN_AGAIN.log(key, store.era())),
                        failure -> {
                            LogEvent.DEPENDENCY_STATE.log(
                                    "store", false, "registration failed: " + failure.getMessage());
                            timers.schedule(STORE_RETRY_DELAY, () -> registerAgain(value));
                        });
    }

    /** Marks this entry as leaving, stops probing and sends the new state to the other entries. */
    public void leave() {
        left = true;
        table.leave();
        detector.stop();
        messenger.broadcast(new PeerMessage.ProbeAck(0));
        messenger.broadcast(new PeerMessage.ProbeAck(0));
    }

    /**
     * Stops probing and closes the UDP socket.
     *
     * @return a future that completes when the socket is closed
     */
    public CompletableFuture<Void> stop() {
        detector.stop();
        return transport.stop();
    }

    /**
     * Sends a message to one entry. A message to this entry is passed to its handler directly.
     *
     * @param to the receiver, not null; nothing is sent if it is not a known member
     * @param message the message, not null
     */
    public void send(EntryId to, PeerMessage message) {
        if (to.equals(settings.id())) {
            dispatch(to, message);
        } else {
            table.find(to).ifPresent(member -> messenger.send(member.peerAddress(), message));
        }
    }

    /**
     * Returns the connection to the other entries.
     *
     * @return the messenger, never null
     */
    public PeerMessenger messenger() {
        return messenger;
    }

    /**
     * Sends a message to all other entries.
     *
     * @param message the message, not null
     */
    public void broadcast(PeerMessage message) {
        messenger.broadcast(message);
    }

    /**
     * Returns the entries considered alive, including this one unless it is leaving.
     *
     * @return the members, never null
     */
    public List<Member> alive() {
        return table.usable();
    }

    /**
     * Checks if an entry is considered alive.
     *
     * @param id the id of the entry, not null
     * @return true if it is a known member that has not left and is not considered dead
     */
    public boolean isAlive(EntryId id) {
        return table.find(id).map(Member::isUsable).orElse(false);
    }

    /**
     * Selects the entry responsible for a duty by rendezvous hashing, among the entries that reach the store if there
     * are any.
     *
     * @param duty the name of the duty, not null
     * @return the selected entry, the same on all entries with the same view of the members; this entry if no member is
     *     alive
     */
    public EntryId entryFor(String duty) {
        return ranking.first(duty, alive(), id -> !isWithoutStore(id)).orElse(settings.id());
    }

    /**
     * Records whether an entry can reach the store.
     *
     * @param id the id of the entry, not null
     * @param withoutStore true if the entry cannot reach the store
     */
    public void setWithoutStore(EntryId id, boolean withoutStore) {
        if (withoutStore) {
            withoutStoreUntilMillis.put(id, clock.millis() + WITHOUT_STORE_VALIDITY.toMillis());
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
                .with(version -> contactOthers(), failure -> onRegisterFailure(failure, value));
    }

    private void onRegisterFailure(Throwable failure, byte[] value) {
        LogEvent.DEPENDENCY_STATE.log("store", false, "registration failed: " + failure.getMessage());
        if (failure instanceof StoreException storeFailure && storeFailure.kind() == StoreException.Kind.CONFLICT) {
            replaceRegistration(value);
        } else {
            timers.schedule(STORE_RETRY_DELAY, () -> register(value, ObjectStore.ABSENT_VERSION));
        }
    }

    private void replaceRegistration(byte[] value) {
        store.read(ENTRY_PREFIX + settings.id())
                .subscribe()
                .with(
                        existing -> register(
                                value, existing.map(StoredObject::version).orElse(ObjectStore.ABSENT_VERSION)),
                        failure ->
                                timers.schedule(STORE_RETRY_DELAY, () -> register(value, ObjectStore.ABSENT_VERSION)));
    }

    private void contactOthers() {
        store.list(ENTRY_PREFIX)
                .subscribe()
                .with(
                        objects -> {
                            onListed.accept(objects.size());
                            contacts.contact(objects.stream()
                                    .flatMap(object -> peerAddress(object).stream())
                                    .filter(address -> !address.equals(settings.peerAddress()))
                                    .toList());
                        },
                        failure -> timers.schedule(STORE_RETRY_DELAY, this::contactOthers));
    }

    private static Optional<HostPort> peerAddress(StoredObject object) {
        try {
            return Optional.of(
                    HostPort.parse(Json.read(object.value(), Registration.class).peerAddress()));
        } catch (RuntimeException e) {
            LogEvent.STORED_OBJECT_INVALID.log(object.key(), "peerAddress", "cannot be read: " + e.getMessage());
            return Optional.empty();
        }
    }

    private Set<HostPort> knownAddresses() {
        return table.usable().stream().map(Member::peerAddress).collect(Collectors.toSet());
    }

    private void receive(Datagram datagram) {
        messenger.applyPiggybacked(datagram);
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
     * The JSON value under which an entry registers in the store.
     *
     * @param peerAddress the address for messages of other entries
     * @param callerAddress the address for callers
     * @param failureDomain the failure domain of the entry
     */
    private record Registration(String peerAddress, String callerAddress, String failureDomain) {}
}
