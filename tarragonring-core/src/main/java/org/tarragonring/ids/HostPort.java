package org.tarragonring.ids;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * A network address that consists of a host and a port.
 *
 * @param host the IP address or host name, neither null nor blank
 * @param port the port, 0 to 65535; when listening, 0 lets the system choose a port
 * @since 0.1.0
 */
public record HostPort(String host, int port) {

    private static final int MAX_PORT = 65_535;

    /**
     * Rejects a null or blank host and a port out of range.
     *
     * @throws IllegalArgumentException if the host is null or blank, or the port is out of range
     */
    public HostPort {
        if (host == null || host.isBlank()) {
            throw new IllegalArgumentException("host \"%s\" is null or blank".formatted(host));
        }
        if (port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException("port %d is not between 0 and %d".formatted(port, MAX_PORT));
        }
    }

    /**
     * Parses an address.
     *
     * @param text the host, a colon and the port, such as {@code 127.0.0.1:8080}
     * @return the address, never null
     * @throws IllegalArgumentException if the text is null or not a host and a port
     */
    @JsonCreator
    public static HostPort parse(String text) {
        int colon = text == null ? -1 : text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("\"%s\" is not an address such as 127.0.0.1:8080".formatted(text));
        }
        try {
            return new HostPort(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("\"%s\" is not an address such as 127.0.0.1:8080".formatted(text), e);
        }
    }

    @Override
    @JsonValue
    public String toString() {
        return host + ":" + port;
    }
}
