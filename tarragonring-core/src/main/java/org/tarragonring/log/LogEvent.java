package org.tarragonring.log;

import org.jboss.logging.Logger;
import org.jboss.logging.MDC;

/**
 * Every event that the system logs, each with its number, level and text.
 *
 * <p>{@code docs/LOG-EVENTS.md} lists them for operators; a test holds both together.
 *
 * @since 0.1.0
 */
public enum LogEvent {
    /** The entry serves. */
    ENTRY_STARTED(100, Logger.Level.INFO, "entry %s serves callers on %s and peers on %s"),
    /** The entry began its shutdown. */
    ENTRY_LEAVING(101, Logger.Level.INFO, "entry %s is leaving, %s calls in flight"),
    /** The entry ended. */
    ENTRY_STOPPED(102, Logger.Level.INFO, "entry %s stopped, %s calls cut off"),
    /** The entry waits for a configuration. */
    ENTRY_WAITS(103, Logger.Level.WARN, "entry %s has no configuration yet and does not serve: %s"),
    /** A lease could not be renewed. */
    LEASE_RENEWAL_FAILED(200, Logger.Level.WARN, "lease of entry %s was not renewed: %s"),
    /** Another process took this entry's lease. */
    LEASE_TAKEN_OVER(201, Logger.Level.ERROR, "lease epoch %2$s of entry %1$s was taken over by epoch %3$s"),
    /** A load order was sent. */
    LOAD_ORDERED(300, Logger.Level.DEBUG, "load of model %s ordered on upstream %s, slot %s, fence %s"),
    /** An unload order was sent. */
    UNLOAD_ORDERED(301, Logger.Level.DEBUG, "unload of model %s ordered on upstream %s, slot %s, fence %s"),
    /** A load is complete. */
    LOAD_COMPLETED(302, Logger.Level.INFO, "model %s loaded on upstream %s in %s ms"),
    /** A load failed and is undone. */
    LOAD_FAILED(303, Logger.Level.WARN, "load of model %s on upstream %s failed: %s"),
    /** A placement was freed. */
    UNLOADED(304, Logger.Level.INFO, "model %s unloaded from upstream %s: %s"),
    /** A placement could not be freed yet. */
    UNLOAD_FAILED(305, Logger.Level.WARN, "unload of slot %s from upstream %s is not complete: %s"),
    /** No upstream has room. */
    NO_ROOM(306, Logger.Level.WARN, "no upstream has room for model %s"),
    /** A dead entry's placement is taken over. */
    TAKEN_OVER(400, Logger.Level.INFO, "slot %s on upstream %s left by entry %s in state %s is taken over"),
    /** An engine holds something that no record names. */
    UNKNOWN_RESIDENT(401, Logger.Level.WARN, "upstream %s holds slot %s of model %s that no record names"),
    /** A loaded model vanished from its engine. */
    RESIDENT_VANISHED(402, Logger.Level.WARN, "upstream %s no longer holds slot %s of model %s"),
    /** An upstream left the instance list. */
    UPSTREAM_GONE(403, Logger.Level.INFO, "upstream %s left the instance list, %s reservations end"),
    /** A reconciliation failed. */
    RECONCILE_FAILED(404, Logger.Level.WARN, "reconciliation of upstream %s failed: %s"),
    /** A member is no longer reached. */
    MEMBER_SUSPECT(500, Logger.Level.INFO, "entry %s does not answer and is suspected"),
    /** A member is taken as dead. */
    MEMBER_DEAD(501, Logger.Level.WARN, "entry %s is taken as dead"),
    /** A member came up. */
    MEMBER_ALIVE(502, Logger.Level.INFO, "entry %s at %s is a member"),
    /** A datagram was dropped. */
    DATAGRAM_REJECTED(503, Logger.Level.DEBUG, "datagram from %s was dropped: %s"),
    /** A configuration came into force. */
    CONFIG_ADOPTED(600, Logger.Level.INFO, "configuration generation %s is in force, learned from %s"),
    /** A configuration could not be fetched. */
    CONFIG_FETCH_FAILED(601, Logger.Level.WARN, "configuration generation %s could not be fetched: %s"),
    /** A call was refused. */
    CALL_REFUSED(700, Logger.Level.DEBUG, "call refused, %s, verdict %s: %s"),
    /** An upstream is ejected. */
    UPSTREAM_EJECTED(701, Logger.Level.WARN, "upstream %s gets no calls for %s ms after %s failures"),
    /** A request is quarantined. */
    REQUEST_QUARANTINED(702, Logger.Level.WARN, "request %s broke %s upstreams and is refused everywhere"),
    /** A stream is resumed on another upstream. */
    STREAM_RESUMED(703, Logger.Level.INFO, "stream resumed on upstream %s after %s tokens"),
    /** A claim could not be written. */
    CLAIM_FAILED(704, Logger.Level.WARN, "claims of bucket %s were not written: %s"),
    /** The gateway serves callers. */
    GATEWAY_STARTED(110, Logger.Level.INFO, "entry %s serves callers on %s and peers on %s after %s ms"),
    /** The gateway is ready or no longer ready. */
    GATEWAY_READINESS(111, Logger.Level.INFO, "entry %s ready=%s: %s"),
    /** The gateway began its shutdown. */
    GATEWAY_LEAVING(112, Logger.Level.INFO, "entry %s is leaving, %s calls in flight"),
    /** The gateway ended. */
    GATEWAY_STOPPED(113, Logger.Level.INFO, "entry %s stopped, %s calls cut off"),
    /** A dependency is reached again or no longer reached. */
    DEPENDENCY_STATE(114, Logger.Level.WARN, "dependency %s reached=%s: %s"),
    /** A replica appeared in the list. */
    REPLICA_LISTED(410, Logger.Level.INFO, "replica %s of service %s listed at %s, holds %s, copies %s"),
    /** A replica is leaving. */
    REPLICA_DRAINING(411, Logger.Level.INFO, "replica %s of service %s is draining"),
    /** A replica is gone from the list. */
    REPLICA_GONE(412, Logger.Level.INFO, "replica %s is gone from the list"),
    /** What is believed of a replica changed. */
    REPLICA_BELIEF(414, Logger.Level.INFO, "replica %s holds %s, loads %s, orders %s, by its %s"),
    /** An entry of the list could not be used. */
    LIST_ENTRY_INVALID(413, Logger.Level.WARN, "object %s is ignored: field \"%s\" %s"),
    /** An order got its reply. */
    ORDER_REPLIED(420, Logger.Level.INFO, "order %s model=%s adapter=%s replica=%s sequence=%s fence=%s reply=%s"),
    /** The right to order a group of replicas changed hands. */
    ORDER_LEASE(421, Logger.Level.INFO, "order group %s held=%s fence=%s: %s"),
    /** The planner decided a load. */
    LOAD_PLANNED(422, Logger.Level.INFO, "load of %s planned on %s, evicting %s, from %s, because %s, waiting %s"),
    /** Nobody carried out a load that was decided. */
    LOAD_NOT_STARTED(423, Logger.Level.WARN, "load of %s on %s was not started within %s ms, loads go elsewhere"),
    /** A configuration came into force. */
    SERVING_CONFIG(610, Logger.Level.INFO, "configuration version %s is in force, %s hosts, %s services"),
    /** A call was sent to a replica. */
    CALL_SENT(710, Logger.Level.INFO, "attempt %s sent to replica %s, in flight there %s, waited %s ms, left %s ms"),
    /** A call waits for weights. */
    CALL_WAITS(711, Logger.Level.INFO, "waits for model %s adapter \"%s\", %s already wait, left %s ms"),
    /** A call ended. */
    CALL_ENDED(712, Logger.Level.INFO, "ended status=%s outcome=%s after %s ms, attempts %s, replica %s: %s"),
    /** A replica did not run a call or broke it off. */
    ATTEMPT_FAILED(713, Logger.Level.INFO, "attempt on replica %s failed, verdict %s: %s"),
    /** An unexpected failure was caught. */
    UNEXPECTED(900, Logger.Level.ERROR, "unexpected failure in %s: %s"),
    /** An invariant does not hold. */
    INVARIANT_BROKEN(901, Logger.Level.ERROR, "invariant broken, step refused: %s"),
    /** Lines were left out to bound the volume. */
    LINES_LEFT_OUT(902, Logger.Level.WARN, "%s lines were left out");

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
     * Returns the event's code as it starts each of its log lines.
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
     * Logs the event.
     *
     * @param arguments the values that the event's text names, in order
     */
    public void log(Object... arguments) {
        if (LOGGER.isEnabled(level)) {
            LOGGER.log(level, code() + ": " + format.formatted(arguments));
        }
    }

    /**
     * Logs the event as part of a call.
     *
     * @param callId the call's id, not null
     * @param arguments the values that the event's text names, in order
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
