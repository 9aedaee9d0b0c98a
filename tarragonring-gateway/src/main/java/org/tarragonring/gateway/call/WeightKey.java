package org.tarragonring.gateway.call;

import java.util.Objects;

import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.ServiceName;

/**
 * Identifies the weights that a call needs: a model, or an adapter of a model, of one service.
 *
 * @param service the service whose replicas can hold the weights, not null
 * @param model the model, not null
 * @param adapter the adapter, empty for the base model; not null
 * @since 0.2.0
 */
public record WeightKey(ServiceName service, ModelName model, String adapter) {

    /** Validates the components. */
    public WeightKey {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(adapter, "adapter");
    }
}
