package org.tarragonring.spread;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.smallrye.mutiny.Uni;
import org.tarragonring.config.ConfigHolder;
import org.tarragonring.config.ConfigManifest;
import org.tarragonring.ids.HostPort;
import org.tarragonring.log.LogEvent;
import org.tarragonring.objects.Json;
import org.tarragonring.objects.ObjectStore;
import org.tarragonring.objects.WatchBatch;
import org.tarragonring.operator.ConfigRepository;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.time.Timers;

/**
 * Brings the highest generation of the configuration into force on this entry.
 *
 * <p>One or two relays in each failure domain wait at the platform for a new generation. Every datagram between
 * entries carries the sender's generation; whoever sees a higher one than its own fetches what it lacks from that
 * entry, and tells a few others at once.
 *
 * @since 0.1.0
 */
public final class ConfigSpread {

    private static final Duration WATCH_WAIT = Duration.ofSeconds(20);
    private static final Duration RELAY_CHECK_PERIOD = Duration.ofSeconds(1);
    private static final Duration RETRY_PERIOD = Duration.ofSeconds(1);
    private static final int SAFETY_READ_SECONDS = 60;
    private static final int EAGER_TELLS = 3;

    private final ConfigHolder holder;
    private final ObjectStore objects;
    private final ConfigRepository repository;
    private final BlobFetcher fetcher;
    private final BooleanSupplier isRelay;
    private final Supplier<List<HostPort>> others;
    private final BiConsumer<HostPort, PeerMessage> sender;
    private final Timers timers;
    private final Executor background;
    private final Random random;
    private final AtomicBoolean fetching = new AtomicBoolean();
    private final AtomicLong highestSeen = new AtomicLong();
    private volatile boolean headRead;
    private volatile boolean caughtUp;
    private volatile boolean running;
    private long watchRevision;

    /**
     * Creates a spread that does not run yet.
     *
     * @param holder the configuration in force, not null
     * @param objects the platform's store, not null
     * @param fetcher fetches from other entries, not null
     * @param isRelay says if this entry is a relay of its failure domain now, not null
     * @param others gives the addresses of other usable entries, not null
     * @param sender sends a message to an entry, not null
     * @param timers runs retries, not null
     * @param background checks and adopts configurations, which takes long for an event loop; not null
     * @param random draws entries and delays, not null
     */
    public ConfigSpread(
            ConfigHolder holder,
            ObjectStore objects,
            BlobFetcher fetcher,
            BooleanSupplier isRelay,
            Supplier<List<HostPort>> others,
            BiConsumer<HostPort, PeerMessage> sender,
            Timers timers,
            Executor background,
            Random random) {
        this.holder = Objects.requireNonNull(holder, "holder");
        this.objects = Objects.requireNonNull(objects, "objects");
        this.repository = new ConfigRepository(objects);
        this.fetcher = Objects.requireNonNull(fetcher, "fetcher");
        this.isRelay = Objects.requireNonNull(isRelay, "isRelay");
        this.others = Objects.requireNonNull(others, "others");
        this.sender = Objects.requireNonNull(sender, "sender");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.background = Objects.requireNonNull(background, "background");
        this.random = Objects.requireNonNull(random, "random");
    }

    /** Starts: reads the head, watches it while this entry is a relay, and now and then reads it in any case. */
    public void start() {
        running = true;
        holder.addListener(snapshot -> tellSome());
        readHead();
        watchOrWait();
        scheduleSafetyRead();
    }

    /** Stops reading and watching. */
    public void stop() {
        running = false;
    }

    /**
     * Checks if this entry may serve: it has read the platform's head since its start, and has held the highest
     * generation seen at some moment after that. What it learned from other entries alone is not enough, since
     * they may be cut off together with it.
     *
     * @return true from that moment on
     */
    public boolean isCaughtUp() {
        if (!caughtUp) {
            caughtUp = headRead && holder.generation() > 0 && holder.generation() >= highestSeen.get();
        }
        return caughtUp;
    }

    /**
     * Takes the generation that another entry holds.
     *
     * @param from the entry's address, not null
     * @param generation its generation
     */
    public void onGeneration(HostPort from, long generation) {
        highestSeen.accumulateAndGet(generation, Math::max);
        if (generation > holder.generation()) {
            fetchFrom(from);
        }
    }

    private void fetchFrom(HostPort from) {
        if (!fetching.compareAndSet(false, true)) {
            return;
        }
        Uni.createFrom()
                .completionStage(() -> fetcher.fetch(from, BlobStore.MANIFEST))
                .map(blob -> Json.read(blob, ConfigManifest.class))
                .chain(manifest -> fetchChunks(from, manifest)
                        .emitOn(background)
                        .invoke(chunks -> adopt(manifest, chunks, "an entry")))
                .onTermination()
                .invoke(() -> fetching.set(false))
                .subscribe()
                .with(done -> {}, failure -> LogEvent.CONFIG_FETCH_FAILED.log(highestSeen.get(), failure.getMessage()));
    }

    /** Fetches the chunks that this entry lacks from another entry, and from the platform those that it lacks too. */
    private Uni<Map<String, byte[]>> fetchChunks(HostPort from, ConfigManifest manifest) {
        Map<String, byte[]> chunks = new HashMap<>(known());
        Uni<Void> all = Uni.createFrom().voidItem();
        for (String sha256 : manifest.chunkSha256s()) {
            if (!sha256.isEmpty() && !chunks.containsKey(sha256)) {
                all = all.chain(() -> Uni.createFrom()
                        .completionStage(() -> fetcher.fetch(from, BlobStore.chunkName(sha256)))
                        .invoke(chunk -> chunks.put(sha256, chunk))
                        .replaceWithVoid());
            }
        }
        return all.onFailure().recoverWithNull().chain(() -> repository.chunks(manifest, chunks));
    }

    private void adopt(ConfigManifest manifest, Map<String, byte[]> chunks, String source) {
        highestSeen.accumulateAndGet(manifest.generation(), Math::max);
        holder.activate(manifest, chunks, source);
    }

    private Map<String, byte[]> known() {
        return holder.current().map(ConfigHolder.Snapshot::chunks).orElse(Map.of());
    }

    private void tellSome() {
        List<HostPort> addresses = new ArrayList<>(others.get());
        for (int i = 0; i < EAGER_TELLS && !addresses.isEmpty(); i++) {
            HostPort address = addresses.remove(random.nextInt(addresses.size()));
            sender.accept(address, new PeerMessage.ProbeAck(0));
        }
    }

    private void readHead() {
        repository
                .head()
                .chain(head -> {
                    if (head.isEmpty() || head.get().generation() <= holder.generation()) {
                        return Uni.createFrom().voidItem();
                    }
                    return chunks(head.get())
                            .emitOn(background)
                            .invoke(chunks -> adopt(head.get(), chunks, "the platform"))
                            .replaceWithVoid();
                })
                .subscribe()
                .with(done -> headRead = true, failure -> retryHead(failure));
    }

    private Uni<Map<String, byte[]>> chunks(ConfigManifest manifest) {
        List<HostPort> addresses = others.get();
        if (addresses.isEmpty() || holder.generation() > 0) {
            return repository.chunks(manifest, known());
        }
        return fetchChunks(addresses.get(random.nextInt(addresses.size())), manifest);
    }

    private void retryHead(Throwable failure) {
        LogEvent.CONFIG_FETCH_FAILED.log("of the platform", failure.getMessage());
        if (running && !headRead) {
            timers.schedule(RETRY_PERIOD.plusMillis(random.nextInt((int) RETRY_PERIOD.toMillis())), this::readHead);
        }
    }

    private void scheduleSafetyRead() {
        if (!running) {
            return;
        }
        Duration delay = Duration.ofSeconds(SAFETY_READ_SECONDS / 2 + random.nextInt(SAFETY_READ_SECONDS));
        timers.schedule(delay, () -> {
            readHead();
            scheduleSafetyRead();
        });
    }

    private void watchOrWait() {
        if (!running) {
            return;
        }
        if (!isRelay.getAsBoolean()) {
            timers.schedule(RELAY_CHECK_PERIOD, this::watchOrWait);
            return;
        }
        objects.watch(ConfigRepository.HEAD_KEY, watchRevision, WATCH_WAIT)
                .subscribe()
                .with(this::onWatched, failure -> timers.schedule(RETRY_PERIOD, this::watchOrWait));
    }

    private void onWatched(WatchBatch batch) {
        watchRevision = batch.revision();
        if (!batch.changed().isEmpty()) {
            readHead();
        }
        watchOrWait();
    }
}
