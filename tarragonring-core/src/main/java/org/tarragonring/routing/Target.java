package org.tarragonring.routing;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicInteger;

import org.tarragonring.ids.Hashes;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.UpstreamId;

/**
 * A replica or instance that calls can be sent to, with this entry's own count of calls in flight.
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
     * Creates a target without calls.
     *
     * @param name the slot's or instance's name, not null
     * @param upstream the upstream, not null
     * @param address where it listens, not null
     * @param failureDomain its failure domain, not null
     */
    public Target(String name, UpstreamId upstream, HostPort address, String failureDomain) {
        this.name = Objects.requireNonNull(name, "name");
        this.upstream = Objects.requireNonNull(upstream, "upstream");
        this.address = Objects.requireNonNull(address, "address");
        this.failureDomain = Objects.requireNonNull(failureDomain, "failureDomain");
        this.nameHash = Hashes.of(name);
    }

    /**
     * Returns the slot's or instance's name.
     *
     * @return the name, never null
     */
    public String name() {
        return name;
    }

    /**
     * Returns the upstream.
     *
     * @return its id, never null
     */
    public UpstreamId upstream() {
        return upstream;
    }

    /**
     * Returns where the upstream listens.
     *
     * @return the address, never null
     */
    public HostPort address() {
        return address;
    }

    /**
     * Returns the upstream's failure domain.
     *
     * @return the domain, never null
     */
    public String failureDomain() {
        return failureDomain;
    }

    /**
     * Returns this entry's calls in flight on the target.
     *
     * @return 0 or more
     */
    public int inFlight() {
        return inFlight.get();
    }

    /** Counts a call that is sent. */
    public void begin() {
        inFlight.incrementAndGet();
    }

    /** Counts a call that ended. */
    public void end() {
        inFlight.decrementAndGet();
    }

    long affinity(long prefixHash) {
        return Hashes.combine(prefixHash, nameHash);
    }
}
