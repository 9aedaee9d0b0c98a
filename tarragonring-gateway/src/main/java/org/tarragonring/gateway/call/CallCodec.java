package org.tarragonring.gateway.call;

import java.time.Duration;
import java.util.Optional;

import io.vertx.core.MultiMap;

/**
 * Reads and writes the HTTP headers of calls and of their responses.
 *
 * @since 0.2.0
 */
public interface CallCodec {

    /**
     * Parses the headers of a call.
     *
     * @param headers the request headers, not null
     * @return the parsed values, never null
     * @throws IllegalArgumentException if a required header is missing or a value is invalid; the message is sent to
     *     the caller
     */
    CallHead decode(MultiMap headers);

    /**
     * Creates the headers of a request to a replica.
     *
     * @param callerHeaders the headers of the call, not null
     * @param head what this entry adds, not null
     * @return new headers, never null
     */
    MultiMap toReplica(MultiMap callerHeaders, ReplicaRequestHead head);

    /**
     * Parses the status and headers of a replica's response.
     *
     * @param status the HTTP status code
     * @param headers the response headers, not null
     * @param callId the id of the call that was sent, not null
     * @return the parsed values, never null
     */
    ResponseHead decodeResponse(int status, MultiMap headers, String callId);

    /**
     * Creates the headers of the response to the caller.
     *
     * @param replicaHeaders the headers of the replica's response, not null
     * @return new headers without the hop-by-hop headers, never null
     */
    MultiMap toCaller(MultiMap replicaHeaders);

    /**
     * The values parsed from the status and headers of a response.
     *
     * @param belongsToCall whether the response is for the call that was sent
     * @param notRun whether the replica did not run the call and will not run it later
     * @param signed whether the response carries the replica's signature
     * @param leaving whether the replica announces that it is about to shut down
     * @param pause how long the replica, which turns the call away, wants to get nothing from this entry; empty if it does
     *     not tell; not null
     */
    record ResponseHead(
            boolean belongsToCall, boolean notRun, boolean signed, boolean leaving, Optional<Duration> pause) {}
}
