package org.tarragonring.spread;

import java.io.IOException;
import java.time.Duration;
import java.util.BitSet;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;

import org.tarragonring.ids.HostPort;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.time.Timers;

/**
 * Fetches blobs from other entries part by part, asking again for parts that got lost.
 *
 * @since 0.1.0
 */
public final class BlobFetcher {

    private static final Duration RETRY_PERIOD = Duration.ofMillis(250);
    private static final int MAX_RETRIES = 4;
    private static final int MAX_BLOB_BYTES = 1 << 20;

    private final BiConsumer<HostPort, PeerMessage> sender;
    private final Timers timers;
    private final Map<String, Transfer> transfers = new ConcurrentHashMap<>();

    /**
     * Creates a fetcher.
     *
     * @param sender sends a message to an entry, not null
     * @param timers runs retries, not null
     */
    public BlobFetcher(BiConsumer<HostPort, PeerMessage> sender, Timers timers) {
        this.sender = Objects.requireNonNull(sender, "sender");
        this.timers = Objects.requireNonNull(timers, "timers");
    }

    /**
     * Fetches a blob.
     *
     * @param from the entry to ask, not null
     * @param name the blob's name, not null
     * @return the blob; fails with {@link IOException} if the entry does not have it or does not answer
     */
    public CompletableFuture<byte[]> fetch(HostPort from, String name) {
        Transfer transfer = new Transfer(from, name);
        Transfer running = transfers.putIfAbsent(name, transfer);
        if (running != null) {
            return running.future;
        }
        transfer.future.whenComplete((blob, failure) -> transfers.remove(name, transfer));
        transfer.ask(0);
        transfer.arm(MAX_RETRIES);
        return transfer.future;
    }

    /**
     * Takes a part.
     *
     * @param part the part, not null
     */
    public void onPart(PeerMessage.BlobPart part) {
        Transfer transfer = transfers.get(part.name());
        if (transfer != null) {
            transfer.take(part);
        }
    }

    private final class Transfer {

        private final HostPort from;
        private final String name;
        private final CompletableFuture<byte[]> future = new CompletableFuture<>();
        private final BitSet parts = new BitSet();
        private byte[] blob;

        private Transfer(HostPort from, String name) {
            this.from = from;
            this.name = name;
        }

        private void ask(int offset) {
            sender.accept(from, new PeerMessage.BlobRequest(name, offset));
        }

        private void arm(int retriesLeft) {
            timers.schedule(RETRY_PERIOD, () -> retry(retriesLeft));
        }

        private void retry(int retriesLeft) {
            if (future.isDone()) {
                return;
            }
            if (retriesLeft == 0) {
                future.completeExceptionally(new IOException("entry at %s did not send \"%s\"".formatted(from, name)));
                return;
            }
            askMissing();
            arm(retriesLeft - 1);
        }

        private synchronized void askMissing() {
            if (blob == null) {
                ask(0);
                return;
            }
            for (int i = parts.nextClearBit(0); i < count(); i = parts.nextClearBit(i + 1)) {
                ask(i * BlobStore.PART_BYTES);
            }
        }

        private synchronized void take(PeerMessage.BlobPart part) {
            if (part.totalBytes() <= 0 || part.totalBytes() > MAX_BLOB_BYTES) {
                future.completeExceptionally(new IOException("entry at %s does not have \"%s\"".formatted(from, name)));
                return;
            }
            boolean first = blob == null;
            if (first) {
                blob = new byte[part.totalBytes()];
            }
            boolean fits = part.totalBytes() == blob.length
                    && part.offset() >= 0
                    && part.offset() % BlobStore.PART_BYTES == 0
                    && part.offset() + part.content().length <= blob.length;
            if (!fits) {
                future.completeExceptionally(new IOException("blob \"%s\" changed while it was sent".formatted(name)));
                return;
            }
            System.arraycopy(part.content(), 0, blob, part.offset(), part.content().length);
            parts.set(part.offset() / BlobStore.PART_BYTES);
            if (parts.cardinality() == count()) {
                future.complete(blob);
            } else if (first) {
                askMissing();
            }
        }

        private int count() {
            return (blob.length + BlobStore.PART_BYTES - 1) / BlobStore.PART_BYTES;
        }
    }
}
