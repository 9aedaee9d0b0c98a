package org.tarragonring.gateway.call;

import java.util.Objects;

import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.ServiceName;

/**
 * The weights that a call needs.
 *
 * @param service the service whose replicas may hold them, not null
 * @param model the model, not null
 * @param adapter the adapter, empty for the model itself; not null
 * @since 0.2.0
 */
public record WeightKey(ServiceName service, ModelName model, String adapter) {

    /** Checks the arguments. */
    public WeightKey {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(adapter, "adapter");
    }
}
