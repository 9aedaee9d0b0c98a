package org.tarragonring.peer;

import java.util.Objects;

import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.HostPort;

/**
 * An entry and its state; sent between entries, it is a membership update.
 *
 * @param id the entry, not null
 * @param incarnation a number that the entry increases when it refutes a suspicion or restarts
 * @param state the state of the entry, not null
 * @param peerAddress the address for other entries, not null
 * @param callerAddress the address for callers, not null
 * @param failureDomain the failure domain of the entry, not null
 * @since 0.1.0
 */
public record Member(
        EntryId id,
        long incarnation,
        MemberState state,
        HostPort peerAddress,
        HostPort callerAddress,
        String failureDomain) {

    /** Rejects null components. */
    public Member {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(peerAddress, "peerAddress");
        Objects.requireNonNull(callerAddress, "callerAddress");
        Objects.requireNonNull(failureDomain, "failureDomain");
    }

    /**
     * Returns a copy of this member in another state.
     *
     * @param newState the state, not null
     * @param newIncarnation the incarnation to which the state applies
     * @return a new member, never null
     */
    public Member withState(MemberState newState, long newIncarnation) {
        return new Member(id, newIncarnation, newState, peerAddress, callerAddress, failureDomain);
    }

    /**
     * Checks whether this update overrides another one about the same entry.
     *
     * @param other the other update, not null
     * @return true if this update has a higher incarnation, or the same incarnation and a later state
     */
    public boolean overrides(Member other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return state.compareTo(other.state) > 0;
    }

    /**
     * Checks whether the entry can be given work.
     *
     * @return true if it is alive or suspected
     */
    public boolean isUsable() {
        return state == MemberState.ALIVE || state == MemberState.SUSPECT;
    }
}
