package org.tarragonring.upstream;

/**
 * Defines the HTTP headers exchanged with upstreams.
 *
 * @since 0.1.0
 */
public final class UpstreamHeaders {

    /** The call's id, which the upstream returns in its response. */
    public static final String CALL_ID = "X-Call-Id";

    /** The slot of the replica that is to run the call. */
    public static final String SLOT = "X-Slot";

    /** The name of the adapter to use. */
    public static final String ADAPTER = "X-Adapter";

    /** The call's priority from 0 (highest) to 9 (lowest). */
    public static final String PRIORITY = "X-Priority";

    /** The number of tokens already delivered to the caller; the upstream continues after them. */
    public static final String RESUME_FROM = "X-Resume-From";

    /** Whether the upstream ran the request; see {@link org.tarragonring.errors.Verdict}. */
    public static final String VERDICT = "X-Verdict";

    /** The HTTP status with which an engine refuses a call of a model or adapter that is not loaded. */
    public static final int STATUS_NOT_LOADED = 404;

    private UpstreamHeaders() {}
}
