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

/** An entry of a simulated fleet: its control plane and the simulated faults of its process and network. */
final class FleetEntry {

    private static final DatagramCodec CODEC = new DatagramCodec("fleet");

    final String id;
    final HostPort peerAddress;
    final Map<ModelName, PeerMessage.Placement> placements = new HashMap<>();
    Duration loadOrderDelay = Duration.ZERO;
    /** Whether the object store and all peers are unreachable; engines and the instance list stay reachable. */
    boolean isolated;

    boolean dropsReceivedDatagrams;
    boolean dropsSentDatagrams;

    private final Fleet fleet;
    private final String failureDomain;
    private final List<Runnable> deferredActions = new ArrayList<>();
    private ControlPlane control;
    private boolean alive;
    private boolean paused;
    private int exchangeCount;
    private int killAtExchangeCount = Integer.MAX_VALUE;
    private int processNumber;

    FleetEntry(Fleet fleet, String id, String failureDomain) {
        this.fleet = fleet;
        this.id = id;
        this.failureDomain = failureDomain;
        this.peerAddress = new HostPort(id, 1);
    }

    /** Starts a new process with this entry's id. */
    void start() {
        alive = true;
        paused = false;
        processNumber++;
        int currentProcess = processNumber;
        Timers timers = (delay, action) -> fleet.time.schedule(delay, () -> runInProcess(currentProcess, action));
        Random random = new Random(fleet.random.nextLong());
        control = new ControlPlane(
                settings(),
                new InterceptedObjectStore(
                        new FaultyObjectStore(
                                new SilenceableStore(fleet.store, fleet.time, () -> fleet.watchesSilent),
                                fleet.time,
                                this::nextFault),
                        this::deliverToProcess),
                new Clocks(fleet.time, fleet.time),
                timers,
                (to, datagram) -> send(to, datagram),
                new UpstreamDirectory(
                        () -> exchange(() -> Uni.createFrom().item(() -> List.copyOf(fleet.listedInstances.values()))),
                        address -> fleet.connectEngine(this, address)),
                Runnable::run,
                random,
                IdlePolicy.fixed(Duration.ofSeconds(20)),
                new Invariants(fleet.violations::add),
                placement -> placements.put(placement.model(), placement),
                (from, report) -> {});
        control.start(new HostPort(id, 2), peerAddress).subscribe().with(done -> {}, failure -> {});
    }

    /** Kills the process: its pending actions are discarded and it receives nothing more. */
    void kill() {
        alive = false;
        processNumber++;
        deferredActions.clear();
    }

    /** Suspends the process without notice. Actions that become due while it is suspended run when it resumes. */
    void pause() {
        paused = true;
    }

    void resume() {
        paused = false;
        List<Runnable> dueActions = List.copyOf(deferredActions);
        deferredActions.clear();
        dueActions.forEach(Runnable::run);
    }

    /**
     * Kills the process when it starts the given further exchange with the platform or an engine. The request of that
     * exchange is not sent. 0 has the same effect as 1.
     */
    void killAtExchange(int furtherExchanges) {
        killAtExchangeCount = exchangeCount + furtherExchanges;
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

    String failureDomain() {
        return failureDomain;
    }

    int exchangeCount() {
        return exchangeCount;
    }

    void receive(Datagram datagram) {
        if (alive) {
            runInProcess(processNumber, () -> control.receive(datagram));
        }
    }

    /**
     * Sends a request over the simulated network and returns its response. The request arrives even if the process is
     * killed or paused after sending it; the response is deferred while the process is paused.
     */
    <T> Uni<T> exchange(Supplier<Uni<T>> request) {
        Delays network = new Delays(fleet.time);
        return Uni.createFrom()
                .deferred(() -> {
                    countExchange();
                    return alive
                            ? network.after(networkDelay())
                            : Uni.createFrom().nothing();
                })
                .chain(ignored -> request.get())
                .onItem()
                .call(() -> network.after(networkDelay()))
                .plug(this::deliverToProcess);
    }

    /** Delivers a response when the process runs, or discards it if that process has been killed in the meantime. */
    private <T> Uni<T> deliverToProcess(Uni<T> response) {
        return Uni.createFrom().emitter(emitter -> {
            int currentProcess = processNumber;
            response.subscribe()
                    .with(
                            item -> runInProcess(currentProcess, () -> emitter.complete(item)),
                            failure -> runInProcess(currentProcess, () -> emitter.fail(failure)));
        });
    }

    /** Sends a load order that arrives after {@link #loadOrderDelay}, even if the process is killed in the meantime. */
    Uni<OrderOutcome> sendDelayedOrder(StandInEngine engine, EngineOrder order) {
        return new Delays(fleet.time)
                .after(loadOrderDelay)
                .chain(ignored -> engine.order(order))
                .plug(this::deliverToProcess);
    }

    private void countExchange() {
        exchangeCount++;
        if (exchangeCount >= killAtExchangeCount) {
            killAtExchangeCount = Integer.MAX_VALUE;
            kill();
        }
    }

    private Duration networkDelay() {
        return Duration.ofMillis(1 + fleet.random.nextInt(3));
    }

    private Fault nextFault() {
        fleet.platformRequests++;
        countExchange();
        if (!alive) {
            return new Fault(Fault.Kind.REFUSED, Duration.ZERO, Duration.ZERO);
        }
        Fault.Kind kind = Fault.Kind.NONE;
        if (fleet.platformDown || isolated) {
            kind = Fault.Kind.REFUSED;
        } else if (fleet.random.nextDouble() < fleet.responseLossProbability) {
            kind = Fault.Kind.RESPONSE_LOST;
        }
        return new Fault(kind, networkDelay(), networkDelay());
    }

    private void send(HostPort to, Datagram datagram) {
        boolean isLost = isolated || dropsSentDatagrams || fleet.random.nextDouble() < fleet.datagramLossProbability;
        byte[] bytes = CODEC.encode(datagram);
        if (isLost) {
            return;
        }
        fleet.entries.stream()
                .filter(e -> e.peerAddress.equals(to) && !e.isolated && !e.dropsReceivedDatagrams)
                .findFirst()
                .ifPresent(e -> fleet.time.schedule(networkDelay(), () -> e.receive(CODEC.decode(bytes))));
    }

    private void runInProcess(int expectedProcess, Runnable action) {
        if (!alive || processNumber != expectedProcess) {
            return;
        }
        if (paused) {
            deferredActions.add(() -> runInProcess(expectedProcess, action));
        } else {
            action.run();
        }
    }

    private EntrySettings settings() {
        return SettingsFile.of(Map.of(
                        SettingKey.ID,
                        id,
                        SettingKey.FAILURE_DOMAIN,
                        failureDomain,
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
