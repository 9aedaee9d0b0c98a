package org.tarragonring.peer;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.SlotId;
import org.tarragonring.ids.UpstreamId;

/**
 * The messages between entries. All are hints: losing, repeating or reordering them costs time only.
 *
 * @since 0.1.0
 */
public sealed interface PeerMessage {

    /**
     * Asks an entry for a sign of life.
     *
     * @param sequence identifies the probe
     */
    record Probe(long sequence) implements PeerMessage {}

    /**
     * Answers a probe.
     *
     * @param sequence the probe's sequence
     */
    record ProbeAck(long sequence) implements PeerMessage {}

    /**
     * Asks an entry to probe another one and to pass the answer on.
     *
     * @param sequence identifies the probe
     * @param target the entry to probe, not null
     * @param targetAddress where it is reached, not null
     */
    record IndirectProbe(long sequence, EntryId target, HostPort targetAddress) implements PeerMessage {}

    /**
     * Tells a model's home how much the sender needs the model.
     *
     * @param model the model, not null
     * @param queued calls that wait for a replica
     * @param inFlight calls on replicas
     * @param arrivals calls that arrived since the sender's last report
     */
    record Demand(ModelName model, int queued, int inFlight, int arrivals) implements PeerMessage {}

    /**
     * Tells an entry where a model's replicas are.
     *
     * @param model the model, not null
     * @param recordVersion the version of the model's record that the answer reflects
     * @param replicas the replicas, not null
     * @param refusal why no replica is to be expected, null if one is there or on its way
     * @param retryAfter when asking again makes sense, not null
     */
    record Placement(ModelName model, long recordVersion, List<Replica> replicas, String refusal, Duration retryAfter)
            implements PeerMessage {

        /** Copies the list. */
        public Placement {
            replicas = List.copyOf(replicas);
            Objects.requireNonNull(retryAfter, "retryAfter");
        }
    }

    /**
     * Asks for a part of a blob.
     *
     * @param name the blob's name, not null
     * @param offset the first byte wanted
     */
    record BlobRequest(String name, int offset) implements PeerMessage {}

    /**
     * Carries a part of a blob.
     *
     * @param name the blob's name, not null
     * @param offset the position of the first byte
     * @param totalBytes the blob's size, 0 if the sender does not have it
     * @param content the bytes, not null
     */
    record BlobPart(String name, int offset, int totalBytes, byte[] content) implements PeerMessage {}

    /**
     * Tells the planning entry how much the sender needs each model.
     *
     * @param demands one item for each model or adapter in demand, not null
     * @param unreachable the replicas that the sender cannot use though the list names them, not null
     */
    record DemandReport(List<WeightDemand> demands, List<UpstreamId> unreachable) implements PeerMessage {

        /** Copies the lists. */
        public DemandReport {
            demands = List.copyOf(demands);
            unreachable = List.copyOf(unreachable);
        }
    }

    /**
     * Asks the entry that holds a replica's order lease to make a model, or an adapter of it, resident there.
     *
     * @param replica the replica, not null
     * @param model the model, not null
     * @param adapter the adapter, empty for the model itself
     * @param evict the models to unload first, not null
     */
    record LoadRequest(UpstreamId replica, ModelName model, String adapter, List<ModelName> evict)
            implements PeerMessage {

        /** Copies the list. */
        public LoadRequest {
            evict = List.copyOf(evict);
        }
    }

    /**
     * Tells what the holder of a replica's order lease knows of it.
     *
     * @param replica the replica, not null
     * @param bornMillis when the replica's process started, in Unix milliseconds
     * @param sequence the number of orders that the replica has accepted
     * @param residents the models it holds with their adapters, not null
     * @param loading the model that is being loaded, empty if none
     * @param loadingMillis how much longer the load is expected to take
     */
    record ReplicaNotice(
            UpstreamId replica,
            long bornMillis,
            long sequence,
            Map<ModelName, Set<String>> residents,
            Optional<ModelName> loading,
            long loadingMillis)
            implements PeerMessage {

        /** Copies the residents. */
        public ReplicaNotice {
            residents = Map.copyOf(residents);
        }
    }

    /**
     * Names the order groups whose leases the sender holds.
     *
     * @param groups the groups, not null
     * @param withoutStore whether the sender cannot reach the store, so that what it knows of replicas is old
     */
    record AuthorityNotice(List<Integer> groups, boolean withoutStore) implements PeerMessage {

        /** Copies the list. */
        public AuthorityNotice {
            groups = List.copyOf(groups);
        }
    }

    /**
     * How much an entry needs a model, or uses it on one replica.
     *
     * @param service the service whose replicas may hold it, not null
     * @param model the model, not null
     * @param replica the replica that runs calls, empty for calls that wait or arrived
     * @param waiting calls that wait until it is resident somewhere
     * @param running calls that the replica runs
     * @param arrivals calls that arrived since the sender's last report
     * @param slackMillis the time that the most urgent waiting call has left until its objective; with a replica named,
     *     the time that the last of the running calls is expected to take
     */
    record WeightDemand(
            String service,
            ModelName model,
            Optional<UpstreamId> replica,
            int waiting,
            int running,
            int arrivals,
            long slackMillis) {}

    /**
     * A replica of a model.
     *
     * @param slot the placement, not null
     * @param upstream the upstream, not null
     * @param address where the upstream listens, not null
     * @param loaded whether it is loaded
     * @param eta how long the load is expected to take from now, zero if loaded; not null
     */
    record Replica(SlotId slot, UpstreamId upstream, HostPort address, boolean loaded, Duration eta) {}
}
