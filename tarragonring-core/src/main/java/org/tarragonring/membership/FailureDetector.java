package org.tarragonring.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BiConsumer;

import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.HostPort;
import org.tarragonring.log.LogEvent;
import org.tarragonring.peer.Member;
import org.tarragonring.peer.MemberState;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.Timers;

/**
 * Probes one other entry a period: directly, then through others, then suspects it, then takes it as dead.
 *
 * @since 0.1.0
 */
public final class FailureDetector {

    private static final int REVIVE_EVERY_PROBES = 5;

    private final MemberTable table;
    private final MembershipTiming timing;
    private final Timers timers;
    private final MonotonicClock clock;
    private final Random random;
    private final BiConsumer<HostPort, PeerMessage> sender;
    private final ReentrantLock lock = new ReentrantLock();
    private final List<EntryId> round = new ArrayList<>();
    private final Map<Long, EntryId> awaited = new HashMap<>();
    private final Map<Long, Relayed> relayed = new HashMap<>();
    private long nextSequence;
    private volatile Timers.Task probing = () -> {};

    /**
     * Creates a detector that does not run yet.
     *
     * @param table the members, not null
     * @param timing the times, not null
     * @param timers runs the probes, not null
     * @param clock tells when this entry itself was held up, not null
     * @param random shuffles the members, not null
     * @param sender sends a message to an address, not null
     */
    public FailureDetector(
            MemberTable table,
            MembershipTiming timing,
            Timers timers,
            MonotonicClock clock,
            Random random,
            BiConsumer<HostPort, PeerMessage> sender) {
        this.table = Objects.requireNonNull(table, "table");
        this.timing = Objects.requireNonNull(timing, "timing");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.random = Objects.requireNonNull(random, "random");
        this.sender = Objects.requireNonNull(sender, "sender");
    }

    /** Starts probing. */
    public void start() {
        probing = timers.scheduleWithFixedDelay(timing.probePeriod(), this::probeNext);
    }

    /** Stops probing. */
    public void stop() {
        probing.cancel();
    }

    /**
     * Probes an address at once, as a starting entry does with those it was told of.
     *
     * @param address the address, not null
     */
    public void join(HostPort address) {
        sender.accept(address, new PeerMessage.Probe(sequence()));
    }

    /**
     * Answers a probe.
     *
     * @param from where it came from, not null
     * @param probe the probe, not null
     */
    public void onProbe(HostPort from, PeerMessage.Probe probe) {
        sender.accept(from, new PeerMessage.ProbeAck(probe.sequence()));
    }

    /**
     * Probes another entry on behalf of the sender.
     *
     * @param from who asks, not null
     * @param request what is asked, not null
     */
    public void onIndirectProbe(HostPort from, PeerMessage.IndirectProbe request) {
        long sequence = sequence();
        lock.lock();
        try {
            relayed.put(sequence, new Relayed(from, request.sequence()));
        } finally {
            lock.unlock();
        }
        timers.schedule(timing.probePeriod(), () -> forgetRelayed(sequence));
        sender.accept(request.targetAddress(), new PeerMessage.Probe(sequence));
    }

    /**
     * Takes an answer to a probe, or to one sent on behalf of another entry.
     *
     * @param ack the answer, not null
     */
    public void onAck(PeerMessage.ProbeAck ack) {
        Relayed asked;
        lock.lock();
        try {
            awaited.remove(ack.sequence());
            asked = relayed.remove(ack.sequence());
        } finally {
            lock.unlock();
        }
        if (asked != null) {
            sender.accept(asked.asker, new PeerMessage.ProbeAck(asked.sequence));
        }
    }

    private void probeNext() {
        Member target = nextTarget();
        if (target == null) {
            return;
        }
        long sequence = sequence();
        lock.lock();
        try {
            awaited.put(sequence, target.id());
        } finally {
            lock.unlock();
        }
        sender.accept(target.peerAddress(), new PeerMessage.Probe(sequence));
        long sentNanos = clock.nanos();
        timers.schedule(timing.probeTimeout(), () -> onDirectTimeout(sequence, target, sentNanos));
    }

    /** Returns the next member of a shuffled round, and now and then a dead one in case it can be reached again. */
    private Member nextTarget() {
        lock.lock();
        try {
            List<Member> dead = table.all().stream()
                    .filter(m -> m.state() == MemberState.DEAD)
                    .toList();
            if (!dead.isEmpty() && nextSequence % REVIVE_EVERY_PROBES == 0) {
                nextSequence++;
                return dead.get(random.nextInt(dead.size()));
            }
            if (round.isEmpty()) {
                table.usable().stream()
                        .map(Member::id)
                        .filter(id -> !id.equals(table.self().id()))
                        .forEach(round::add);
                Collections.shuffle(round, random);
            }
            while (!round.isEmpty()) {
                Member member = table.find(round.remove(round.size() - 1)).orElse(null);
                if (member != null && member.isUsable()) {
                    return member;
                }
            }
            return null;
        } finally {
            lock.unlock();
        }
    }

    private void onDirectTimeout(long sequence, Member target, long sentNanos) {
        if (!isAwaited(sequence)) {
            return;
        }
        List<Member> helpers = new ArrayList<>(table.usable().stream()
                .filter(m -> !m.id().equals(target.id())
                        && !m.id().equals(table.self().id()))
                .toList());
        Collections.shuffle(helpers, random);
        helpers.stream()
                .limit(timing.indirectProbes())
                .forEach(helper -> sender.accept(
                        helper.peerAddress(),
                        new PeerMessage.IndirectProbe(sequence, target.id(), target.peerAddress())));
        timers.schedule(timing.probeTimeout(), () -> onIndirectTimeout(sequence, target, sentNanos));
    }

    /**
     * Suspects a member that did not answer, or waits for the end of a suspicion that another entry raised, which may
     * itself be dead by then.
     */
    private void onIndirectTimeout(long sequence, Member target, long sentNanos) {
        lock.lock();
        try {
            if (awaited.remove(sequence) == null) {
                return;
            }
        } finally {
            lock.unlock();
        }
        Member known = table.find(target.id()).orElse(target);
        if (!known.isUsable() || wasHeldUp(sentNanos)) {
            return;
        }
        if (table.apply(known.with(MemberState.SUSPECT, known.incarnation()))) {
            LogEvent.MEMBER_SUSPECT.log(target.id());
        }
        timers.schedule(timing.suspicion(), () -> onSuspicionEnd(known));
    }

    /** Checks if this entry ran so late that answers may wait unread, in which case it accuses nobody. */
    private boolean wasHeldUp(long sentNanos) {
        long expectedNanos = timing.probeTimeout().multipliedBy(2).toNanos();
        return clock.nanos() - sentNanos > expectedNanos + timing.probeTimeout().toNanos() / 2;
    }

    private void onSuspicionEnd(Member suspect) {
        if (table.apply(suspect.with(MemberState.DEAD, suspect.incarnation()))) {
            LogEvent.MEMBER_DEAD.log(suspect.id());
        }
    }

    private boolean isAwaited(long sequence) {
        lock.lock();
        try {
            return awaited.containsKey(sequence);
        } finally {
            lock.unlock();
        }
    }

    private void forgetRelayed(long sequence) {
        lock.lock();
        try {
            relayed.remove(sequence);
        } finally {
            lock.unlock();
        }
    }

    private long sequence() {
        lock.lock();
        try {
            return ++nextSequence;
        } finally {
            lock.unlock();
        }
    }

    private record Relayed(HostPort asker, long sequence) {}
}
