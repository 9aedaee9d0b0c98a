package org.tarragonring.standin.engine;

import java.time.Duration;
import java.util.Objects;

/**
 * How a stand-in engine behaves.
 *
 * @param acceleratorBytes the accelerator's memory
 * @param honoursFence whether orders with an old fencing number are refused
 * @param memoryLoadPerGib the load time from memory, not null
 * @param diskLoadPerGib the load time from disk, not null
 * @param remoteLoadPerGib the load time from the weight store, not null
 * @param adapterLoad the load time of an adapter, not null
 * @param firstToken the time to the first token with a cached prefix, not null
 * @param prefill the time that a prefix takes that is not cached, not null
 * @param tokenInterval the time between tokens, not null
 * @since 0.1.0
 */
public record EngineProfile(
        long acceleratorBytes,
        boolean honoursFence,
        Duration memoryLoadPerGib,
        Duration diskLoadPerGib,
        Duration remoteLoadPerGib,
        Duration adapterLoad,
        Duration firstToken,
        Duration prefill,
        Duration tokenInterval) {

    /** Checks the arguments. */
    public EngineProfile {
        Objects.requireNonNull(memoryLoadPerGib, "memoryLoadPerGib");
        Objects.requireNonNull(diskLoadPerGib, "diskLoadPerGib");
        Objects.requireNonNull(remoteLoadPerGib, "remoteLoadPerGib");
        Objects.requireNonNull(adapterLoad, "adapterLoad");
    }

    /**
     * Returns a profile for quick tests.
     *
     * @param acceleratorBytes the accelerator's memory
     * @param honoursFence whether old fencing numbers are refused
     * @return the profile
     */
    public static EngineProfile quick(long acceleratorBytes, boolean honoursFence) {
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
