package org.tarragonring.upstream;

/**
 * Storage from which an engine can load a model's checkpoint, fastest first.
 *
 * @since 0.1.0
 */
public enum CheckpointTier {
    /** In the instance's memory. */
    MEMORY,
    /** On the instance's disk. */
    DISK,
    /** In the weight store only; the instance has no copy. */
    REMOTE
}
