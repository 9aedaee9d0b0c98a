package org.tarragonring.peer;

/**
 * What is thought of an entry; of two claims about the same incarnation the later constant wins.
 *
 * @since 0.1.0
 */
public enum MemberState {
    /** It answers. */
    ALIVE,
    /** It did not answer and has some time to refute. */
    SUSPECT,
    /** It is taken as dead. */
    DEAD,
    /** It said that it is leaving. */
    LEFT
}
