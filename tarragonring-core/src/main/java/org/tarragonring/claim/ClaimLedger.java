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
 * Keeps claims of non-idempotent calls in the platform's store. Claims that arrive while a bucket is being written
 * share the next write.
 *
 * @since 0.1.0
 */
public final class ClaimLedger {

    private static final Duration RELEASE_RETRY = Duration.ofSeconds(2);
    private static final int MAX_RELEASE_RETRIES = 100;

    private final RecordStore records;
    private final InstantSource wallClock;
    private final Timers timers;
    private final Duration lifetime;
    private final Bucket[] buckets = new Bucket[ClaimKey.BUCKETS];
    private final AtomicLong operations = new AtomicLong();
    private final AtomicLong writes = new AtomicLong();

    /**
     * Creates a ledger.
     *
     * @param records where claims are kept, not null
     * @param wallClock tells when claims lapse, not null
     * @param timers runs later attempts to release claims, not null
     * @param lifetime how long a claim is remembered, not null
     */
    public ClaimLedger(RecordStore records, InstantSource wallClock, Timers timers, Duration lifetime) {
        this.records = Objects.requireNonNull(records, "records");
        this.wallClock = Objects.requireNonNull(wallClock, "wallClock");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.lifetime = Objects.requireNonNull(lifetime, "lifetime");
        for (int i = 0; i < buckets.length; i++) {
            buckets[i] = new Bucket(i);
        }
    }

    /**
     * Claims the one send of a call.
     *
     * @param key the call, not null
     * @param claimant this attempt; never used for another one; not null
     * @param fingerprint the request's hash, not null
     * @return what the claim came to; fails with {@link org.tarragonring.objects.StoreException} if the claim was
     *     not confirmed, in which case the call must not be sent and the claim is released in the background
     */
    public CompletableFuture<ClaimOutcome> claim(ClaimKey key, String claimant, String fingerprint) {
        return submit(key, new ClaimOperation.Take(key, claimant, fingerprint, lifetime.toMillis()))
                .whenComplete((outcome, failure) -> {
                    if (failure != null) {
                        release(key, claimant);
                    }
                });
    }

    /**
     * Stores the answer of a call that ran.
     *
     * @param key the call, not null
     * @param claimant the attempt that owned the send, not null
     * @param answer the answer, not null
     * @return completes when it is stored
     */
    public CompletableFuture<ClaimOutcome> complete(ClaimKey key, String claimant, StoredAnswer answer) {
        return submit(key, new ClaimOperation.Complete(key, claimant, answer));
    }

    /**
     * Gives a claim back whose call did not run. Keeps trying while the store is away.
     *
     * @param key the call, not null
     * @param claimant the attempt that owned the send, not null
     */
    public void release(ClaimKey key, String claimant) {
        release(key, claimant, MAX_RELEASE_RETRIES);
    }

    /**
     * Returns how many changes were asked for.
     *
     * @return a count
     */
    public long operations() {
        return operations.get();
    }

    /**
     * Returns how many group commits were made for them.
     *
     * @return a count
     */
    public long writes() {
        return writes.get();
    }

    private void release(ClaimKey key, String claimant, int retriesLeft) {
        submit(key, new ClaimOperation.Release(key, claimant)).whenComplete((outcome, failure) -> {
            if (failure != null && retriesLeft > 0) {
                timers.schedule(RELEASE_RETRY, () -> release(key, claimant, retriesLeft - 1));
            }
        });
    }

    private CompletableFuture<ClaimOutcome> submit(ClaimKey key, ClaimOperation operation) {
        operations.incrementAndGet();
        Pending pending = new Pending(operation);
        buckets[key.bucket()].add(pending);
        return pending.future;
    }

    private final class Bucket {

        private final String name;
        private final ReentrantLock lock = new ReentrantLock();
        private List<Pending> waiting = new ArrayList<>();
        private boolean writing;

        private Bucket(int index) {
            this.name = Integer.toString(index);
        }

        private void add(Pending pending) {
            lock.lock();
            try {
                waiting.add(pending);
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
            List<Pending> batch;
            lock.lock();
            try {
                batch = waiting;
                waiting = new ArrayList<>();
                if (batch.isEmpty()) {
                    writing = false;
                    return;
                }
            } finally {
                lock.unlock();
            }
            writes.incrementAndGet();
            records.update(RecordType.CLAIMS, name, old -> apply(old, batch))
                    .subscribe()
                    .with(
                            done -> {
                                batch.forEach(Pending::succeed);
                                writeNext();
                            },
                            failure -> {
                                LogEvent.CLAIM_FAILED.log(name, failure.getMessage());
                                batch.forEach(p -> p.future.completeExceptionally(failure));
                                writeNext();
                            });
        }

        private ClaimRecord apply(ClaimRecord old, List<Pending> batch) {
            long nowMillis = wallClock.millis();
            Map<String, ClaimRecord.Claim> claims = new TreeMap<>(old.claims());
            claims.values().removeIf(claim -> claim.expiresAtMillis() <= nowMillis);
            Map<String, ClaimRecord.Claim> before = new TreeMap<>(claims);
            batch.forEach(p -> p.outcome = p.operation.apply(claims, nowMillis));
            return claims.equals(before) ? old : new ClaimRecord(claims);
        }
    }

    private static final class Pending {

        private final ClaimOperation operation;
        private final CompletableFuture<ClaimOutcome> future = new CompletableFuture<>();
        private volatile ClaimOutcome outcome;

        private Pending(ClaimOperation operation) {
            this.operation = operation;
        }

        private void succeed() {
            future.complete(outcome);
        }
    }
}
