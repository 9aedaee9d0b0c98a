package org.tarragonring.objects;

import java.util.Objects;

import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.UpstreamId;

/**
 * An upstream instance as the platform lists it.
 *
 * @param id its id, not null
 * @param service the plain service it runs, empty for a model engine; not null
 * @param address where it listens, not null
 * @param failureDomain its failure domain, not null
 * @param leaving whether it is to get no new work
 * @since 0.1.0
 */
public record Instance(UpstreamId id, String service, HostPort address, String failureDomain, boolean leaving) {

    /** Checks the arguments. */
    public Instance {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(failureDomain, "failureDomain");
    }

    /**
     * Checks if the instance is a model engine.
     *
     * @return true if it runs no plain service
     */
    public boolean engine() {
        return service.isEmpty();
    }
}
