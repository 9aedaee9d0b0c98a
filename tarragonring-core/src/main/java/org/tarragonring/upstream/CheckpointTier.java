package org.tarragonring.upstream;

/**
 * Says where an engine has a checkpoint, nearest first.
 *
 * @since 0.1.0
 */
public enum CheckpointTier {
    /** In the instance's memory. */
    MEMORY,
    /** On the instance's disk. */
    DISK,
    /** Only in the weight store. */
    REMOTE
}
