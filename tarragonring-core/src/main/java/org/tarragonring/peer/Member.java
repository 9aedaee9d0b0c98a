package org.tarragonring.peer;

import java.util.Objects;

import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.HostPort;

/**
 * What is known of an entry.
 *
 * @param id the entry, not null
 * @param incarnation rises when the entry refutes a suspicion or restarts
 * @param state what is thought of it, not null
 * @param peerAddress where other entries reach it, not null
 * @param callerAddress where callers reach it, not null
 * @param failureDomain its failure domain, not null
 * @since 0.1.0
 */
public record Member(
        EntryId id,
        long incarnation,
        MemberState state,
        HostPort peerAddress,
        HostPort callerAddress,
        String failureDomain) {

    /** Checks the arguments. */
    public Member {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(peerAddress, "peerAddress");
        Objects.requireNonNull(callerAddress, "callerAddress");
        Objects.requireNonNull(failureDomain, "failureDomain");
    }

    /**
     * Returns this member in another state.
     *
     * @param newState the state, not null
     * @param newIncarnation the incarnation that the state is claimed of
     * @return a new member
     */
    public Member with(MemberState newState, long newIncarnation) {
        return new Member(id, newIncarnation, newState, peerAddress, callerAddress, failureDomain);
    }

    /**
     * Checks if this claim overrides another about the same entry.
     *
     * @param other the other claim, not null
     * @return true if it is about a later incarnation, or about the same one with a later state
     */
    public boolean overrides(Member other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return state.compareTo(other.state) > 0;
    }

    /**
     * Checks if the entry may be given work.
     *
     * @return true if it is alive or only suspected
     */
    public boolean isUsable() {
        return state == MemberState.ALIVE || state == MemberState.SUSPECT;
    }
}
