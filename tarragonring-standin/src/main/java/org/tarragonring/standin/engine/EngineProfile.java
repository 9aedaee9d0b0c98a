package org.tarragonring.standin.engine;

import java.time.Duration;
import java.util.Objects;

/**
 * The memory size, order checks and timings of a stand-in engine.
 *
 * @param acceleratorBytes the size of the accelerator's memory, in bytes
 * @param honoursFence whether the engine refuses orders with an outdated fencing token
 * @param memoryLoadTimePerGib the time to load one GiB of a checkpoint from the instance's memory, not null
 * @param diskLoadTimePerGib the time to load one GiB of a checkpoint from the instance's disk, not null
 * @param remoteLoadTimePerGib the time to load one GiB of a checkpoint from the weight store, not null
 * @param adapterLoadTime the time to load an adapter, not null
 * @param timeToFirstToken the time to the first token if the prompt prefix is cached, not null
 * @param prefillTime the additional time to the first token if the prompt prefix is not cached, not null
 * @param tokenInterval the time between two tokens of a stream, which grows with each full batch of calls in flight;
 *     not null
 * @since 0.1.0
 */
public record EngineProfile(
        long acceleratorBytes,
        boolean honoursFence,
        Duration memoryLoadTimePerGib,
        Duration diskLoadTimePerGib,
        Duration remoteLoadTimePerGib,
        Duration adapterLoadTime,
        Duration timeToFirstToken,
        Duration prefillTime,
        Duration tokenInterval) {

    /** Checks the arguments. */
    public EngineProfile {
        Objects.requireNonNull(memoryLoadTimePerGib, "memoryLoadTimePerGib");
        Objects.requireNonNull(diskLoadTimePerGib, "diskLoadTimePerGib");
        Objects.requireNonNull(remoteLoadTimePerGib, "remoteLoadTimePerGib");
        Objects.requireNonNull(adapterLoadTime, "adapterLoadTime");
    }

    /**
     * Returns a profile for quick tests, with load and token times of a few milliseconds.
     *
     * @param acceleratorBytes the size of the accelerator's memory, in bytes
     * @param honoursFence whether the engine refuses orders with an outdated fencing token
     * @return the profile
     */
    public static EngineProfile withShortDelays(long acceleratorBytes, boolean honoursFence) {
        return new EngineProfile(
                acceleratorBytes,
                honoursFence,
                Duration.ofMillis(10),
                Duration.ofMillis(40),
                Duration.ofMillis(100),
                Duration.ofMillis(6),
                Duration.ofMillis(5),
                Duration.ofMillis(10),
                Duration.ofMillis(2));
    }
}
