package org.tarragonring.peer;

/**
 * The state of an entry as reported by some entry. Of two updates about the same incarnation, the one with the later
 * constant wins. States are sent as ordinals, so the order of the constants is part of the wire format.
 *
 * @since 0.1.0
 */
public enum MemberState {
    /** The entry acknowledges probes. */
    ALIVE,
    /** The entry did not acknowledge a probe, and may still refute the suspicion. */
    SUSPECT,
    /** The entry did not refute the suspicion in time and was declared dead. */
    DEAD,
    /** The entry announced that it is shutting down. */
    LEFT
}
