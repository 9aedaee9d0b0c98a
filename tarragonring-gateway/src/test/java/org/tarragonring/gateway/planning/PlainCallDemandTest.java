package org.tarragonring.gateway.planning;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.peer.PeerMessage.WeightDemand;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** The planner must not plan loads of a model that stands for calls without one. */
class PlainCallDemandTest {

    @Test
    void plainCallsAreNoDemandForAModel() {
        UpstreamId replica = new UpstreamId("replica-1");
        WeightDemand plain = PlainCallDemand.of(new ServiceName("booking"), replica, 3);
        WeightDemand model = new WeightDemand("assistant", new ModelName("m"), Optional.of(replica), 0, 2, 0, 100);

        assertEquals(3, plain.running());
        assertEquals(Optional.of(replica), plain.replica());
        assertEquals(List.of(model), PlainCallDemand.withoutPlainCalls(List.of(plain, model)));
    }
}
