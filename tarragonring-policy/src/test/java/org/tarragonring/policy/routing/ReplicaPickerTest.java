package org.tarragonring.policy.routing;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.policy.replica.ListedReplica;
import org.tarragonring.policy.replica.ListedReplica.Holdings;
import org.tarragonring.policy.replica.ReplicaState;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

class ReplicaPickerTest {

    private static final ModelName MODEL = new ModelName("model");

    private final ReplicaPicker picker = new ReplicaPicker("domain-a", () -> 0);
    private final ReplicaState near = replica("near", "domain-a");
    private final ReplicaState far = replica("far", "domain-b");

    @Test
    void noCandidateGivesNoReplica() {
        assertEquals(Optional.empty(), picker.pick(List.of(), "session"));
    }

    @Test
    void equalLoadGoesToTheOwnDomain() {
        assertEquals(Optional.of(near), picker.pick(List.of(far, near), ""));
    }

    @Test
    void lessLoadGoesBeforeTheOwnDomain() {
        near.callStarted(MODEL);

        assertEquals(Optional.of(far), picker.pick(List.of(far, near), ""));
    }

    @Test
    void sameSessionKeepsToItsReplica() {
        Optional<ReplicaState> first = picker.pick(List.of(far, near), "session-1");
        first.orElseThrow().callStarted(MODEL);

        assertEquals(first, picker.pick(List.of(near, far), "session-1"));
    }

    @Test
    void sessionLeavesAReplicaThatIsMuchBusier() {
        ReplicaState first = picker.pick(List.of(far, near), "session-1").orElseThrow();
        for (int i = 0; i < 10; i++) {
            first.callStarted(MODEL);
        }

        assertNotEquals(first, picker.pick(List.of(far, near), "session-1").orElseThrow());
    }

    private static ReplicaState replica(String id, String domain) {
        ListedReplica listed = new ListedReplica(
                new UpstreamId(id),
                new ServiceName("assistant"),
                new HostPort("10.0.0.1", 8_000),
                domain,
                64,
                false,
                new Holdings(1, 0, Map.of(MODEL, Set.of()), Set.of(), Set.of()));
        return new ReplicaState(listed, () -> 0);
    }
}
