package org.tarragonring.routing;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicInteger;

import org.tarragonring.ids.Hashes;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.UpstreamId;

/**
 * A replica or service instance to which calls can be sent, with the number of calls in flight from this entry.
 *
 * @since 0.1.0
 */
public final class Target {

    private final String name;
    private final UpstreamId upstream;
    private final HostPort address;
    private final String failureDomain;
    private final long nameHash;
    private final AtomicInteger inFlight = new AtomicInteger();

    /**
     * Creates a target without calls in flight.
     *
     * @param name the name of the slot or instance, not null
     * @param upstream the upstream, not null
     * @param address the address on which the upstream listens, not null
     * @param failureDomain the failure domain of the upstream, not null
     */
    public Target(String name, UpstreamId upstream, HostPort address, String failureDomain) {
        this.name = Objects.requireNonNull(name, "name");
        this.upstream = Objects.requireNonNull(upstream, "upstream");
        this.address = Objects.requireNonNull(address, "address");
        this.failureDomain = Objects.requireNonNull(failureDomain, "failureDomain");
        this.nameHash = Hashes.of(name);
    }

    /**
     * Returns the name of the slot or instance.
     *
     * @return the name, never null
     */
    public String name() {
        return name;
    }

    /**
     * Returns the id of the upstream.
     *
     * @return the id, never null
     */
    public UpstreamId upstream() {
        return upstream;
    }

    /**
     * Returns the address on which the upstream listens.
     *
     * @return the address, never null
     */
    public HostPort address() {
        return address;
    }

    /**
     * Returns the upstream's failure domain.
     *
     * @return the failure domain, never null
     */
    public String failureDomain() {
        return failureDomain;
    }

    /**
     * Returns the number of calls from this entry that are in flight on the target.
     *
     * @return the number of calls, 0 or more
     */
    public int inFlight() {
        return inFlight.get();
    }

    /** Increments the number of calls in flight. */
    public void callStarted() {
        inFlight.incrementAndGet();
    }

    /** Decrements the number of calls in flight. */
    public void callEnded() {
        inFlight.decrementAndGet();
    }

    /** Returns the rendezvous hash of a prefix and this target; the target with the highest one is preferred. */
    long affinity(long prefixHash) {
        return Hashes.combine(prefixHash, nameHash);
    }
}
