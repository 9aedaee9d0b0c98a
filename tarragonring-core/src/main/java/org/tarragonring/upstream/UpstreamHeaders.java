package org.tarragonring.upstream;

/**
 * Headers between this system and upstreams.
 *
 * @since 0.1.0
 */
public final class UpstreamHeaders {

    /** The call's id; upstreams send it back. */
    public static final String CALL_ID = "X-Call-Id";

    /** The slot whose replica is meant. */
    public static final String SLOT = "X-Slot";

    /** The adapter to use. */
    public static final String ADAPTER = "X-Adapter";

    /** The call's priority, 0 first. */
    public static final String PRIORITY = "X-Priority";

    /** The number of tokens that were delivered already. */
    public static final String RESUME_FROM = "X-Resume-From";

    /** Whether the request may have run. */
    public static final String VERDICT = "X-Verdict";

    /** The status with which an engine refuses a call for a model or adapter that it does not hold. */
    public static final int STATUS_NOT_LOADED = 404;

    private UpstreamHeaders() {}
}
