package org.tarragonring.upstream;

import java.util.Locale;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpHeaders;

/**
 * Reads the types of bodies from HTTP headers.
 *
 * @since 0.2.0
 */
public final class MediaTypes {

    /** The type of server-sent events. */
    public static final String EVENT_STREAM = "text/event-stream";

    private MediaTypes() {}

    /**
     * Returns the type of a body.
     *
     * @param headers the headers of the message, not null
     * @return the type in lower case, without its parameters; empty if the headers name none
     */
    public static String of(MultiMap headers) {
        String type = headers.get(HttpHeaders.CONTENT_TYPE);
        return type == null ? "" : type.split(";", 2)[0].trim().toLowerCase(Locale.ROOT);
    }
}
