package org.tarragonring.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.ReentrantLock;

import org.tarragonring.ids.EntryId;
import org.tarragonring.peer.Member;
import org.tarragonring.peer.MemberState;

/**
 * Holds the latest claims about all entries, and the claims that still have to be passed on.
 *
 * @since 0.1.0
 */
public final class MemberTable {

    private static final int TRANSMIT_FACTOR = 3;

    private final ReentrantLock lock = new ReentrantLock();
    private final Map<EntryId, Member> members = new ConcurrentHashMap<>();
    private final Map<EntryId, Integer> pendingTransmits = new HashMap<>();
    private volatile Member self;
    private volatile List<Member> usable = List.of();

    /**
     * Creates a table that knows only its own entry.
     *
     * @param self this entry, not null
     */
    public MemberTable(Member self) {
        this.self = Objects.requireNonNull(self, "self");
        put(self);
    }

    /**
     * Takes a claim.
     *
     * @param claim the claim, not null
     * @return true if it changed the table; a claim against this entry is refuted by a higher incarnation
     */
    public boolean apply(Member claim) {
        lock.lock();
        try {
            if (claim.id().equals(self.id())) {
                return refute(claim);
            }
            Member known = members.get(claim.id());
            if (known != null && !claim.overrides(known)) {
                return false;
            }
            if (known == null && !claim.isUsable()) {
                return false;
            }
            put(claim);
            return true;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Takes a member that a starting entry was told of, which others know already and need not be told.
     *
     * @param member the member, not null
     */
    public void seed(Member member) {
        lock.lock();
        try {
            if (apply(member)) {
                pendingTransmits.remove(member.id());
            }
        } finally {
            lock.unlock();
        }
    }

    /**
     * Marks this entry as leaving.
     */
    public void leave() {
        lock.lock();
        try {
            self = self.with(MemberState.LEFT, self.incarnation());
            put(self);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Drops a member that is dead or has left, so that replaced entries do not pile up.
     *
     * @param id the entry, not null
     */
    public void forget(EntryId id) {
        lock.lock();
        try {
            Member known = members.get(id);
            if (known != null && !known.isUsable() && !id.equals(self.id())) {
                members.remove(id);
                pendingTransmits.remove(id);
            }
        } finally {
            lock.unlock();
        }
    }

    /**
     * Takes claims that are to ride along with a datagram, those passed on least often first.
     *
     * @param most how many
     * @return the claims; each is given out a few times the logarithm of the number of members
     */
    public List<Member> takeClaims(int most) {
        lock.lock();
        try {
            if (pendingTransmits.isEmpty()) {
                return List.of();
            }
            List<EntryId> ids = new ArrayList<>(pendingTransmits.keySet());
            ids.sort(Comparator.comparing((EntryId id) -> -pendingTransmits.get(id))
                    .thenComparing(Comparator.naturalOrder()));
            List<Member> claims = new ArrayList<>();
            for (EntryId id : ids.subList(0, Math.min(most, ids.size()))) {
                claims.add(members.get(id));
                pendingTransmits.computeIfPresent(id, (key, left) -> left == 1 ? null : left - 1);
            }
            return claims;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns this entry.
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
     * @return the member, or empty if it is not known
     */
    public Optional<Member> find(EntryId id) {
        return Optional.ofNullable(members.get(id));
    }

    /**
     * Returns all members, dead ones included.
     *
     * @return the members, in no order
     */
    public Collection<Member> all() {
        return List.copyOf(members.values());
    }

    /**
     * Returns the members that may be given work, this entry included unless it is leaving.
     *
     * @return the members in the order of their ids
     */
    public List<Member> usable() {
        return usable;
    }

    private boolean refute(Member claim) {
        boolean contradicts = claim.incarnation() >= self.incarnation() && claim.state() != self.state();
        if (!contradicts || self.state() == MemberState.LEFT) {
            return false;
        }
        self = self.with(MemberState.ALIVE, claim.incarnation() + 1);
        put(self);
        return true;
    }

    private void put(Member member) {
        members.put(member.id(), member);
        int bits = Integer.SIZE - Integer.numberOfLeadingZeros(members.size());
        pendingTransmits.put(member.id(), TRANSMIT_FACTOR * bits);
        usable = members.values().stream()
                .filter(Member::isUsable)
                .sorted(Comparator.comparing(Member::id))
                .toList();
    }
}
