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
    /** The entry accepts calls. */
    ENTRY_STARTED(100, Logger.Level.INFO, "entry %s started, listening for callers on %s and for peers on %s"),
    /** The entry began to shut down. */
    ENTRY_SHUTTING_DOWN(101, Logger.Level.INFO, "entry %s is shutting down, %s calls in flight"),
    /** The entry stopped. */
    ENTRY_STOPPED(102, Logger.Level.INFO, "entry %s stopped, %s calls aborted"),
    /** The entry cannot serve until it receives a configuration. */
    ENTRY_NOT_CONFIGURED(103, Logger.Level.WARN, "entry %s has no configuration yet and does not accept calls: %s"),
    /** A lease renewal failed. */
    LEASE_RENEWAL_FAILED(200, Logger.Level.WARN, "renewal of the lease of entry %s failed: %s"),
    /** Another process acquired this entry's lease. */
    LEASE_TAKEN_OVER(201, Logger.Level.ERROR, "lease epoch %2$s of entry %1$s was superseded by epoch %3$s"),
    /** A load order was sent. */
    LOAD_ORDERED(300, Logger.Level.DEBUG, "load of model %s ordered on upstream %s, slot %s, fence %s"),
    /** An unload order was sent. */
    UNLOAD_ORDERED(301, Logger.Level.DEBUG, "unload of model %s ordered on upstream %s, slot %s, fence %s"),
    /** A load completed. */
    LOAD_COMPLETED(302, Logger.Level.INFO, "model %s loaded on upstream %s in %s ms"),
    /** A load failed and was rolled back. */
    LOAD_FAILED(303, Logger.Level.WARN, "load of model %s on upstream %s failed: %s"),
    /** A model was unloaded and its reservation released. */
    UNLOADED(304, Logger.Level.INFO, "model %s unloaded from upstream %s: %s"),
    /** An unload did not complete yet; its reservation remains. */
    UNLOAD_FAILED(305, Logger.Level.WARN, "unload of slot %s from upstream %s did not complete: %s"),
    /** No upstream has free capacity for a model. */
    NO_CAPACITY(306, Logger.Level.WARN, "no upstream has free capacity for model %s"),
    /** A reservation that its holder abandoned, for example by dying, is taken over. */
    RESERVATION_TAKEN_OVER(
            400,
            Logger.Level.INFO,
            "taking over the reservation of slot %s on upstream %s, held by entry %s in state %s"),
    /** An engine has a model loaded for which no reservation is recorded. */
    UNRECORDED_MODEL(
            401, Logger.Level.WARN, "upstream %s has slot %s in use by model %s without a recorded reservation"),
    /** An engine no longer has a model loaded that was recorded as loaded. */
    LOADED_MODEL_MISSING(402, Logger.Level.WARN, "upstream %s no longer has slot %s with model %s loaded"),
    /** An upstream is no longer in the instance list. */
    UPSTREAM_REMOVED(
            403, Logger.Level.INFO, "upstream %s was removed from the instance list, releasing %s reservations"),
    /** A reconciliation failed. */
    RECONCILIATION_FAILED(404, Logger.Level.WARN, "reconciliation of upstream %s failed: %s"),
    /** A member does not respond and is suspected to be dead. */
    MEMBER_SUSPECT(500, Logger.Level.INFO, "entry %s does not respond and is suspected to be dead"),
    /** A member was declared dead. */
    MEMBER_DEAD(501, Logger.Level.WARN, "entry %s was declared dead"),
    /** A new member was discovered. */
    MEMBER_DISCOVERED(502, Logger.Level.INFO, "discovered entry %s at %s"),
    /** A datagram was dropped. */
    DATAGRAM_REJECTED(503, Logger.Level.DEBUG, "dropped datagram from %s: %s"),
    /** A configuration was activated. */
    CONFIG_ACTIVATED(600, Logger.Level.INFO, "activated configuration generation %s, received from %s"),
    /** A configuration could not be fetched. */
    CONFIG_FETCH_FAILED(601, Logger.Level.WARN, "fetching configuration generation %s failed: %s"),
    /** A call was refused. */
    CALL_REFUSED(700, Logger.Level.DEBUG, "call refused, reason %s, verdict %s: %s"),
    /** An upstream was ejected from routing. */
    UPSTREAM_EJECTED(701, Logger.Level.WARN, "upstream %s is ejected from routing for %s ms after %s failures"),
    /** A request was quarantined because several replicas failed while running it. */
    REQUEST_QUARANTINED(
            702,
            Logger.Level.WARN,
            "request %s was quarantined and is refused by all entries after %s replicas failed while running it"),
    /** A stream was resumed on another upstream. */
    STREAM_RESUMED(703, Logger.Level.INFO, "stream resumed on upstream %s after %s tokens"),
    /** Writing claims failed. */
    CLAIM_FAILED(704, Logger.Level.WARN, "writing the claims of bucket %s failed: %s"),
    /** The gateway accepts calls. */
    GATEWAY_STARTED(
            110, Logger.Level.INFO, "entry %s started, listening for callers on %s and for peers on %s, after %s ms"),
    /** The gateway became ready or stopped being ready. */
    GATEWAY_READINESS_CHANGED(111, Logger.Level.INFO, "entry %s ready=%s: %s"),
    /** The gateway began to shut down. */
    GATEWAY_SHUTTING_DOWN(112, Logger.Level.INFO, "entry %s is shutting down, %s calls in flight"),
    /** The gateway stopped. */
    GATEWAY_STOPPED(113, Logger.Level.INFO, "entry %s stopped, %s calls aborted"),
    /** A dependency became reachable or unreachable, or responded with an error. */
    DEPENDENCY_STATE(114, Logger.Level.WARN, "dependency %s reached=%s: %s"),
    /** A replica was registered. */
    REPLICA_LISTED(
            410, Logger.Level.INFO, "replica %s of service %s registered at %s, loaded models %s, local copies %s"),
    /** A replica is about to leave and accepts no new calls. */
    REPLICA_DRAINING(411, Logger.Level.INFO, "replica %s of service %s is draining"),
    /** A replica is no longer registered. */
    REPLICA_REMOVED(412, Logger.Level.INFO, "replica %s is no longer registered"),
    /** The known state of a replica changed. */
    REPLICA_STATE_UPDATED(
            414,
            Logger.Level.INFO,
            "replica %s has loaded %s, is loading %s, has accepted %s orders, according to its %s"),
    /** A stored object is invalid and was ignored. */
    STORED_OBJECT_INVALID(413, Logger.Level.WARN, "ignored object %s: field \"%s\" %s"),
    /** A replica replied to an order. */
    ORDER_REPLIED(420, Logger.Level.INFO, "order %s model=%s adapter=%s replica=%s sequence=%s fence=%s reply=%s"),
    /** The lease to send orders to a group of replicas was acquired, lost or not renewed. */
    ORDER_LEASE(421, Logger.Level.INFO, "order group %s held=%s fence=%s: %s"),
    /** The planner planned a load. */
    LOAD_PLANNED(
            422,
            Logger.Level.INFO,
            "planned load of model %s on replica %s, evicting %s, from %s, reason %s, waiting calls %s"),
    /** A planned load was not started in time because no entry carried it out. */
    LOAD_NOT_STARTED(
            423,
            Logger.Level.WARN,
            "load of model %s on replica %s did not start within %s ms, planning loads on other replicas"),
    /** A serving configuration was activated. */
    SERVING_CONFIG_ACTIVATED(
            610, Logger.Level.INFO, "activated configuration version %s with %s hosts and %s services"),
    /** A call was sent to a replica. */
    CALL_SENT(
            710, Logger.Level.INFO, "attempt %s sent to replica %s, in flight there %s, waited %s ms, remaining %s ms"),
    /** A call waits for a model or adapter to be loaded. */
    CALL_WAITING(
            711, Logger.Level.INFO, "waits for model %s adapter \"%s\", %s calls already waiting, remaining %s ms"),
    /** A call ended. */
    CALL_ENDED(712, Logger.Level.INFO, "ended status=%s outcome=%s after %s ms, attempts %s, replica %s: %s"),
    /** A replica did not run a call or broke off while running it. */
    ATTEMPT_FAILED(713, Logger.Level.INFO, "attempt on replica %s failed, verdict %s: %s"),
    /** An unexpected failure was caught. */
    UNEXPECTED_FAILURE(900, Logger.Level.ERROR, "unexpected failure in %s: %s"),
    /** An invariant was violated. */
    INVARIANT_VIOLATED(901, Logger.Level.ERROR, "invariant violated, operation rejected: %s"),
    /** Log lines were dropped by the rate limit. */
    LINES_DROPPED(902, Logger.Level.WARN, "%s log lines were dropped by the rate limit");

    private static final Logger LOGGER = Logger.getLogger("org.tarragonring");
    private static final String CALL_ID_KEY = "callId";

    private final int number;
    private final Logger.Level level;
    private final String format;

    LogEvent(int number, Logger.Level level, String format) {
        this.number = number;
        this.level = level;
        this.format = format;
    }

    /**
     * Returns the event's code, which starts each of its log messages.
     *
     * @return {@code TRNG} and six digits
     */
    public String code() {
        return "TRNG%06d".formatted(number);
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
     * Logs the event with the ID of a call, both in the message and in the mapped diagnostic context.
     *
     * @param callId the call's ID, not null
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
