package org.tarragonring.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.ReentrantLock;

import org.tarragonring.ids.EntryId;
import org.tarragonring.peer.Member;
import org.tarragonring.peer.MemberState;

/**
 * Holds the latest known state of every entry, and the membership updates that still have to be sent to others.
 *
 * <p>A membership update is a {@link Member}: an entry in a state, as reported by some entry.
 *
 * @since 0.1.0
 */
public final class MemberTable {

    /** The number of times that an update is sent, per bit of the number of members. */
    private static final int RETRANSMIT_MULTIPLIER = 3;

    private final ReentrantLock lock = new ReentrantLock();
    private final Map<EntryId, Member> members = new ConcurrentHashMap<>();
    private final Map<EntryId, Integer> remainingTransmissions = new HashMap<>();
    private volatile Member self;
    /** The usable members, null if it must be determined anew. */
    private volatile List<Member> usable;

    /**
     * Creates a table that contains only this entry.
     *
     * @param self this entry, not null
     */
    public MemberTable(Member self) {
        this.self = Objects.requireNonNull(self, "self");
        put(self);
    }

    /**
     * Applies a membership update received from another entry.
     *
     * <p>An update that contradicts the state of this entry is refuted with a higher incarnation, unless this entry has
     * left. An update that reports an unknown entry as dead or left is ignored.
     *
     * @param update the update, not null
     * @return true if it changed the table
     */
    public boolean apply(Member update) {
        lock.lock();
        try {
            if (update.id().equals(self.id())) {
                return refute(update);
            }
            Member current = members.get(update.id());
            if (current != null && !update.overrides(current)) {
                return false;
            }
            if (current == null && !update.isUsable()) {
                return false;
            }
            put(update);
            return true;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Adds a member that was read from the store at the start. It is not forwarded, because the other entries
     * already know it.
     *
     * @param member the member, not null
     */
    public void seed(Member member) {
        lock.lock();
        try {
            if (apply(member)) {
                remainingTransmissions.remove(member.id());
            }
        } finally {
            lock.unlock();
        }
    }

    /** Marks this entry as {@link MemberState#LEFT}; from then on it refutes no updates. */
    public void leave() {
        lock.lock();
        try {
            self = self.withState(MemberState.LEFT, self.incarnation());
            put(self);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Removes a member that is dead or has left, so that replaced entries do not accumulate. Does nothing if the member
     * is unknown, usable or this entry.
     *
     * @param id the entry, not null
     */
    public void removeUnusable(EntryId id) {
        lock.lock();
        try {
            Member current = members.get(id);
            if (current != null && !current.isUsable() && !id.equals(self.id())) {
                members.remove(id);
                remainingTransmissions.remove(id);
            }
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns updates to piggyback on a datagram, those with the most transmissions left first, and counts one
     * transmission of each.
     *
     * @param maxCount the maximum number of updates
     * @return the updates, never null; each update is returned a number of times proportional to the logarithm of the
     *     number of members
     */
    public List<Member> nextUpdates(int maxCount) {
        lock.lock();
        try {
            if (remainingTransmissions.isEmpty()) {
                return List.of();
            }
            List<Member> updates = new ArrayList<>();
            for (EntryId id : leastTransmitted(maxCount)) {
                updates.add(members.get(id));
                remainingTransmissions.computeIfPresent(id, (key, remaining) -> remaining == 1 ? null : remaining - 1);
            }
            return updates;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns this entry in its current state.
     *
     * @return the member, never null
     */
    public Member self() {
        return self;
    }

    /**
     * Finds a member.
     *
     * @param id the entry, not null
     * @return the member, or empty if it is unknown
     */
    public Optional<Member> find(EntryId id) {
        return Optional.ofNullable(members.get(id));
    }

    /**
     * Returns all members, including those that are dead or have left.
     *
     * @return the members in no particular order, never null
     */
    public Collection<Member> all() {
        return List.copyOf(members.values());
    }

    /**
     * Returns the members that can be given work, including this entry unless it has left.
     *
     * @return the members ordered by id, never null
     */
    public List<Member> usable() {
        List<Member> current = usable;
        return current == null ? updateUsable() : current;
    }

    private List<Member> updateUsable() {
        lock.lock();
        try {
            usable = members.values().stream()
                    .filter(Member::isUsable)
                    .sorted(Comparator.comparing(Member::id))
                    .toList();
            return usable;
        } finally {
            lock.unlock();
        }
    }

    private boolean refute(Member update) {
        boolean contradicts = update.incarnation() >= self.incarnation() && update.state() != self.state();
        if (!contradicts || self.state() == MemberState.LEFT) {
            return false;
        }
        self = self.withState(MemberState.ALIVE, update.incarnation() + 1);
        put(self);
        return true;
    }

    private List<EntryId> leastTransmitted(int maxCount) {
        Comparator<EntryId> order = Comparator.comparing((EntryId id) -> -remainingTransmissions.get(id))
                .thenComparing(Comparator.naturalOrder());
        if (remainingTransmissions.size() <= maxCount) {
            return remainingTransmissions.keySet().stream().sorted(order).toList();
        }
        PriorityQueue<EntryId> selected = new PriorityQueue<>(order.reversed());
        for (EntryId id : remainingTransmissions.keySet()) {
            selected.add(id);
            if (selected.size() > maxCount) {
                selected.remove();
            }
        }
        return selected.stream().sorted(order).toList();
    }

    private void put(Member member) {
        members.put(member.id(), member);
        int bits = Integer.SIZE - Integer.numberOfLeadingZeros(members.size());
        remainingTransmissions.put(member.id(), RETRANSMIT_MULTIPLIER * bits);
        usable = null;
    }
}
