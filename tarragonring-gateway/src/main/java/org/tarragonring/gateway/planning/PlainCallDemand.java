package org.tarragonring.gateway.planning;

import java.util.List;
import java.util.Optional;

import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.peer.PeerMessage.WeightDemand;

/**
 * The running calls of plain services in demand reports, which name a model with each demand. A reserved name stands for
 * calls that need none.
 *
 * @since 0.2.0
 */
public final class PlainCallDemand {

    private static final ModelName NO_MODEL = new ModelName("0:no-model");

    private PlainCallDemand() {}

    /**
     * Creates the demand for the calls of a replica that need no model.
     *
     * @param service the service of the replica, not null
     * @param replica the replica, not null
     * @param running the number of calls in flight
     * @return the demand
     */
    public static WeightDemand of(ServiceName service, UpstreamId replica, int running) {
        return new WeightDemand(service.value(), NO_MODEL, Optional.of(replica), 0, running, 0, 0);
    }

    /**
     * Returns the demands for models.
     *
     * @param demands the demands of a report, not null
     * @return those that name a model
     */
    public static List<WeightDemand> withoutPlainCalls(List<WeightDemand> demands) {
        return demands.stream()
                .filter(demand -> !demand.model().equals(NO_MODEL))
                .toList();
    }
}
