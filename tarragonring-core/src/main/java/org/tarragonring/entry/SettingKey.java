package org.tarragonring.entry;

import java.util.Arrays;
import java.util.Optional;
import java.util.function.Function;

import org.tarragonring.config.ValueParser;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.HostPort;

/**
 * Every setting of an entry, with its place in the file, its default and its form.
 *
 * @since 0.1.0
 */
public enum SettingKey {
    /** The entry's id. */
    ID("entry", "id", null, EntryId::new),
    /** The entry's failure domain. */
    FAILURE_DOMAIN("entry", "failure-domain", null, SettingKey::text),
    /** How long a shutdown waits for calls in flight. */
    SHUTDOWN_LIMIT("entry", "shutdown-limit", "60s", ValueParser::parseDuration),
    /** Where the entry listens for callers. */
    CALLER_ADDRESS("caller", "address", null, HostPort::parse),
    /** The threads that serve callers. */
    EVENT_LOOPS("caller", "event-loops", "2", count(256)),
    /** The longest body. */
    MAX_BODY("caller", "max-body", "1MiB", ValueParser::parseBytes),
    /** The most bytes of headers. */
    MAX_HEADER("caller", "max-header", "16KiB", ValueParser::parseBytes),
    /** The most connections at once. */
    MAX_CONNECTIONS("caller", "max-connections", "10000", count(1_000_000)),
    /** How long a request may take to arrive. */
    REQUEST_TIMEOUT("caller", "request-timeout", "30s", ValueParser::parseDuration),
    /** The longest pause within a stream. */
    TOKEN_TIMEOUT("caller", "token-timeout", "30s", ValueParser::parseDuration),
    /** How long callers may keep a resolve answer. */
    RESOLVE_KEEP("caller", "resolve-keep", "10s", ValueParser::parseDuration),
    /** The calls that the entry takes at once. */
    CALLS_IN_FLIGHT("caller", "calls-in-flight", "2000", count(1_000_000)),
    /** The most calls that wait for one model. */
    QUEUED_CALLS("caller", "queued-calls-per-model", "1000", count(1_000_000)),
    /** Where the entry listens for other entries. */
    PEER_ADDRESS("peer", "address", null, HostPort::parse),
    /** The key that all entries share. */
    PEER_KEY("peer", "key", null, SettingKey::text),
    /** The time between two probes. */
    PROBE_PERIOD("peer", "probe-period", "1s", ValueParser::parseDuration),
    /** How long to wait for an answer to a probe. */
    PROBE_TIMEOUT("peer", "probe-timeout", "300ms", ValueParser::parseDuration),
    /** How long a suspected entry has to refute. */
    SUSPICION("peer", "suspicion", "4s", ValueParser::parseDuration),
    /** How many others are asked to probe. */
    INDIRECT_PROBES("peer", "indirect-probes", "3", count(100)),
    /** Where the entry listens for operators. */
    ADMIN_ADDRESS("admin", "address", "127.0.0.1:0", HostPort::parse),
    /** Where the platform listens. */
    PLATFORM_ADDRESS("platform", "address", null, HostPort::parse),
    /** How long to wait for the platform. */
    PLATFORM_TIMEOUT("platform", "timeout", "2s", ValueParser::parseDuration),
    /** How long a lease holds. */
    LEASE_DURATION("lease", "duration", "15s", ValueParser::parseDuration),
    /** The time between renewals. */
    LEASE_RENEWAL("lease", "renewal", "5s", ValueParser::parseDuration),
    /** The longest time that an order is on its way. */
    ORDER_VALIDITY("lease", "order-validity", "3s", ValueParser::parseDuration),
    /** The loads that the weight store allows at full speed. */
    PARALLEL_LOADS("weights", "parallel-loads", "4", count(10_000)),
    /** The adapter loads that the weight store allows at full speed. */
    ADAPTERS_IN_FLIGHT("weights", "adapters-in-flight", "30", count(10_000)),
    /** The adapter loads that this entry takes at once. */
    ADAPTER_BLOCK("weights", "adapter-block", "3", count(10_000)),
    /** How long a model without history stays loaded. */
    IDLE_KEEP("idle", "initial-keep", "10m", ValueParser::parseDuration),
    /** How many seconds of idle memory are as bad as one second that a call waits. */
    IDLE_TRADE("idle", "idle-seconds-per-late-second", "60", count(1_000_000)),
    /** How long a model must have been idle before it may be evicted. */
    MIN_RESIDENCE("idle", "min-residence", "5s", ValueParser::parseDuration),
    /** How long claims are remembered. */
    CLAIM_LIFETIME("claims", "lifetime", "10m", ValueParser::parseDuration),
    /** The form of log lines. */
    LOG_FORMAT("log", "format", "plain", oneOf("plain", "json")),
    /** The lowest level that is logged. */
    LOG_LEVEL("log", "level", "info", oneOf("error", "warn", "info", "debug"));

    private final String section;
    private final String key;
    private final String fallback;
    private final Function<String, ?> parser;

    SettingKey(String section, String key, String fallback, Function<String, ?> parser) {
        this.section = section;
        this.key = key;
        this.fallback = fallback;
        this.parser = parser;
    }

    /**
     * Finds a setting by its place.
     *
     * @param section the section, not null
     * @param key the key, not null
     * @return the setting, or empty if there is none
     */
    public static Optional<SettingKey> find(String section, String key) {
        return Arrays.stream(values())
                .filter(s -> s.section.equals(section) && s.key.equals(key))
                .findFirst();
    }

    /**
     * Returns the section.
     *
     * @return the section's name
     */
    public String section() {
        return section;
    }

    /**
     * Returns the key within the section.
     *
     * @return the key
     */
    public String key() {
        return key;
    }

    /**
     * Returns the default.
     *
     * @return the default, null if the setting must be given
     */
    public String fallback() {
        return fallback;
    }

    /**
     * Reads a value.
     *
     * @param text the text, not null
     * @return the value
     * @throws IllegalArgumentException if the text has another form
     */
    public Object parse(String text) {
        return parser.apply(text);
    }

    private static String text(String value) {
        if (value.isBlank()) {
            throw new IllegalArgumentException("is empty");
        }
        return value.trim();
    }

    private static Function<String, Integer> count(int most) {
        return text -> ValueParser.parseInteger(text, 1, most);
    }

    private static Function<String, String> oneOf(String... values) {
        return text -> {
            if (!Arrays.asList(values).contains(text.trim())) {
                throw new IllegalArgumentException("\"%s\" is none of %s".formatted(text, String.join(", ", values)));
            }
            return text.trim();
        };
    }
}
