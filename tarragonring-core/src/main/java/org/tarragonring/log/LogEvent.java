package org.tarragonring.log;

import org.jboss.logging.Logger;
import org.jboss.logging.MDC;

/**
 * Defines every event that the system logs, with its number, level and message format.
 *
 * <p>{@code docs/LOG-EVENTS.md} lists the events for operators; a test checks that codes and levels agree.
 *
 * @since 0.1.0
 */
public enum LogEvent {
    /** The entry started. */
    ENTRY_STARTED(100, Logger.Level.INFO, "entry %s started, listening for callers on %s and for peers on %s"),
    /** The entry started to shut down. */
    ENTRY_SHUTTING_DOWN(101, Logger.Level.INFO, "entry %s is shutting down, %s calls in flight"),
    /** The entry stopped. */
    ENTRY_STOPPED(102, Logger.Level.INFO, "entry %s stopped, %s calls aborted"),
    /** The entry has no configuration yet and accepts no calls. */
    ENTRY_NOT_CONFIGURED(103, Logger.Level.WARN, "entry %s has no configuration yet and does not accept calls: %s"),
    /** The lease of the entry could not be renewed. */
    LEASE_RENEWAL_FAILED(200, Logger.Level.WARN, "renewal of the lease of entry %s failed: %s"),
    /** Another process acquired the lease of the entry. */
    LEASE_TAKEN_OVER(201, Logger.Level.ERROR, "lease epoch %2$s of entry %1$s was superseded by epoch %3$s"),
    /** A load order is sent to an engine. */
    LOAD_ORDERED(300, Logger.Level.DEBUG, "load of model %s ordered on upstream %s, slot %s, fence %s"),
    /** An unload order is sent to an engine. */
    UNLOAD_ORDERED(301, Logger.Level.DEBUG, "unload of model %s ordered on upstream %s, slot %s, fence %s"),
    /** A model was loaded. */
    LOAD_COMPLETED(302, Logger.Level.INFO, "model %s loaded on upstream %s in %s ms"),
    /** A model could not be loaded; the load is rolled back. */
    LOAD_FAILED(303, Logger.Level.WARN, "load of model %s on upstream %s failed: %s"),
    /** A model was unloaded and its reservation removed. */
    UNLOADED(304, Logger.Level.INFO, "model %s unloaded from upstream %s: %s"),
    /** A model could not be unloaded yet; its reservation remains. */
    UNLOAD_FAILED(305, Logger.Level.WARN, "unload of slot %s from upstream %s did not complete: %s"),
    /** No upstream had free capacity for a model. */
    NO_CAPACITY(306, Logger.Level.WARN, "no upstream has free capacity for model %s"),
    /** A reservation that its holder no longer processes, for example because it failed, is taken over. */
    RESERVATION_TAKEN_OVER(
            400,
            Logger.Level.INFO,
            "taking over the reservation of slot %s on upstream %s, held by entry %s in state %s"),
    /** An engine reported a model for which no reservation is recorded. */
    UNRECORDED_MODEL(
            401, Logger.Level.WARN, "upstream %s reports slot %s with model %s, for which no reservation is recorded"),
    /** An engine no longer reported a model that was recorded as loaded. */
    LOADED_MODEL_MISSING(
            402,
            Logger.Level.WARN,
            "upstream %s no longer reports slot %s with model %s, which was recorded as loaded"),
    /** An upstream was removed from the instance list. */
    UPSTREAM_REMOVED(
            403, Logger.Level.INFO, "upstream %s was removed from the instance list, releasing %s reservations"),
    /** The records of an upstream could not be reconciled with its engine. */
    RECONCILIATION_FAILED(404, Logger.Level.WARN, "reconciliation of upstream %s failed: %s"),
    /** A member did not respond and is suspected to be dead. */
    MEMBER_SUSPECT(500, Logger.Level.INFO, "entry %s does not respond and is suspected to be dead"),
    /** A member was declared dead. */
    MEMBER_DEAD(501, Logger.Level.WARN, "entry %s was declared dead"),
    /** A new member was discovered. */
    MEMBER_DISCOVERED(502, Logger.Level.INFO, "discovered entry %s at %s"),
    /** A received datagram was rejected and dropped. */
    DATAGRAM_REJECTED(503, Logger.Level.DEBUG, "dropped datagram from %s: %s"),
    /** A configuration generation was activated. */
    CONFIG_ACTIVATED(600, Logger.Level.INFO, "activated configuration generation %s, received from %s"),
    /** A configuration generation could not be fetched. */
    CONFIG_FETCH_FAILED(601, Logger.Level.WARN, "fetching configuration generation %s failed: %s"),
    /** A call was refused. */
    CALL_REFUSED(700, Logger.Level.DEBUG, "call refused, reason %s, verdict %s: %s"),
    /** An upstream was ejected, so that it gets no calls for some time. */
    UPSTREAM_EJECTED(701, Logger.Level.WARN, "upstream %s is ejected from routing for %s ms after %s failures"),
    /** A request was quarantined because several replicas failed while running it. */
    REQUEST_QUARANTINED(
            702,
            Logger.Level.WARN,
            "request %s was quarantined and is refused by all entries after %s replicas failed while running it"),
    /** A request, or a part of prompts, during which replicas failed does not make them fail. */
    REQUEST_CLEARED(705, Logger.Level.INFO, "request %s is no longer under suspicion: %s"),
    /** A part of prompts was quarantined because several replicas failed while running requests with it. */
    PROMPT_PART_QUARANTINED(
            707,
            Logger.Level.WARN,
            "prompt part %s, at position %s, was quarantined, and requests with it are refused by all entries, after %s replicas"
                    + " failed while running them"),
    /** A quarantined request runs once, to find out whether it still makes replicas fail. */
    QUARANTINE_TRIAL(706, Logger.Level.INFO, "quarantined request %s is run once after %s replica failures"),
    /** A stream is resumed on another upstream. */
    STREAM_RESUMED(703, Logger.Level.INFO, "stream resumed on upstream %s after %s tokens"),
    /** The claims of a bucket could not be written. */
    CLAIM_FAILED(704, Logger.Level.WARN, "writing the claims of bucket %s failed: %s"),
    /** The gateway started. */
    GATEWAY_STARTED(
            110, Logger.Level.INFO, "entry %s started, listening for callers on %s and for peers on %s, after %s ms"),
    /** The gateway became ready or stopped being ready. */
    GATEWAY_READINESS_CHANGED(111, Logger.Level.INFO, "entry %s ready=%s: %s"),
    /** The gateway started to shut down. */
    GATEWAY_SHUTTING_DOWN(112, Logger.Level.INFO, "entry %s is shutting down, %s calls in flight"),
    /** The gateway stopped. */
    GATEWAY_STOPPED(113, Logger.Level.INFO, "entry %s stopped, %s calls aborted"),
    /** A dependency became reachable or unreachable, or responded with an error. */
    DEPENDENCY_STATE(114, Logger.Level.WARN, "dependency %s reached=%s: %s"),
    /** A replica was registered. */
    REPLICA_LISTED(
            410, Logger.Level.INFO, "replica %s of service %s registered at %s, loaded models %s, local copies %s"),
    /** A replica started to drain and accepts no new calls. */
    REPLICA_DRAINING(411, Logger.Level.INFO, "replica %s of service %s is draining, as told by its %s"),
    /** A replica asked to get no requests for some time. */
    REPLICA_PAUSED(416, Logger.Level.INFO, "replica %s rejected a call and gets none for %s ms"),
    /** The registration of a replica was removed. */
    REPLICA_REMOVED(412, Logger.Level.INFO, "replica %s is no longer registered"),
    /** A replica failed while it ran requests, or did not complete runs shortly before. */
    REPLICA_FAILED(415, Logger.Level.WARN, "replica %s failed while running %s requests of this entry: %s"),
    /** The resident models of a replica changed, or the model that it is loading. */
    REPLICA_STATE_UPDATED(
            414,
            Logger.Level.INFO,
            "replica %s has loaded %s, is loading %s, has accepted %s orders, reported by its %s"),
    /** A stored object was ignored because it is invalid. */
    STORED_OBJECT_INVALID(413, Logger.Level.WARN, "ignored object %s: field \"%s\" %s"),
    /** A value of the configuration is invalid; the rest of the configuration is applied. */
    CONFIG_VALUE_INVALID(417, Logger.Level.WARN, "object %s: ignored field \"%s\", it %s; invalid values: %s"),
    /** A replica replied to an order. */
    ORDER_REPLIED(420, Logger.Level.INFO, "order %s model=%s adapter=%s replica=%s sequence=%s fence=%s reply=%s"),
    /** The order lease of a group of replicas was acquired or lost, or an operation on it failed. */
    ORDER_LEASE(421, Logger.Level.INFO, "order group %s held=%s fence=%s: %s"),
    /** A load was planned. */
    LOAD_PLANNED(
            422,
            Logger.Level.INFO,
            "planned load of model %s on replica %s, evicting %s, from %s, reason %s, waiting calls %s"),
    /** A planned load was not started in time, because no entry executed it. */
    LOAD_NOT_STARTED(
            423,
            Logger.Level.WARN,
            "load of model %s on replica %s did not start within %s ms, planning loads on other replicas"),
    /** The software versions of the replicas were recorded in the store. */
    SERVING_VERSIONS_RECORDED(
            424,
            Logger.Level.INFO,
            "recorded the software versions that may have begun streams: %s, complete=%s, of models %s streams were moved"),
    /** A report of the demand for models was truncated. */
    DEMAND_TRUNCATED(
            425, Logger.Level.WARN, "the planning entry is told of the %s most urgent of %s demands for models"),
    /** A request for a load was rejected because another load is in progress on the replica; its sender was told. */
    LOAD_REQUEST_REJECTED(
            426, Logger.Level.INFO, "rejected load of model %s on replica %s for entry %s, model %s is being loaded"),
    /** A request for a load was dropped because this entry does not hold the order lease or does not know the replica. */
    LOAD_REQUEST_MISDIRECTED(
            427, Logger.Level.INFO, "dropped load of model %s adapter \"%s\" on replica %s for entry %s: %s"),
    /** A load was planned although another replica is loading the model, as that load ends later. */
    LOAD_EXPECTATION_REPLACED(
            428,
            Logger.Level.INFO,
            "planning a second load of model %s on replica %s within %s ms, the load in progress takes %s ms more, waiting"
                    + " calls %s"),
    /** The store came back from an older copy of its data. */
    STORE_ERA_CHANGED(
            430,
            Logger.Level.WARN,
            "the store came back from an older copy: era %s after %s, reading everything anew, all order leases are lost"),
    /** A response of the store was discarded, as the store has come back from an older copy since. */
    STORE_RESPONSE_DISCARDED(
            431, Logger.Level.WARN, "discarded the response to %s \"%s\", of era %s of the store, the newest is %s"),
    /** A record was written again, as the store came back from a copy without it. */
    RECORD_WRITTEN_AGAIN(432, Logger.Level.INFO, "wrote %s again in era %s of the store"),
    /** The record that was read is that of an older copy, and this entry does not know what was recorded since. */
    RECORD_OF_OLDER_COPY(
            436,
            Logger.Level.WARN,
            "%s was written in era %s of the store, which is in era %s now: it is not known what was recorded since"),
    /** A further local checkpoint of a model is fetched, in case a replica or a failure domain is lost. */
    CHECKPOINT_SPREAD(
            429,
            Logger.Level.INFO,
            "fetching another checkpoint of model %s to replica %s from the weight store, %s calls a second"),
    /** A serving configuration was activated. */
    SERVING_CONFIG_ACTIVATED(
            610,
            Logger.Level.INFO,
            "activated configuration version %s with %s hosts and %s services, previous response of the store %s ms ago"),
    /** A call was sent to a replica. */
    CALL_SENT(
            710, Logger.Level.INFO, "attempt %s sent to replica %s, in flight there %s, waited %s ms, remaining %s ms"),
    /** A call started to wait for a model or adapter to be loaded. */
    CALL_WAITING(
            711, Logger.Level.INFO, "waits for model %s adapter \"%s\", %s calls already waiting, remaining %s ms"),
    /** A call ended. */
    CALL_ENDED(712, Logger.Level.INFO, "ended status=%s outcome=%s after %s ms, attempts %s, replica %s: %s"),
    /** A replica did not run a call, or failed while running it. */
    ATTEMPT_FAILED(713, Logger.Level.INFO, "attempt on replica %s failed, request %s, prompt parts %s, verdict %s: %s"),
    /** A request ran on a replica that failed. */
    REQUEST_SUSPECTED(
            714, Logger.Level.INFO, "request %s ran on replica %s when it failed, failures so far %s, reported by %s"),
    /** Requests with a part of prompts ran on a replica that failed. */
    PROMPT_PART_SUSPECTED(
            716,
            Logger.Level.INFO,
            "requests with prompt part %s, at position %s, ran on replica %s when it failed, failures so far %s, reported by %s"),
    /** A call was refused because its request is quarantined. */
    CALL_QUARANTINED(715, Logger.Level.INFO, "request %s is quarantined for %s ms more"),
    /** A call was refused because a part of its prompt is quarantined. */
    CALL_WITH_QUARANTINED_PART(717, Logger.Level.INFO, "prompt part %s, fingerprint %s, is quarantined for %s ms more"),
    /** A slow call was sent to a second replica. */
    CALL_HEDGED(718, Logger.Level.INFO, "sent to replica %s as well, as replica %s has not responded, waited %s ms"),
    /** The entry stopped to serve calls with keys, or serves them again. */
    KEYED_CALLS_SERVED(
            720,
            Logger.Level.WARN,
            "entry %s serves calls with keys=%s, the store confirmed the configuration as of %s ms ago"),
    /** A shortage of capacity for the calls of teams began or ended; logged by the share coordinator. */
    CAPACITY_SHORTAGE(
            727, Logger.Level.INFO, "shortage of capacity=%s, no capacity for %s of about %s calls of teams in %s ms"),
    /** The shares of teams were dropped, as the share coordinator has not repeated them. */
    TEAM_SHARES_EXPIRED(
            728,
            Logger.Level.WARN,
            "no shares of teams from coordinator %s for %s ms during a shortage, all teams count as equal"),
    /** A team uses more than its fair share during a shortage; logged by the share coordinator. */
    TEAM_ABOVE_SHARE(
            729, Logger.Level.INFO, "team %s uses %s times its share, calls beyond the share have a lower urgency"),
    /** A team is over its limit; logged at most once a second and team. */
    TEAM_OVER_LIMIT(
            724, Logger.Level.INFO, "team %s is over its limit, refused %s calls since the previous line of the team"),
    /** The entry that coordinates the quota of a team does not respond; logged at most once a second and team. */
    QUOTA_COORDINATOR_SILENT(
            725,
            Logger.Level.WARN,
            "entry %s, which coordinates the quota of team %s, does not respond, using the reserve of this entry"),
    /** The entry starts or stops to coordinate the quota of a team. */
    QUOTA_COORDINATED(726, Logger.Level.INFO, "entry %s coordinates the quota of team %s=%s, share of the limit %s"),
    /** The replicas of a service were found to differ in speed, so that calls are routed by expected time. */
    REPLICAS_UNEVEN(
            730,
            Logger.Level.INFO,
            "replicas of service %s differ in speed by a factor of %s, routing calls by expected time, replicas %s"),
    /** The replicas of a service no longer differ in speed, so that calls are routed by the calls in flight. */
    REPLICAS_EVEN(
            731,
            Logger.Level.INFO,
            "replicas of service %s no longer differ in speed, factor %s, routing calls by calls in flight, replicas %s"),
    /** An unexpected failure was caught. */
    UNEXPECTED_FAILURE(900, Logger.Level.ERROR, "unexpected failure in %s: %s"),
    /** An invariant was violated. */
    INVARIANT_VIOLATED(901, Logger.Level.ERROR, "invariant violated, operation rejected: %s"),
    /** Log lines were dropped by the rate limit. */
    LINES_DROPPED(902, Logger.Level.WARN, "%s log lines were dropped by the rate limit");

    private static final Logger LOGGER = Logger.getLogger("org.tarragonring");
    private static final String CALL_ID_KEY = "callId";

    private final Logger.Level level;
    private final String format;
    private final String code;

    LogEvent(int number, Logger.Level level, String format) {
        this.level = level;
        this.format = format;
        this.code = "TRNG" + String.valueOf(1_000_000 + number).substring(1);
    }

    /**
     * Returns the event's code, which starts each of its log messages.
     *
     * @return {@code TRNG} and six digits
     */
    public String code() {
        return code;
    }

    /**
     * Returns the event's level.
     *
     * @return the level, never null
     */
    public Logger.Level level() {
        return level;
    }

    /**
     * Logs the event if its level is enabled.
     *
     * @param arguments the values for the placeholders of the message format, in order
     */
    public void log(Object... arguments) {
        if (LOGGER.isEnabled(level)) {
            LOGGER.log(level, code() + ": " + format.formatted(arguments));
        }
    }

    /**
     * Logs the event with the id of a call, both in the message and in the mapped diagnostic context.
     *
     * @param callId the call's id, not null
     * @param arguments the values for the placeholders of the message format, in order
     */
    public void logForCall(String callId, Object... arguments) {
        if (!LOGGER.isEnabled(level)) {
            return;
        }
        MDC.put(CALL_ID_KEY, callId);
        try {
            LOGGER.log(level, code() + ": [" + callId + "] " + format.formatted(arguments));
        } finally {
            MDC.remove(CALL_ID_KEY);
        }
    }
}
