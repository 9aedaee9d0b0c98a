package org.tarragonring.policy.routing;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.ServiceName;
import org.tarragonring.ids.SoftwareVersion;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.policy.replica.ListedReplica;
import org.tarragonring.policy.replica.ListedReplica.Holdings;
import org.tarragonring.policy.replica.ReplicaState;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

class ReplicaPickerTest {

    private static final ModelName MODEL = new ModelName("model");

    private final ReplicaPicker picker = new ReplicaPicker("domain-a", () -> 0);
    private final ReplicaState ownDomainReplica = replica("near", "domain-a");
    private final ReplicaState otherDomainReplica = replica("far", "domain-b");

    @Test
    void returnsNoReplicaWithoutCandidates() {
        assertEquals(Optional.empty(), picker.pick(List.of(), "session"));
    }

    @Test
    void prefersOwnFailureDomainAtEqualLoad() {
        assertEquals(Optional.of(ownDomainReplica), picker.pick(List.of(otherDomainReplica, ownDomainReplica), ""));
    }

    @Test
    void prefersLowerLoadOverOwnFailureDomain() {
        ownDomainReplica.callStarted(MODEL);

        assertEquals(Optional.of(otherDomainReplica), picker.pick(List.of(otherDomainReplica, ownDomainReplica), ""));
    }

    @Test
    void sameAffinityKeySelectsTheSameReplica() {
        Optional<ReplicaState> first = picker.pick(List.of(otherDomainReplica, ownDomainReplica), "session-1");
        first.orElseThrow().callStarted(MODEL);

        assertEquals(first, picker.pick(List.of(ownDomainReplica, otherDomainReplica), "session-1"));
    }

    @Test
    void affinityIsIgnoredForAMuchBusierReplica() {
        ReplicaState first = picker.pick(List.of(otherDomainReplica, ownDomainReplica), "session-1")
                .orElseThrow();
        for (int i = 0; i < 10; i++) {
            first.callStarted(MODEL);
        }

        assertNotEquals(
                first,
                picker.pick(List.of(otherDomainReplica, ownDomainReplica), "session-1")
                        .orElseThrow());
    }

    private static ReplicaState replica(String id, String domain) {
        ListedReplica listed = new ListedReplica(
                new UpstreamId(id),
                new ServiceName("assistant"),
                new HostPort("10.0.0.1", 8_000),
                domain,
                new SoftwareVersion("v1"),
                64,
                false,
                new Holdings(1, 0, Map.of(MODEL, Set.of()), Set.of(), Set.of()));
        return new ReplicaState(listed, () -> 0);
    }
}
