package org.tarragonring.policy.routing;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.DoubleSupplier;

import org.tarragonring.home.Rendezvous;
import org.tarragonring.ids.Hashes;
import org.tarragonring.policy.replica.ReplicaState;
import org.tarragonring.time.MonotonicClock;

/**
 * Selects the replica at which a call is expected to end first, where the replicas differ in speed. Elsewhere it selects
 * none, and {@link ReplicaPicker} decides.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class UnevenReplicaPicker {

    /**
     * The number of replicas that are compared besides those with cached parts. Entries decide on digests that are some
     * hundred milliseconds old; if they compared all, they would send their next calls to the same one.
     */
    private static final int RANDOM_CHOICES = 2;

    /** The cost of another failure domain: the one-way latency between two of them is 0.9 ms. */
    private static final double OTHER_DOMAIN_MILLIS = 2;

    /** The part of the calls that can bear it that go to a slow replica, to learn whether it is still slow. */
    private static final double TRIAL_PART = 1 / 32.0;

    /** The speed below which a replica gets trial calls. */
    private static final double TRIAL_MAX_SPEED = 0.8;

    /** Prompts up to this size can bear a slow replica. */
    private static final long TRIAL_MAX_PROMPT_TOKENS = 2_000;

    private final String ownDomain;
    private final ReplicaLoadView view;
    private final ExpectedCompletion expected;
    private final PromptPartMemory promptParts;
    private final DoubleSupplier random;
    private final RampUp rampUp;

    /**
     * Creates a picker.
     *
     * @param ownDomain the failure domain of this entry, not null
     * @param view the load and speed of replicas, not null
     * @param expected computes expected times, not null
     * @param promptParts knows which replicas have which parts of prompts, not null
     * @param clock the monotonic clock, not null
     * @param random supplies random numbers from 0 inclusive to 1 exclusive, not null
     */
    public UnevenReplicaPicker(
            String ownDomain,
            ReplicaLoadView view,
            ExpectedCompletion expected,
            PromptPartMemory promptParts,
            MonotonicClock clock,
            DoubleSupplier random) {
        this.ownDomain = Objects.requireNonNull(ownDomain, "ownDomain");
        this.view = Objects.requireNonNull(view, "view");
        this.expected = Objects.requireNonNull(expected, "expected");
        this.promptParts = Objects.requireNonNull(promptParts, "promptParts");
        this.random = Objects.requireNonNull(random, "random");
        this.rampUp = new RampUp(Objects.requireNonNull(clock, "clock"));
    }

    /**
     * Selects a replica for a call.
     *
     * @param candidates the replicas that can run the call, all of one service, not null
     * @param call the call, not null
     * @return the replica; empty if there are no candidates or they are not known to differ
     */
    public Optional<ReplicaState> pick(List<ReplicaState> candidates, CallProfile call) {
        if (candidates.stream().noneMatch(candidate -> view.differs(candidate.id()))) {
            return Optional.empty();
        }
        if (call.promptTokens() <= TRIAL_MAX_PROMPT_TOKENS && random.getAsDouble() < TRIAL_PART) {
            Optional<ReplicaState> trial = pickSlow(candidates, call);
            if (trial.isPresent()) {
                return trial;
            }
        }
        return pickLeastCost(candidates, call);
    }

    /**
     * Selects the least expensive of a few replicas: of some at random, fast ones more often, and of those that probably
     * have the prompt cached.
     */
    private Optional<ReplicaState> pickLeastCost(List<ReplicaState> candidates, CallProfile call) {
        Optional<ReplicaState> preferred = preferred(candidates, call);
        double[] speeds = candidates.stream()
                .mapToDouble(candidate -> view.speedOf(candidate.id()))
                .toArray();
        double leastCost = Double.MAX_VALUE;
        ReplicaState best = null;
        for (int i = 0; i < RANDOM_CHOICES; i++) {
            ReplicaState candidate = candidates.get(randomIndex(speeds));
            double cost = cost(candidate, call, preferred.equals(Optional.of(candidate)));
            if (cost < leastCost) {
                leastCost = cost;
                best = candidate;
            }
        }
        for (ReplicaState candidate : candidates) {
            boolean isPreferred = preferred.equals(Optional.of(candidate));
            if (isPreferred || promptParts.cachedParts(call.promptParts(), candidate.process()) > 0) {
                double cost = cost(candidate, call, isPreferred);
                if (cost < leastCost) {
                    leastCost = cost;
                    best = candidate;
                }
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns an index with a probability in proportion to its weight. */
    private int randomIndex(double[] weights) {
        double remaining = random.getAsDouble() * Arrays.stream(weights).sum();
        for (int i = 0; i < weights.length - 1; i++) {
            remaining -= weights[i];
            if (remaining < 0) {
                return i;
            }
        }
        return weights.length - 1;
    }

    private double cost(ReplicaState candidate, CallProfile call, boolean isPreferred) {
        ExpectedCompletion.Target target = target(candidate, call, isPreferred);
        double millis = call.usesModel() ? expected.engineCost(call, target) : expected.plainCost(call, target);
        return millis * rampUp.factor(candidate.process())
                + (candidate.listed().failureDomain().equals(ownDomain) ? 0 : OTHER_DOMAIN_MILLIS);
    }

    private ExpectedCompletion.Target target(ReplicaState replica, CallProfile call, boolean isPreferred) {
        int cachedParts = promptParts.cachedParts(call.promptParts(), replica.process());
        // All entries prefer the same replica for a shared part that they do not know, so that it is cached there.
        int sharedParts = isPreferred ? Math.max(1, call.promptParts().size() - 1) : 0;
        return new ExpectedCompletion.Target(
                view.load(replica.id(), replica.inFlight()),
                Math.max(1, replica.listed().slots()),
                view.speedOf(replica.id()),
                Math.max(cachedParts, sharedParts));
    }

    private static Optional<ReplicaState> preferred(List<ReplicaState> candidates, CallProfile call) {
        if (call.affinityKey().isEmpty()) {
            return Optional.empty();
        }
        long[] idHashes =
                candidates.stream().mapToLong(c -> Hashes.of(c.id().value())).toArray();
        return Optional.of(candidates.get(Rendezvous.best(call.affinityKey(), idHashes)));
    }

    /** Selects one of the slow replicas that the call can bear. */
    private Optional<ReplicaState> pickSlow(List<ReplicaState> candidates, CallProfile call) {
        List<ReplicaState> slow = candidates.stream()
                .filter(candidate -> isTrialTarget(call, target(candidate, call, false)))
                .toList();
        return slow.isEmpty() ? Optional.empty() : Optional.of(slow.get((int) (random.getAsDouble() * slow.size())));
    }

    /** Returns whether a slow replica has room and is still expected to send the first event in time. */
    private boolean isTrialTarget(CallProfile call, ExpectedCompletion.Target target) {
        double millis = call.usesModel() ? expected.firstEventMillis(call, target) : expected.plainCost(call, target);
        return target.speed() < TRIAL_MAX_SPEED
                && target.loadCalls() < target.slots()
                && millis * 2 <= call.objectiveMillis();
    }
}
