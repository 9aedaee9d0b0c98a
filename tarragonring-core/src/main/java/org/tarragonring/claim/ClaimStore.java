package org.tarragonring.claim;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.ReentrantLock;

import org.tarragonring.log.LogEvent;
import org.tarragonring.objects.ClaimRecord;
import org.tarragonring.objects.RecordStore;
import org.tarragonring.objects.RecordType;
import org.tarragonring.time.Timers;

/**
 * Stores claims of non-idempotent calls in the platform's object store, so that at most one attempt of a call is sent.
 * Operations on a bucket that arrive while it is being written are combined into its next write. Thread-safe.
 *
 * @since 0.1.0
 */
public final class ClaimStore {

    private static final Duration RELEASE_RETRY_DELAY = Duration.ofSeconds(2);
    private static final int MAX_RELEASE_RETRIES = 100;

    private final RecordStore records;
    private final InstantSource wallClock;
    private final Timers timers;
    private final Duration lifetime;
    private final Bucket[] buckets = new Bucket[ClaimKey.BUCKET_COUNT];
    private final AtomicLong operationCount = new AtomicLong();
    private final AtomicLong writeCount = new AtomicLong();

    /**
     * Creates a claim store.
     *
     * @param records the records in the platform's object store, not null
     * @param wallClock the wall clock, which determines when claims expire; not null
     * @param timers schedules retries of releases, not null
     * @param lifetime the time after which a claim expires, not null
     */
    public ClaimStore(RecordStore records, InstantSource wallClock, Timers timers, Duration lifetime) {
        this.records = Objects.requireNonNull(records, "records");
        this.wallClock = Objects.requireNonNull(wallClock, "wallClock");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.lifetime = Objects.requireNonNull(lifetime, "lifetime");
        for (int i = 0; i < buckets.length; i++) {
            buckets[i] = new Bucket(i);
        }
    }

    /**
     * Claims the right to send a call, which only one attempt can hold.
     *
     * @param key identifies the call, not null
     * @param claimant the unique id of this attempt, not null
     * @param fingerprint the hash of the request, not null
     * @return completes with the outcome; fails with {@link org.tarragonring.objects.StoreException} if the claim was
     *     not confirmed, in which case the call must not be sent and the claim is released in the background
     */
    public CompletableFuture<ClaimOutcome> claim(ClaimKey key, String claimant, String fingerprint) {
        return submit(key, new ClaimOperation.Acquire(key, claimant, fingerprint, lifetime.toMillis()))
                .whenComplete((outcome, failure) -> {
                    if (failure != null) {
                        release(key, claimant);
                    }
                });
    }

    /**
     * Stores the response of a call that ran, so that it can be replayed.
     *
     * @param key identifies the call, not null
     * @param claimant the id of the attempt that holds the claim, not null
     * @param response the response, not null
     * @return completes when the operation was written to the store; the response is not stored if it is too large or
     *     if the attempt no longer holds the claim
     */
    public CompletableFuture<ClaimOutcome> complete(ClaimKey key, String claimant, StoredResponse response) {
        return submit(key, new ClaimOperation.Complete(key, claimant, response));
    }

    /**
     * Releases the claim of a call that did not run, so that another attempt can claim it. Retries in the background,
     * up to a limit, while the store is unavailable.
     *
     * @param key identifies the call, not null
     * @param claimant the id of the attempt that holds the claim, not null
     */
    public void release(ClaimKey key, String claimant) {
        release(key, claimant, MAX_RELEASE_RETRIES);
    }

    /**
     * Returns the number of operations that were requested.
     *
     * @return the number of operations since the start of the entry
     */
    public long operationCount() {
        return operationCount.get();
    }

    /**
     * Returns the number of combined writes of operations.
     *
     * @return the number of writes since the start of the entry
     */
    public long writeCount() {
        return writeCount.get();
    }

    private void release(ClaimKey key, String claimant, int retriesLeft) {
        submit(key, new ClaimOperation.Release(key, claimant)).whenComplete((outcome, failure) -> {
            if (failure != null && retriesLeft > 0) {
                timers.schedule(RELEASE_RETRY_DELAY, () -> release(key, claimant, retriesLeft - 1));
            }
        });
    }

    private CompletableFuture<ClaimOutcome> submit(ClaimKey key, ClaimOperation operation) {
        operationCount.incrementAndGet();
        PendingOperation pending = new PendingOperation(operation);
        buckets[key.bucket()].add(pending);
        return pending.future;
    }

    private final class Bucket {

        private final String name;
        private final ReentrantLock lock = new ReentrantLock();
        private List<PendingOperation> queued = new ArrayList<>();
        private boolean writing;

        private Bucket(int index) {
            this.name = Integer.toString(index);
        }

        private void add(PendingOperation pending) {
            lock.lock();
            try {
                queued.add(pending);
                if (writing) {
                    return;
                }
                writing = true;
            } finally {
                lock.unlock();
            }
            writeNext();
        }

        private void writeNext() {
            List<PendingOperation> batch;
            lock.lock();
            try {
                batch = queued;
                queued = new ArrayList<>();
                if (batch.isEmpty()) {
                    writing = false;
                    return;
                }
            } finally {
                lock.unlock();
            }
            writeCount.incrementAndGet();
            records.update(RecordType.CLAIMS, name, current -> apply(current, batch))
                    .subscribe()
                    .with(
                            done -> {
                                batch.forEach(PendingOperation::completeFuture);
                                writeNext();
                            },
                            failure -> {
                                LogEvent.CLAIM_FAILED.log(name, failure.getMessage());
                                batch.forEach(p -> p.future.completeExceptionally(failure));
                                writeNext();
                            });
        }

        private ClaimRecord apply(ClaimRecord current, List<PendingOperation> batch) {
            long nowMillis = wallClock.millis();
            Map<String, ClaimRecord.Claim> claims = new TreeMap<>(current.claims());
            claims.values().removeIf(claim -> claim.expiresAtMillis() <= nowMillis);
            Map<String, ClaimRecord.Claim> beforeBatch = new TreeMap<>(claims);
            batch.forEach(p -> p.outcome = p.operation.apply(claims, nowMillis));
            return claims.equals(beforeBatch) ? current : new ClaimRecord(claims);
        }
    }

    private static final class PendingOperation {

        private final ClaimOperation operation;
        private final CompletableFuture<ClaimOutcome> future = new CompletableFuture<>();
        private volatile ClaimOutcome outcome;

        private PendingOperation(ClaimOperation operation) {
            this.operation = operation;
        }

        private void completeFuture() {
            future.complete(outcome);
        }
    }
}
