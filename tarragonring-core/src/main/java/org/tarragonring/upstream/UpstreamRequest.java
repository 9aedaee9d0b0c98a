package org.tarragonring.upstream;

import java.util.Objects;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import org.tarragonring.ids.CallId;
import org.tarragonring.ids.HostPort;

/**
 * An HTTP request to an upstream.
 *
 * @param address the upstream's address, not null
 * @param method the HTTP method, not null
 * @param path the path and query, not null
 * @param headers the headers without the call id, not null
 * @param body the body, not null
 * @param callId the call's id, which the upstream must return in its response, not null
 * @since 0.1.0
 */
public record UpstreamRequest(
        HostPort address, HttpMethod method, String path, MultiMap headers, Buffer body, CallId callId) {

    /** Rejects a null address and a null call id. */
    public UpstreamRequest {
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(callId, "callId");
    }
}
