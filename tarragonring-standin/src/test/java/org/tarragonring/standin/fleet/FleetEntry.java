package org.tarragonring.standin.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Supplier;

import io.smallrye.mutiny.Uni;
import org.tarragonring.entry.Clocks;
import org.tarragonring.entry.ControlPlane;
import org.tarragonring.entry.EntrySettings;
import org.tarragonring.entry.SettingKey;
import org.tarragonring.entry.SettingsFile;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.ModelName;
import org.tarragonring.peer.Datagram;
import org.tarragonring.peer.DatagramCodec;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.placement.IdlePolicy;
import org.tarragonring.placement.Invariants;
import org.tarragonring.standin.engine.StandInEngine;
import org.tarragonring.standin.platform.FaultyObjectStore;
import org.tarragonring.standin.platform.FaultyObjectStore.Fault;
import org.tarragonring.time.Delays;
import org.tarragonring.time.Timers;
import org.tarragonring.upstream.EngineOrder;
import org.tarragonring.upstream.OrderOutcome;
import org.tarragonring.upstream.UpstreamDirectory;

/** One entry of a fleet: its control plane, and the faults that befall its process. */
final class FleetEntry {

    private static final DatagramCodec CODEC = new DatagramCodec("fleet");

    final String id;
    final HostPort peerAddress;
    final Map<ModelName, PeerMessage.Placement> placements = new HashMap<>();
    Duration orderDelay = Duration.ZERO;
    boolean cutOff;
    boolean hearsNobody;
    boolean isHeardByNobody;

    private final Fleet fleet;
    private final String domain;
    private final List<Runnable> heldBack = new ArrayList<>();
    private ControlPlane control;
    private boolean alive;
    private boolean paused;
    private int steps;
    private int dieAfterStep = Integer.MAX_VALUE;
    private int life;

    FleetEntry(Fleet fleet, String id, String domain) {
        this.fleet = fleet;
        this.id = id;
        this.domain = domain;
        this.peerAddress = new HostPort(id, 1);
    }

    /** Starts a new process under this entry's id. */
    void start() {
        alive = true;
        paused = false;
        life++;
        int thisLife = life;
        Timers timers = (delay, action) -> fleet.time.schedule(delay, () -> runInLife(thisLife, action));
        Random random = new Random(fleet.random.nextLong());
        control = new ControlPlane(
                settings(),
                new GatedObjectStore(new FaultyObjectStore(fleet.store, fleet.time, this::nextFault), this::received),
                new Clocks(fleet.time, fleet.time),
                timers,
                (to, datagram) -> send(to, datagram),
                new UpstreamDirectory(
                        () -> exchange(() -> Uni.createFrom().item(() -> List.copyOf(fleet.listed.values()))),
                        address -> fleet.connect(this, address)),
                Runnable::run,
                random,
                IdlePolicy.fixed(Duration.ofSeconds(20)),
                new Invariants(fleet.breaches::add),
                placement -> placements.put(placement.model(), placement),
                notice -> {});
        control.start(new HostPort(id, 2), peerAddress).subscribe().with(done -> {}, failure -> {});
    }

    /** Ends the process at once: nothing of it runs any more and nothing reaches it. */
    void kill() {
        alive = false;
        life++;
        heldBack.clear();
    }

    /** Stops the process without its knowledge; what falls due meanwhile runs when it resumes. */
    void pause() {
        paused = true;
    }

    void resume() {
        paused = false;
        List<Runnable> due = List.copyOf(heldBack);
        heldBack.clear();
        due.forEach(Runnable::run);
    }

    /** Lets the process die after some more exchanges with the platform or an engine. */
    void dieAfter(int moreSteps) {
        dieAfterStep = steps + moreSteps;
    }

    ControlPlane control() {
        return control;
    }

    boolean isAlive() {
        return alive;
    }

    boolean isPaused() {
        return paused;
    }

    String domain() {
        return domain;
    }

    int steps() {
        return steps;
    }

    void receive(Datagram datagram) {
        if (alive) {
            runInLife(life, () -> control.receive(datagram));
        }
    }

    /**
     * Exchanges a request and its answer over the network. What was sent arrives even if the process dies or
     * pauses meanwhile; the answer waits for the process.
     */
    <T> Uni<T> exchange(Supplier<Uni<T>> request) {
        Delays network = new Delays(fleet.time);
        return Uni.createFrom()
                .deferred(() -> {
                    countStep();
                    return alive ? network.after(travel()) : Uni.createFrom().nothing();
                })
                .chain(ignored -> request.get())
                .onItem()
                .call(() -> network.after(travel()))
                .plug(this::received);
    }

    /** Hands an answer to the process when it runs, and to nobody if it died since. */
    private <T> Uni<T> received(Uni<T> answer) {
        return Uni.createFrom().emitter(emitter -> {
            int thisLife = life;
            answer.subscribe()
                    .with(
                            item -> runInLife(thisLife, () -> emitter.complete(item)),
                            failure -> runInLife(thisLife, () -> emitter.fail(failure)));
        });
    }

    /** Sends a load order that arrives late, while its sender waits for the answer. */
    Uni<OrderOutcome> lateOrder(StandInEngine engine, EngineOrder order) {
        return new Delays(fleet.time)
                .after(orderDelay)
                .chain(ignored -> engine.order(order))
                .plug(this::received);
    }

    private void countStep() {
        steps++;
        if (steps >= dieAfterStep) {
            dieAfterStep = Integer.MAX_VALUE;
            kill();
        }
    }

    private Duration travel() {
        return Duration.ofMillis(1 + fleet.random.nextInt(3));
    }

    private Fault nextFault() {
        fleet.platformRequests++;
        countStep();
        if (!alive) {
            return new Fault(Fault.Kind.REFUSED, Duration.ZERO, Duration.ZERO);
        }
        Fault.Kind kind = Fault.Kind.NONE;
        if (fleet.platformDown || cutOff) {
            kind = Fault.Kind.REFUSED;
        } else if (fleet.random.nextDouble() < fleet.lostAnswerShare) {
            kind = Fault.Kind.RESPONSE_LOST;
        }
        return new Fault(kind, travel(), travel());
    }

    private void send(HostPort to, Datagram datagram) {
        boolean isLost = cutOff || isHeardByNobody || fleet.random.nextDouble() < fleet.lostDatagramShare;
        byte[] bytes = CODEC.encode(datagram);
        if (isLost) {
            return;
        }
        fleet.entries.stream()
                .filter(e -> e.peerAddress.equals(to) && !e.cutOff && !e.hearsNobody)
                .findFirst()
                .ifPresent(e -> fleet.time.schedule(travel(), () -> e.receive(CODEC.decode(bytes))));
    }

    private void runInLife(int expectedLife, Runnable action) {
        if (!alive || life != expectedLife) {
            return;
        }
        if (paused) {
            heldBack.add(() -> runInLife(expectedLife, action));
        } else {
            action.run();
        }
    }

    private EntrySettings settings() {
        return SettingsFile.of(Map.of(
                        SettingKey.ID,
                        id,
                        SettingKey.FAILURE_DOMAIN,
                        domain,
                        SettingKey.CALLER_ADDRESS,
                        id + ":2",
                        SettingKey.PEER_ADDRESS,
                        id + ":1",
                        SettingKey.PEER_KEY,
                        "fleet",
                        SettingKey.PLATFORM_ADDRESS,
                        "platform:1",
                        SettingKey.INITIAL_IDLE_TIMEOUT,
                        "20s",
                        SettingKey.MIN_RESIDENCE,
                        "2s"))
                .toSettings();
    }
}
