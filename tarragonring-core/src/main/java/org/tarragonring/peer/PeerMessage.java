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
import org.tarragonring.ids.RequestFingerprint;
import org.tarragonring.ids.SlotId;
import org.tarragonring.ids.SoftwareVersion;
import org.tarragonring.ids.StreamId;
import org.tarragonring.ids.TeamName;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.routing.Suspect;

/**
 * A message between entries. All messages are hints: their loss, duplication or reordering only causes delays.
 *
 * @since 0.1.0
 */
public sealed interface PeerMessage {

    /**
     * Checks whether an entry responds.
     *
     * @param sequence the sequence number that identifies the probe, {@link #INTRODUCTION} if the sender has just
     *     started and its receiver should pass on members with the acknowledgement
     */
    record Probe(long sequence) implements PeerMessage {

        /** The sequence number of probes that request an introduction. */
        public static final long INTRODUCTION = 0;
    }

    /**
     * Acknowledges a probe.
     *
     * @param sequence the sequence number of the probe
     */
    record ProbeAck(long sequence) implements PeerMessage {}

    /**
     * Requests an entry to probe another one and to forward the acknowledgement.
     *
     * @param sequence the sequence number to acknowledge
     * @param target the entry to probe, not null
     * @param targetAddress the peer address of the entry to probe, not null
     */
    record IndirectProbe(long sequence, EntryId target, HostPort targetAddress) implements PeerMessage {}

    /**
     * Reports the sender's demand for a model to the model's home entry.
     *
     * @param model the model, not null
     * @param queued the number of calls that wait for a replica
     * @param inFlight the number of calls that run on replicas
     * @param arrivals the number of calls that arrived since the sender's last report
     */
    record Demand(ModelName model, int queued, int inFlight, int arrivals) implements PeerMessage {}

    /**
     * Informs an entry of the replicas of a model.
     *
     * @param model the model, not null
     * @param recordVersion the version of the model's record on which this message is based
     * @param replicas the replicas, not null
     * @param refusal the reason why no replica can be expected, null if one is loaded or being loaded
     * @param retryAfter the time after which a retry makes sense, not null
     */
    record Placement(ModelName model, long recordVersion, List<Replica> replicas, String refusal, Duration retryAfter)
            implements PeerMessage {

        /** Rejects a null retry time and makes an immutable copy of the list. */
        public Placement {
            replicas = List.copyOf(replicas);
            Objects.requireNonNull(retryAfter, "retryAfter");
        }
    }

    /**
     * Requests a part of a blob.
     *
     * @param name the name of the blob, not null
     * @param offset the offset of the first requested byte
     */
    record BlobRequest(String name, int offset) implements PeerMessage {}

    /**
     * Carries a part of a blob.
     *
     * @param name the name of the blob, not null
     * @param offset the offset of the first byte of this part
     * @param totalBytes the size of the whole blob in bytes, 0 if the sender does not have it
     * @param content the bytes of this part, not null
     */
    record BlobPart(String name, int offset, int totalBytes, byte[] content) implements PeerMessage {}

    /**
     * Reports the sender's demand for all models to the planning entry.
     *
     * @param demands the demand for each model, and its use on each replica, not null
     * @param unreachable the replicas that are listed but that the sender cannot use, not null
     * @param timings how long the calls took that have ended since the last report, not null
     */
    record DemandReport(List<WeightDemand> demands, List<UpstreamId> unreachable, List<ReplicaTiming> timings)
            implements PeerMessage {

        /** Makes immutable copies of the lists. */
        public DemandReport {
            demands = List.copyOf(demands);
            unreachable = List.copyOf(unreachable);
            timings = List.copyOf(timings);
        }

        /**
         * Creates a report without timings.
         *
         * @param demands the demand for each model, and its use on each replica, not null
         * @param unreachable the replicas that are listed but that the sender cannot use, not null
         */
        public DemandReport(List<WeightDemand> demands, List<UpstreamId> unreachable) {
            this(demands, unreachable, List.of());
        }
    }

    /**
     * How long calls took at a replica.
     *
     * @param replica the replica, not null
     * @param samples the number of calls
     * @param ratio the mean duration, as a multiple of what is usual at the sender, whatever the load of the replica
     */
    record ReplicaTiming(UpstreamId replica, int samples, double ratio) {}

    /**
     * Tells all entries what the calls of all of them use at replicas.
     *
     * @param loads the load of each replica that has calls or whose speed is known, not null
     */
    record ReplicaLoadDigest(List<ReplicaLoad> loads) implements PeerMessage {

        /** Makes an immutable copy of the list. */
        public ReplicaLoadDigest {
            loads = List.copyOf(loads);
        }
    }

    /**
     * The load of a replica.
     *
     * @param replicaHash a hash of the replica's id
     * @param inFlight the number of calls of all entries that the replica runs
     * @param speedPercent the speed of the replica in percent of the usual one, 0 if it is not known
     */
    record ReplicaLoad(int replicaHash, int inFlight, int speedPercent) {}

    /**
     * Asks the coordinator of a team's quota for tokens, and returns unused ones.
     *
     * @param team the team, not null
     * @param sequence identifies the request; the same in a repeated one
     * @param wantedTokens the number of tokens that the sender needs, 0 or more
     * @param returnedTokens the number of tokens of earlier grants that the sender returns, 0 or more
     */
    record QuotaRequest(TeamName team, long sequence, long wantedTokens, long returnedTokens) implements PeerMessage {}

    /**
     * Answers a {@link QuotaRequest}.
     *
     * @param team the team, not null
     * @param sequence that of the request
     * @param grantedTokens the number of tokens that the receiver may spend, 0 or more
     * @param retryAfterMillis the time until the wanted tokens are available, 0 if they are granted
     */
    record QuotaGrant(TeamName team, long sequence, long grantedTokens, long retryAfterMillis) implements PeerMessage {}

    /**
     * Reports what teams have used at the sender.
     *
     * @param uses the use of each team, not null
     */
    record TeamUseReport(List<TeamUse> uses) implements PeerMessage {

        /** Makes an immutable copy of the list. */
        public TeamUseReport {
            uses = List.copyOf(uses);
        }
    }

    /**
     * What a team has used at one entry since the start of its process. Totals make the loss of a report harmless.
     *
     * @param team the team, not null
     * @param admittedTokens the tokens of all admitted calls
     * @param refusedCalls the number of calls that were refused for want of room
     */
    record TeamUse(TeamName team, long admittedTokens, long refusedCalls) {}

    /**
     * Tells all entries which teams use more than their fair share.
     *
     * @param shortage whether there is too little room for all calls
     * @param aboveShare the teams above their share, each with its use divided by its share; not null
     */
    record TeamShares(boolean shortage, Map<TeamName, Double> aboveShare) implements PeerMessage {

        /** Makes an immutable copy of the map. */
        public TeamShares {
            aboveShare = Map.copyOf(aboveShare);
        }
    }

    /**
     * Requests the holder of a replica's order lease to load a model, or an adapter of it, on the replica.
     *
     * @param replica the replica, not null
     * @param model the model, not null
     * @param adapter the name of the adapter, empty to load only the model; not null
     * @param evict the models to unload first, not null
     */
    record LoadRequest(UpstreamId replica, ModelName model, String adapter, List<ModelName> evict)
            implements PeerMessage {

        /** Makes an immutable copy of the list. */
        public LoadRequest {
            evict = List.copyOf(evict);
        }
    }

    /**
     * Reports the state of a replica as known to the holder of its order lease.
     *
     * @param replica the replica, not null
     * @param bornMillis the start time of the replica's process in Unix milliseconds
     * @param software the version of the software that the process runs, empty if the sender does not know it; not null
     * @param sequence the number of orders that the replica has accepted
     * @param residents the loaded models, each with its loaded adapters, not null
     * @param loading the model that is being loaded, empty if there is none; not null
     * @param loadingMillis the expected remaining duration of the load in milliseconds
     */
    record ReplicaNotice(
            UpstreamId replica,
            long bornMillis,
            Optional<SoftwareVersion> software,
            long sequence,
            Map<ModelName, Set<String>> residents,
            Optional<ModelName> loading,
            long loadingMillis)
            implements PeerMessage {

        /** Makes an immutable copy of the map. */
        public ReplicaNotice {
            residents = Map.copyOf(residents);
        }
    }

    /**
     * Tells that a replica has announced, in a response to the sender, that it is about to shut down.
     *
     * @param replica the replica, not null
     * @param bornMillis the start time of the replica's process in Unix milliseconds
     */
    record ReplicaLeaving(UpstreamId replica, long bornMillis) implements PeerMessage {}

    /**
     * Announces the order groups whose leases the sender holds.
     *
     * @param groups the numbers of the groups, not null
     * @param withoutStore whether the sender cannot reach the store, so that its knowledge of replicas is out of date
     */
    record AuthorityNotice(List<Integer> groups, boolean withoutStore) implements PeerMessage {

        /** Makes an immutable copy of the list. */
        public AuthorityNotice {
            groups = List.copyOf(groups);
        }
    }

    /**
     * Reports requests that ran on a replica when it failed, and requests under suspicion that a replica has answered
     * since.
     *
     * @param runs the runs on failed replicas, not null
     * @param answered what replicas have answered, not null
     */
    record FailureReport(List<FailedRun> runs, List<Answered> answered) implements PeerMessage {

        /** Makes immutable copies of the lists. */
        public FailureReport {
            runs = List.copyOf(runs);
            answered = List.copyOf(answered);
        }
    }

    /**
     * A request, or a part of prompts, that a replica has answered.
     *
     * @param suspect the fingerprint of the request or the part, not null
     * @param agoMillis the time from the response to the sending of the message, in milliseconds
     */
    record Answered(RequestFingerprint suspect, long agoMillis) {}

    /**
     * A run on a replica that failed during the run. Times are durations, as the clocks of entries differ.
     *
     * @param suspect the request or the part of its prompt, not null
     * @param replica the replica, not null
     * @param ranMillis the time from the start of the run to the failure, in milliseconds
     * @param agoMillis the time from the failure to the sending of the message, in milliseconds
     * @param failureId the same in all reports of one failure, 0 if it is not known
     */
    record FailedRun(Suspect suspect, UpstreamId replica, long ranMillis, long agoMillis, long failureId) {}

    /**
     * Tells which version of the replicas' software began streams, and asks for that of others.
     *
     * @param begun the versions by the ids of the calls that got the first events, not null
     * @param asked the ids of calls whose version the sender asks for, not null
     */
    record StreamReport(Map<StreamId, SoftwareVersion> begun, List<StreamId> asked) implements PeerMessage {

        /** Makes immutable copies. */
        public StreamReport {
            begun = Map.copyOf(begun);
            asked = List.copyOf(asked);
        }
    }

    /**
     * An entry's demand for a model, or its use of the model on one replica.
     *
     * @param service the name of the service whose replicas can load the model, not null
     * @param model the model, not null
     * @param replica the replica on which the calls run, empty for waiting and arrived calls; not null
     * @param waiting the number of calls that wait until a replica has loaded the model
     * @param running the number of calls that run on the replica
     * @param arrivals the number of calls that arrived since the sender's last report
     * @param slackMillis without a replica, the time in milliseconds that the most urgent waiting call has left until
     *     its latency objective; with a replica, the expected time in milliseconds until the last running call ends
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
     * @param slot the slot of the model on the upstream, not null
     * @param upstream the upstream, not null
     * @param address the address of the upstream, not null
     * @param loaded whether the model is loaded there
     * @param eta the expected remaining duration of the load, zero if loaded; not null
     */
    record Replica(SlotId slot, UpstreamId upstream, HostPort address, boolean loaded, Duration eta) {}
}
