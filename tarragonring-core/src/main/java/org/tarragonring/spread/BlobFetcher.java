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
 * Fetches blobs from other entries part by part over datagrams, and requests lost parts again.
 *
 * @since 0.1.0
 */
public final class BlobFetcher {

    private static final Duration RETRY_INTERVAL = Duration.ofMillis(250);
    private static final int MAX_RETRIES = 4;
    private static final int MAX_BLOB_BYTES = 1 << 20;

    private final BiConsumer<HostPort, PeerMessage> sender;
    private final Timers timers;
    private final Map<String, Transfer> transfers = new ConcurrentHashMap<>();

    /**
     * Creates a fetcher.
     *
     * @param sender sends a message to an entry's peer address, not null
     * @param timers schedules retries, not null
     */
    public BlobFetcher(BiConsumer<HostPort, PeerMessage> sender, Timers timers) {
        this.sender = Objects.requireNonNull(sender, "sender");
        this.timers = Objects.requireNonNull(timers, "timers");
    }

    /**
     * Fetches a blob. If a blob of this name is being fetched already, from any entry, returns the future of that
     * transfer.
     *
     * @param from the peer address of the entry to fetch from, not null
     * @param name the name of the blob, not null
     * @return the blob; fails with {@link IOException} if the entry does not have it, does not send all parts in time
     *     or the blob changes during the transfer
     */
    public CompletableFuture<byte[]> fetch(HostPort from, String name) {
        Transfer transfer = new Transfer(from, name);
        Transfer existing = transfers.putIfAbsent(name, transfer);
        if (existing != null) {
            return existing.future;
        }
        transfer.future.whenComplete((blob, failure) -> transfers.remove(name, transfer));
        transfer.requestPart(0);
        transfer.scheduleRetry(MAX_RETRIES);
        return transfer.future;
    }

    /**
     * Handles a received part; does nothing if no blob of its name is being fetched.
     *
     * @param part the part, not null
     */
    public void onPart(PeerMessage.BlobPart part) {
        Transfer transfer = transfers.get(part.name());
        if (transfer != null) {
            transfer.accept(part);
        }
    }

    private final class Transfer {

        private final HostPort from;
        private final String name;
        private final CompletableFuture<byte[]> future = new CompletableFuture<>();
        private final BitSet receivedParts = new BitSet();
        private byte[] blob;

        private Transfer(HostPort from, String name) {
            this.from = from;
            this.name = name;
        }

        private void requestPart(int offset) {
            sender.accept(from, new PeerMessage.BlobRequest(name, offset));
        }

        private void scheduleRetry(int retriesLeft) {
            timers.schedule(RETRY_INTERVAL, () -> retry(retriesLeft));
        }

        private void retry(int retriesLeft) {
            if (future.isDone()) {
                return;
            }
            if (retriesLeft == 0) {
                future.completeExceptionally(new IOException(
                        "entry at %s did not send all parts of blob \"%s\" in time".formatted(from, name)));
                return;
            }
            requestMissingParts();
            scheduleRetry(retriesLeft - 1);
        }

        private synchronized void requestMissingParts() {
            if (blob == null) {
                requestPart(0);
                return;
            }
            for (int i = receivedParts.nextClearBit(0); i < partCount(); i = receivedParts.nextClearBit(i + 1)) {
                requestPart(i * BlobProvider.PART_BYTES);
            }
        }

        private synchronized void accept(PeerMessage.BlobPart part) {
            if (part.totalBytes() <= 0 || part.totalBytes() > MAX_BLOB_BYTES) {
                future.completeExceptionally(new IOException(
                        "entry at %s sent size %d (0: not available) of blob \"%s\", expected 1 to %d bytes"
                                .formatted(from, part.totalBytes(), name, MAX_BLOB_BYTES)));
                return;
            }
            boolean isFirst = blob == null;
            if (isFirst) {
                blob = new byte[part.totalBytes()];
            }
            boolean matchesBlob = part.totalBytes() == blob.length
                    && part.offset() >= 0
                    && part.offset() % BlobProvider.PART_BYTES == 0
                    && part.offset() + part.content().length <= blob.length;
            if (!matchesBlob) {
                future.completeExceptionally(new IOException(
                        "entry at %s sent an invalid part of blob \"%s\" at offset %d; the blob may have changed"
                                .formatted(from, name, part.offset())));
                return;
            }
            System.arraycopy(part.content(), 0, blob, part.offset(), part.content().length);
            receivedParts.set(part.offset() / BlobProvider.PART_BYTES);
            if (receivedParts.cardinality() == partCount()) {
                future.complete(blob);
            } else if (isFirst) {
                requestMissingParts();
            }
        }

        private int partCount() {
            return (blob.length + BlobProvider.PART_BYTES - 1) / BlobProvider.PART_BYTES;
        }
    }
}
