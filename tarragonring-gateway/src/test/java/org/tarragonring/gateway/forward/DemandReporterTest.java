package org.tarragonring.gateway.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.peer.Datagram;
import org.tarragonring.peer.DatagramCodec;
import org.tarragonring.peer.PeerMessage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** A demand report that exceeds a message would be rejected, and the planner would not learn of any demand. */
class DemandReporterTest {

    private static final int REPLICAS = 300;

    @Test
    void reportOfManyModelsOnManyReplicasFitsIntoAMessage() {
        List<PeerMessage.WeightDemand> demands = new ArrayList<>();
        for (int i = 0; i < REPLICAS; i++) {
            demands.add(new PeerMessage.WeightDemand(
                    "returns-assistant",
                    new ModelName("model-" + 1_000_000 + i),
                    Optional.of(new UpstreamId("i-7f3a91c2" + i)),
                    0,
                    i,
                    0,
                    1_000_000));
        }
        PeerMessage.WeightDemand waiting =
                new PeerMessage.WeightDemand("returns-assistant", new ModelName("m1"), Optional.empty(), 5, 0, 1, 300);
        demands.add(waiting);

        List<PeerMessage.WeightDemand> reported = DemandReporter.mostUrgent(demands);

        assertEquals(waiting, reported.get(0));
        Datagram datagram = new Datagram(
                new EntryId("entry-1"),
                new HostPort("10.0.0.1", 9_000),
                1,
                new PeerMessage.DemandReport(reported, List.of()),
                List.of(),
                List.of());
        assertTrue(new DatagramCodec("key").encode(datagram).length <= DatagramCodec.MAX_BYTES);
    }
}
