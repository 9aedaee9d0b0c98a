package org.tarragonring.objects;

import java.util.Objects;

import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.UpstreamId;

/**
 * An upstream instance in the platform's instance list.
 *
 * @param id the instance's id, not null
 * @param service the name of the plain service that the instance runs, empty if it is a model engine; not null
 * @param address the address that accepts its calls, not null
 * @param failureDomain the instance's failure domain, not null
 * @param leaving whether the instance is being removed and must get no new calls or loads
 * @since 0.1.0
 */
public record Instance(UpstreamId id, String service, HostPort address, String failureDomain, boolean leaving) {

    /** Rejects null components. */
    public Instance {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(failureDomain, "failureDomain");
    }

    /**
     * Checks whether the instance is a model engine.
     *
     * @return true if the instance is a model engine, false if it runs a plain service
     */
    public boolean runsModelEngine() {
        return service.isEmpty();
    }
}
