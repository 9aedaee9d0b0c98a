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
 * Keeps the configuration of this entry at the highest published generation.
 *
 * <p>One or two entries in each failure domain, the relays, watch the platform's object store for a new generation.
 * Every datagram between entries carries the sender's generation; an entry that receives a higher one than its own
 * fetches the missing chunks from the sender, activates that generation and immediately sends a datagram to a few
 * random entries.
 *
 * @since 0.1.0
 */
public final class ConfigSynchronizer {

    /** A watch that is never answered is repeated early enough for a generation to be active everywhere within 14 s. */
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(8);

    private static final Duration RELAY_CHECK_INTERVAL = Duration.ofSeconds(1);
    private static final Duration RETRY_INTERVAL = Duration.ofSeconds(1);
    private static final int MEAN_FALLBACK_READ_INTERVAL_SECONDS = 60;
    private static final int NOTIFY_FANOUT = 3;

    private final ConfigHolder holder;
    private final ObjectStore objects;
    private final ConfigRepository repository;
    private final BlobFetcher fetcher;
    private final BooleanSupplier isRelay;
    private final Supplier<List<HostPort>> otherAddresses;
    private final BiConsumer<HostPort, PeerMessage> sender;
    private final Timers timers;
    private final Executor background;
    private final Random random;
    private final AtomicBoolean fetching = new AtomicBoolean();
    private final AtomicLong highestGenerationSeen = new AtomicLong();
    private volatile boolean headRead;
    private volatile boolean caughtUp;
    private volatile boolean running;
    private long watchRevision;

    /**
     * Creates a synchronizer; {@link #start} starts it.
     *
     * @param holder the active configuration, not null
     * @param objects the platform's object store, not null
     * @param fetcher fetches blobs from other entries, not null
     * @param isRelay returns whether this entry is currently a relay of its failure domain, not null
     * @param otherAddresses returns the peer addresses of the other usable entries, not null
     * @param sender sends a message to an entry's peer address, not null
     * @param timers schedules retries and fallback reads, not null
     * @param background runs the validation and activation of configurations, which would block an event loop; not null
     * @param random chooses entries and delays, not null
     */
    public ConfigSynchronizer(
            ConfigHolder holder,
            ObjectStore objects,
            BlobFetcher fetcher,
            BooleanSupplier isRelay,
            Supplier<List<HostPort>> otherAddresses,
            BiConsumer<HostPort, PeerMessage> sender,
            Timers timers,
            Executor background,
            Random random) {
        this.holder = Objects.requireNonNull(holder, "holder");
        this.objects = Objects.requireNonNull(objects, "objects");
        this.repository = new ConfigRepository(objects);
        this.fetcher = Objects.requireNonNull(fetcher, "fetcher");
        this.isRelay = Objects.requireNonNull(isRelay, "isRelay");
        this.otherAddresses = Objects.requireNonNull(otherAddresses, "otherAddresses");
        this.sender = Objects.requireNonNull(sender, "sender");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.background = Objects.requireNonNull(background, "background");
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Starts: reads the head manifest, watches it while this entry is a relay, and in any case reads it again at random
     * intervals.
     */
    public void start() {
        running = true;
        holder.addListener(snapshot -> notifyRandomEntries());
        readHead();
        watchIfRelay();
        scheduleFallbackRead();
    }

    /** Stops reading and watching. */
    public void stop() {
        running = false;
    }

    /**
     * Checks whether this entry may serve: it has read the head manifest from the platform since its start, and has at
     * some time after that held the highest generation seen. A generation received from other entries alone is not
     * enough, since they may be partitioned from the platform together with this entry.
     *
     * @return true once both conditions were met, and from then on
     */
    public boolean isCaughtUp() {
        if (!caughtUp) {
            caughtUp = headRead && holder.generation() > 0 && holder.generation() >= highestGenerationSeen.get();
        }
        return caughtUp;
    }

    /**
     * Handles the generation that another entry reports, and fetches it from there if it is higher than the active one.
     *
     * @param from the peer address of the entry, not null
     * @param generation the active generation of that entry, 0 if it has none
     */
    public void onGeneration(HostPort from, long generation) {
        highestGenerationSeen.accumulateAndGet(generation, Math::max);
        if (generation > holder.generation()) {
            fetchFrom(from);
        }
    }

    private void fetchFrom(HostPort from) {
        if (!fetching.compareAndSet(false, true)) {
            return;
        }
        Uni.createFrom()
                .completionStage(() -> fetcher.fetch(from, BlobProvider.MANIFEST_NAME))
                .map(blob -> Json.read(blob, ConfigManifest.class))
                .chain(manifest -> fetchChunks(from, manifest)
                        .emitOn(background)
                        .invoke(chunks -> activate(manifest, chunks, "another entry")))
                .onTermination()
                .invoke(() -> fetching.set(false))
                .subscribe()
                .with(done -> {}, this::onFetchFailed);
    }

    /** Reads from the platform what another entry did not send, as the next datagram with its generation may be late. */
    private void onFetchFailed(Throwable failure) {
        LogEvent.CONFIG_FETCH_FAILED.log(highestGenerationSeen.get(), failure.getMessage());
        if (running) {
            readHead();
        }
    }

    /** Fetches the missing chunks from another entry, and those that it does not supply from the platform. */
    private Uni<Map<String, byte[]>> fetchChunks(HostPort from, ConfigManifest manifest) {
        Map<String, byte[]> chunks = new HashMap<>(activeChunks());
        Uni<Void> all = Uni.createFrom().voidItem();
        for (String sha256 : manifest.chunkSha256s()) {
            if (!sha256.isEmpty() && !chunks.containsKey(sha256)) {
                all = all.chain(() -> Uni.createFrom()
                        .completionStage(() -> fetcher.fetch(from, BlobProvider.chunkName(sha256)))
                        .invoke(chunk -> chunks.put(sha256, chunk))
                        .replaceWithVoid());
            }
        }
        return all.onFailure().recoverWithNull().chain(() -> repository.chunks(manifest, chunks));
    }

    private void activate(ConfigManifest manifest, Map<String, byte[]> chunks, String source) {
        highestGenerationSeen.accumulateAndGet(manifest.generation(), Math::max);
        holder.activate(manifest, chunks, source);
    }

    private Map<String, byte[]> activeChunks() {
        return holder.current().map(ConfigHolder.Snapshot::chunks).orElse(Map.of());
    }

    /** Sends a datagram, which carries the new generation, to a few random entries. */
    private void notifyRandomEntries() {
        List<HostPort> addresses = new ArrayList<>(otherAddresses.get());
        for (int i = 0; i < NOTIFY_FANOUT && !addresses.isEmpty(); i++) {
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
                    return loadChunks(head.get())
                            .emitOn(background)
                            .invoke(chunks -> activate(head.get(), chunks, "the platform"))
                            .replaceWithVoid();
                })
                .subscribe()
                .with(done -> headRead = true, failure -> retryReadHead(failure));
    }

    /** Loads the chunks; a starting entry fetches them from another entry if one is usable. */
    private Uni<Map<String, byte[]>> loadChunks(ConfigManifest manifest) {
        List<HostPort> addresses = otherAddresses.get();
        if (addresses.isEmpty() || holder.generation() > 0) {
            return repository.chunks(manifest, activeChunks());
        }
        return fetchChunks(addresses.get(random.nextInt(addresses.size())), manifest);
    }

    private void retryReadHead(Throwable failure) {
        LogEvent.CONFIG_FETCH_FAILED.log("from the platform", failure.getMessage());
        if (running && !headRead) {
            timers.schedule(RETRY_INTERVAL.plusMillis(random.nextInt((int) RETRY_INTERVAL.toMillis())), this::readHead);
        }
    }

    private void scheduleFallbackRead() {
        if (!running) {
            return;
        }
        Duration delay = Duration.ofSeconds(
                MEAN_FALLBACK_READ_INTERVAL_SECONDS / 2 + random.nextInt(MEAN_FALLBACK_READ_INTERVAL_SECONDS));
        timers.schedule(delay, () -> {
            readHead();
            scheduleFallbackRead();
        });
    }

    private void watchIfRelay() {
        if (!running) {
            return;
        }
        if (!isRelay.getAsBoolean()) {
            timers.schedule(RELAY_CHECK_INTERVAL, this::watchIfRelay);
            return;
        }
        objects.watch(ConfigRepository.HEAD_KEY, watchRevision, WATCH_TIMEOUT)
                .subscribe()
                .with(this::onWatchResult, failure -> timers.schedule(RETRY_INTERVAL, this::watchIfRelay));
    }

    private void onWatchResult(WatchBatch batch) {
        watchRevision = batch.revision();
        if (!batch.changed().isEmpty()) {
            readHead();
        }
        watchIfRelay();
    }
}
