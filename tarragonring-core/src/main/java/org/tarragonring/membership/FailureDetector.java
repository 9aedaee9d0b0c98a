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
 * Detects failed entries with the SWIM protocol.
 *
 * <p>In each probe period it probes one other entry. If the entry does not acknowledge, other entries are requested to
 * probe it; if that fails too, it is suspected, and declared dead unless it refutes the suspicion in time.
 *
 * @since 0.1.0
 */
public final class FailureDetector {

    /** A dead member is probed when the last sequence number is a multiple of this, to detect its recovery. */
    private static final int SEQUENCES_PER_DEAD_MEMBER_PROBE = 5;

    private final MemberTable table;
    private final MembershipTiming timing;
    private final Timers timers;
    private final MonotonicClock clock;
    private final Random random;
    private final BiConsumer<HostPort, PeerMessage> sender;
    private final ReentrantLock lock = new ReentrantLock();
    private final List<EntryId> probeOrder = new ArrayList<>();
    private final Map<Long, EntryId> pendingProbes = new HashMap<>();
    private final Map<Long, ProbeOrigin> forwardedProbes = new HashMap<>();
    private long lastSequence;
    private volatile Timers.Task probeTask = () -> {};

    /**
     * Creates a detector; {@link #start} starts it.
     *
     * @param table the members, not null
     * @param timing the probe intervals and timeouts, not null
     * @param timers schedules the probes and timeouts, not null
     * @param clock measures how late this entry's own timers run, not null
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

    /** Starts periodic probing. */
    public void start() {
        probeTask = timers.scheduleWithFixedDelay(timing.probePeriod(), this::probeNextMember);
    }

    /** Stops periodic probing; timeouts that are already scheduled still run. */
    public void stop() {
        probeTask.cancel();
    }

    /**
     * Sends a single probe to an address at once, with no timeout. An entry that starts announces itself in this way to
     * the entries in the store.
     *
     * @param address the peer address of the other entry, not null
     */
    public void probeNow(HostPort address) {
        sender.accept(address, new PeerMessage.Probe(nextSequence()));
    }

    /**
     * Asks an entry, which need not be a known member, for members that it knows.
     *
     * @param address the entry's peer address, not null
     */
    public void requestIntroduction(HostPort address) {
        sender.accept(address, new PeerMessage.Probe(PeerMessage.Probe.INTRODUCTION));
    }

    /**
     * Acknowledges a probe.
     *
     * @param from the address to acknowledge to, not null
     * @param probe the probe, not null
     */
    public void onProbe(HostPort from, PeerMessage.Probe probe) {
        sender.accept(from, new PeerMessage.ProbeAck(probe.sequence()));
    }

    /**
     * Probes another entry on behalf of the sender, to which the acknowledgement is forwarded if it arrives within one
     * probe period.
     *
     * @param from the address of the requesting entry, not null
     * @param request the request, not null
     */
    public void onIndirectProbe(HostPort from, PeerMessage.IndirectProbe request) {
        long sequence = nextSequence();
        lock.lock();
        try {
            forwardedProbes.put(sequence, new ProbeOrigin(from, request.sequence()));
        } finally {
            lock.unlock();
        }
        timers.schedule(timing.probePeriod(), () -> removeForwardedProbe(sequence));
        sender.accept(request.targetAddress(), new PeerMessage.Probe(sequence));
    }

    /**
     * Handles an acknowledgement: completes the probe that it belongs to, or forwards it if the probe was sent on
     * behalf of another entry. Acknowledgements of unknown probes are ignored.
     *
     * @param ack the acknowledgement, not null
     */
    public void onAck(PeerMessage.ProbeAck ack) {
        ProbeOrigin origin;
        lock.lock();
        try {
            pendingProbes.remove(ack.sequence());
            origin = forwardedProbes.remove(ack.sequence());
        } finally {
            lock.unlock();
        }
        if (origin != null) {
            sender.accept(origin.requester, new PeerMessage.ProbeAck(origin.sequence));
        }
    }

    private void probeNextMember() {
        Member target = nextTarget();
        if (target == null) {
            return;
        }
        long sequence = nextSequence();
        lock.lock();
        try {
            pendingProbes.put(sequence, target.id());
        } finally {
            lock.unlock();
        }
        sender.accept(target.peerAddress(), new PeerMessage.Probe(sequence));
        long sentNanos = clock.nanos();
        timers.schedule(timing.probeTimeout(), () -> onDirectTimeout(sequence, target, sentNanos));
    }

    /** Returns the next member in shuffled order, or periodically a dead one, to detect its recovery. */
    private Member nextTarget() {
        lock.lock();
        try {
            List<Member> dead = table.all().stream()
                    .filter(m -> m.state() == MemberState.DEAD)
                    .toList();
            if (!dead.isEmpty() && lastSequence % SEQUENCES_PER_DEAD_MEMBER_PROBE == 0) {
                lastSequence++;
                return dead.get(random.nextInt(dead.size()));
            }
            if (probeOrder.isEmpty()) {
                table.usable().stream()
                        .map(Member::id)
                        .filter(id -> !id.equals(table.self().id()))
                        .forEach(probeOrder::add);
                Collections.shuffle(probeOrder, random);
            }
            while (!probeOrder.isEmpty()) {
                Member member =
                        table.find(probeOrder.remove(probeOrder.size() - 1)).orElse(null);
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
        if (!isPending(sequence)) {
            return;
        }
        List<Member> intermediaries = new ArrayList<>(table.usable().stream()
                .filter(m -> !m.id().equals(target.id())
                        && !m.id().equals(table.self().id()))
                .toList());
        Collections.shuffle(intermediaries, random);
        intermediaries.stream()
                .limit(timing.indirectProbeCount())
                .forEach(intermediary -> sender.accept(
                        intermediary.peerAddress(),
                        new PeerMessage.IndirectProbe(sequence, target.id(), target.peerAddress())));
        timers.schedule(timing.probeTimeout(), () -> onIndirectTimeout(sequence, target, sentNanos));
    }

    /**
     * Suspects a member that did not acknowledge. If another entry suspects it already, the suspicion timeout is
     * scheduled here too, because the entry that raised the suspicion may fail before it expires.
     */
    private void onIndirectTimeout(long sequence, Member target, long sentNanos) {
        lock.lock();
        try {
            if (pendingProbes.remove(sequence) == null) {
                return;
            }
        } finally {
            lock.unlock();
        }
        Member current = table.find(target.id()).orElse(target);
        if (!current.isUsable() || isTimerLate(sentNanos)) {
            return;
        }
        if (table.apply(current.withState(MemberState.SUSPECT, current.incarnation()))) {
            LogEvent.MEMBER_SUSPECT.log(target.id());
        }
        timers.schedule(timing.suspicionTimeout(), () -> onSuspicionTimeout(current));
    }

    /**
     * Checks whether this entry's timers ran so late that acknowledgements may still be unread in the socket buffer. In
     * that case a missing acknowledgement is no reason to suspect the member.
     */
    private boolean isTimerLate(long sentNanos) {
        long expectedNanos = timing.probeTimeout().multipliedBy(2).toNanos();
        return clock.nanos() - sentNanos > expectedNanos + timing.probeTimeout().toNanos() / 2;
    }

    private void onSuspicionTimeout(Member suspected) {
        if (table.apply(suspected.withState(MemberState.DEAD, suspected.incarnation()))) {
            LogEvent.MEMBER_DEAD.log(suspected.id());
        }
    }

    private boolean isPending(long sequence) {
        lock.lock();
        try {
            return pendingProbes.containsKey(sequence);
        } finally {
            lock.unlock();
        }
    }

    private void removeForwardedProbe(long sequence) {
        lock.lock();
        try {
            forwardedProbes.remove(sequence);
        } finally {
            lock.unlock();
        }
    }

    private long nextSequence() {
        lock.lock();
        try {
            return ++lastSequence;
        } finally {
            lock.unlock();
        }
    }

    /** The entry that requested an indirect probe, and the sequence number of its own probe. */
    private record ProbeOrigin(HostPort requester, long sequence) {}
}
