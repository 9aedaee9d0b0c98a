package org.tarragonring.gateway.call;

import java.time.Duration;
import java.util.Optional;

import io.vertx.core.MultiMap;
import org.tarragonring.ids.UpstreamId;

/**
 * Knows the headers of calls and answers.
 *
 * @since 0.2.0
 */
public interface CallCodec {

    /**
     * Reads a call's headers.
     *
     * @param headers the headers, not null
     * @return what they say
     * @throws IllegalArgumentException if they are no proper call; the message is for the caller
     */
    CallHead decode(MultiMap headers);

    /**
     * Makes the headers of a request to a replica.
     *
     * @param callerHeaders the call's headers, not null
     * @param replica the replica that must run it, not null
     * @param remaining the time left, not null
     * @param lastEventId the event after which a stream goes on, empty for a first attempt
     * @return new headers
     */
    MultiMap toReplica(MultiMap callerHeaders, UpstreamId replica, Duration remaining, Optional<String> lastEventId);

    /**
     * Reads the head of an answer.
     *
     * @param status the status
     * @param headers the headers, not null
     * @param callId the id of the call that was sent, not null
     * @return what the head says
     */
    AnswerHead decodeAnswer(int status, MultiMap headers, String callId);

    /**
     * Makes the headers of an answer to the caller.
     *
     * @param replicaHeaders the replica's headers, not null
     * @return new headers without those that concern one connection only
     */
    MultiMap toCaller(MultiMap replicaHeaders);

    /**
     * What the head of an answer says.
     *
     * @param belongsToCall whether it answers the call that was sent
     * @param notRun whether the replica did not run the call and never will
     * @param genuine whether the replica vouches for the answer
     */
    record AnswerHead(boolean belongsToCall, boolean notRun, boolean genuine) {}
}
