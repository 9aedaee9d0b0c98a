package org.tarragonring.entry;

import java.util.Arrays;
import java.util.Optional;
import java.util.function.Function;

import org.tarragonring.config.ValueParser;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.HostPort;

/**
 * The settings of an entry, each with its section and key in the settings file, its default value and its parser.
 *
 * @since 0.1.0
 */
public enum SettingKey {
    /** The id of the entry. */
    ID("entry", "id", null, EntryId::new),
    /** The failure domain of the entry. */
    FAILURE_DOMAIN("entry", "failure-domain", null, SettingKey::text),
    /** The maximum time for which a shutdown waits for calls in flight. */
    SHUTDOWN_LIMIT("entry", "shutdown-limit", "60s", ValueParser::parseDuration),
    /** The address on which the entry listens for callers. */
    CALLER_ADDRESS("caller", "address", null, HostPort::parse),
    /** The number of event loops that serve callers. */
    EVENT_LOOPS("caller", "event-loops", "2", integerUpTo(256)),
    /** The maximum size of a request body, in bytes. */
    MAX_BODY_BYTES("caller", "max-body", "1MiB", ValueParser::parseBytes),
    /** The maximum total size of a request's headers, in bytes. */
    MAX_HEADER_BYTES("caller", "max-header", "16KiB", ValueParser::parseBytes),
    /** The maximum number of concurrent connections from callers. */
    MAX_CONNECTIONS("caller", "max-connections", "10000", integerUpTo(1_000_000)),
    /** The time within which a complete request must arrive. */
    REQUEST_TIMEOUT("caller", "request-timeout", "30s", ValueParser::parseDuration),
    /** The maximum time without a token in a stream before its upstream is considered failed. */
    TOKEN_TIMEOUT("caller", "token-timeout", "30s", ValueParser::parseDuration),
    /** How long callers may cache the response of {@code /v1/resolve}. */
    RESOLVE_CACHE_TTL("caller", "resolve-keep", "10s", ValueParser::parseDuration),
    /** The number of calls in flight at which the entry is at capacity. */
    MAX_CALLS_IN_FLIGHT("caller", "calls-in-flight", "2000", integerUpTo(1_000_000)),
    /** The maximum number of calls that wait for one model. */
    MAX_QUEUED_CALLS_PER_MODEL("caller", "queued-calls-per-model", "1000", integerUpTo(1_000_000)),
    /** The address on which the entry listens for other entries. */
    PEER_ADDRESS("peer", "address", null, HostPort::parse),
    /** The key with which datagrams between entries are authenticated; the same on all entries. */
    PEER_KEY("peer", "key", null, SettingKey::text),
    /** The interval between two probes. */
    PROBE_PERIOD("peer", "probe-period", "1s", ValueParser::parseDuration),
    /** The time to wait for the acknowledgement of a probe. */
    PROBE_TIMEOUT("peer", "probe-timeout", "300ms", ValueParser::parseDuration),
    /** The time that a suspected entry has to refute the suspicion before it is declared dead. */
    SUSPICION_TIMEOUT("peer", "suspicion", "4s", ValueParser::parseDuration),
    /** The maximum number of other entries that are requested to probe an entry that does not respond. */
    INDIRECT_PROBE_COUNT("peer", "indirect-probes", "3", integerUpTo(100)),
    /** The address on which the entry listens for operators. */
    ADMIN_ADDRESS("admin", "address", "127.0.0.1:0", HostPort::parse),
    /** The address of the platform. */
    PLATFORM_ADDRESS("platform", "address", null, HostPort::parse),
    /** The timeout of requests to the platform. */
    PLATFORM_TIMEOUT("platform", "timeout", "2s", ValueParser::parseDuration),
    /** The time for which a lease is valid. */
    LEASE_DURATION("lease", "duration", "15s", ValueParser::parseDuration),
    /** The time between two renewals of the lease. */
    LEASE_RENEWAL_INTERVAL("lease", "renewal", "5s", ValueParser::parseDuration),
    /** The maximum time from the lease check of an order until the engine accepts or discards it. */
    ORDER_VALIDITY("lease", "order-validity", "3s", ValueParser::parseDuration),
    /** The maximum number of parallel model loads of all entries that the weight store serves at full speed. */
    MAX_PARALLEL_LOADS("weights", "parallel-loads", "4", integerUpTo(10_000)),
    /** The maximum number of parallel adapter loads of all entries that the weight store serves at full speed. */
    MAX_PARALLEL_ADAPTER_LOADS("weights", "adapters-in-flight", "30", integerUpTo(10_000)),
    /** The number of parallel adapter loads for which this entry acquires a permit at once. */
    ADAPTER_BLOCK_SIZE("weights", "adapter-block", "3", integerUpTo(10_000)),
    /** The idle timeout of a model with too few recorded idle periods. */
    INITIAL_IDLE_TIMEOUT("idle", "initial-keep", "10m", ValueParser::parseDuration),
    /** The number of seconds of idle memory that cost as much as one second for which a call waits for a reload. */
    IDLE_SECONDS_PER_LATE_SECOND("idle", "idle-seconds-per-late-second", "60", integerUpTo(1_000_000)),
    /** The time for which a model must have been idle before it may be evicted. */
    MIN_RESIDENCE("idle", "min-residence", "5s", ValueParser::parseDuration),
    /** The time for which claims are kept. */
    CLAIM_LIFETIME("claims", "lifetime", "10m", ValueParser::parseDuration),
    /** The format of log lines. */
    LOG_FORMAT("log", "format", "plain", oneOf("plain", "json")),
    /** The least severe level that is logged. */
    LOG_LEVEL("log", "level", "info", oneOf("error", "warn", "info", "debug"));

    private final String section;
    private final String key;
    private final String defaultValue;
    private final Function<String, ?> parser;

    SettingKey(String section, String key, String defaultValue, Function<String, ?> parser) {
        this.section = section;
        this.key = key;
        this.defaultValue = defaultValue;
        this.parser = parser;
    }

    /**
     * Finds a setting by its section and key.
     *
     * @param section the name of the section, not null
     * @param key the key within the section, not null
     * @return the setting, or empty if there is none
     */
    public static Optional<SettingKey> find(String section, String key) {
        return Arrays.stream(values())
                .filter(setting -> setting.section.equals(section) && setting.key.equals(key))
                .findFirst();
    }

    /**
     * Returns the section of the settings file.
     *
     * @return the name of the section, never null
     */
    public String section() {
        return section;
    }

    /**
     * Returns the key within the section.
     *
     * @return the key, never null
     */
    public String key() {
        return key;
    }

    /**
     * Returns the text that is parsed if the setting is not given.
     *
     * @return the default value, or null if the setting is required
     */
    public String defaultValue() {
        return defaultValue;
    }

    /**
     * Parses a value.
     *
     * @param text the text, not null
     * @return the value, in the type of this setting; never null
     * @throws IllegalArgumentException if the text is not a valid value of this setting
     * @throws ArithmeticException if a size or duration is out of range
     */
    public Object parse(String text) {
        return parser.apply(text);
    }

    private static String text(String value) {
        if (value.isBlank()) {
            throw new IllegalArgumentException("is blank, expected a non-blank text");
        }
        return value.trim();
    }

    private static Function<String, Integer> integerUpTo(int max) {
        return text -> ValueParser.parseInteger(text, 1, max);
    }

    private static Function<String, String> oneOf(String... allowedValues) {
        return text -> {
            if (!Arrays.asList(allowedValues).contains(text.trim())) {
                throw new IllegalArgumentException(
                        "\"%s\" is not one of %s".formatted(text, String.join(", ", allowedValues)));
            }
            return text.trim();
        };
    }
}
