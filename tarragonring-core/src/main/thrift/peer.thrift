namespace java org.tarragonring.peer.wire

/** What one entry knows of another. */
struct WireMember {
  1: required string entryId
  2: required i64 incarnation
  3: required i32 state
  4: required string peerAddress
  5: required string callerAddress
  6: required string failureDomain
}

/** Something that every entry should know for a while. */
struct WireNotice {
  1: required i32 kind
  2: required string subject
  3: required i64 sequence
  4: required i64 remainingMillis
}

struct WireProbe {
  1: required i64 sequence
}

struct WireProbeAck {
  1: required i64 sequence
}

struct WireIndirectProbe {
  1: required i64 sequence
  2: required string targetId
  3: required string targetAddress
}

struct WireDemand {
  1: required string model
  2: required i32 queued
  3: required i32 inFlight
  4: required i32 arrivals
}

struct WireReplica {
  1: required string slot
  2: required string upstream
  3: required string address
  4: required bool loaded
  5: required i64 etaMillis
}

struct WirePlacement {
  1: required string model
  2: required i64 recordVersion
  3: required list<WireReplica> replicas
  4: optional string refusal
  5: optional i64 retryAfterMillis
}

struct WireBlobRequest {
  1: required string name
  2: required i32 offset
}

struct WireBlobPart {
  1: required string name
  2: required i32 offset
  3: required i32 totalBytes
  4: required binary content
}

/** How much an entry needs a model, or with a replica named, how much it uses it there. */
struct WireWeightDemand {
  1: required string serviceName
  2: required string model
  3: required string replica
  4: required i32 waiting
  5: required i32 running
  6: required i32 arrivals
  7: required i64 slackMillis
}

/** How long calls took at a replica, as a multiple of what is usual at the sender, whatever the load of the replica. */
struct WireReplicaTiming {
  1: required string replica
  2: required i32 samples
  3: required double ratio
}

struct WireDemandReport {
  1: required list<WireWeightDemand> demands
  2: optional list<string> unreachable
  3: optional list<WireReplicaTiming> timings
}

/** The calls of all entries at one replica, which is named by a hash of its id. */
struct WireReplicaLoad {
  1: required i32 replicaHash
  2: required i32 inFlight
  3: required i32 speedPercent
}

struct WireReplicaLoadDigest {
  1: required list<WireReplicaLoad> loads
}

/** Asks the coordinator of a team's quota for tokens, and returns unused ones. */
struct WireQuotaRequest {
  1: required string team
  2: required i64 sequence
  3: required i64 wantedTokens
  4: required i64 returnedTokens
}

struct WireQuotaGrant {
  1: required string team
  2: required i64 sequence
  3: required i64 grantedTokens
  4: required i64 retryAfterMillis
}

/** What the calls of a team used at one entry since its start. */
struct WireTeamUse {
  1: required string team
  2: required i64 admittedTokens
  3: required i64 refusedCalls
}

struct WireTeamUseReport {
  1: required list<WireTeamUse> uses
}

/** By what factor a team uses more than its fair share. */
struct WireTeamExcess {
  1: required string team
  2: required double factor
}

struct WireTeamShares {
  1: required bool shortage
  2: required list<WireTeamExcess> aboveShare
}

/** Asks the entry that holds a replica's order lease to make a model resident. */
struct WireLoadRequest {
  1: required string replica
  2: required string model
  3: required string adapter
  4: required list<string> evict
}

struct WireResident {
  1: required string model
  2: required list<string> adapters
}

/** What the holder of a replica's order lease knows of it. */
struct WireReplicaNotice {
  1: required string replica
  2: required i64 bornMillis
  3: required i64 sequence
  4: required list<WireResident> residents
  5: required string loading
  6: required i64 loadingMillis
  7: optional string softwareVersion
}

/** Tells that a process of a replica has announced in a response that it is about to shut down. */
struct WireReplicaLeaving {
  1: required string replica
  2: required i64 bornMillis
}

/** Names the order groups that the sender holds, and whether it is without the store. */
struct WireAuthorityNotice {
  1: required list<i32> groups
  2: optional bool withoutStore
}

/** A run of a request, or of requests with one part in their prompts, on a replica that failed during the run. */
struct WireFailedRun {
  1: required string request
  2: required string replica
  3: required i64 ranMillis
  4: required i64 agoMillis
  5: optional i32 promptPart
  6: optional i64 failureId
}

/** Names runs on failed replicas, and what a replica has answered, with the time since then in the same order. */
struct WireFailureReport {
  1: required list<WireFailedRun> runs
  2: required list<string> answered
  3: optional list<i64> answeredAgoMillis
}

struct WireBegunStream {
  1: required string callId
  2: required string softwareVersion
}

/** Names streams with the version of the software that began them, and asks for that of others. */
struct WireStreamReport {
  1: required list<WireBegunStream> begun
  2: required list<string> asked
}

union WireBody {
  1: WireProbe probe
  2: WireProbeAck probeAck
  3: WireIndirectProbe indirectProbe
  4: WireDemand demand
  5: WirePlacement placement
  6: WireBlobRequest blobRequest
  7: WireBlobPart blobPart
  8: WireDemandReport demandReport
  9: WireLoadRequest loadRequest
  10: WireReplicaNotice replicaNotice
  11: WireAuthorityNotice authorityNotice
  12: WireFailureReport failureReport
  13: WireStreamReport streamReport
  14: WireReplicaLeaving replicaLeaving
  15: WireReplicaLoadDigest replicaLoadDigest
  16: WireQuotaRequest quotaRequest
  17: WireQuotaGrant quotaGrant
  18: WireTeamUseReport teamUseReport
  19: WireTeamShares teamShares
}

/** One datagram between entries. */
struct WireDatagram {
  1: required i32 protocolVersion
  2: required string fromId
  3: required string fromAddress
  4: required i64 configGeneration
  5: required WireBody body
  6: optional list<WireMember> members
  7: optional list<WireNotice> notices
}
