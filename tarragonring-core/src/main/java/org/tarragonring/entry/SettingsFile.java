package org.tarragonring.entry;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.tarragonring.caller.CallerLimits;
import org.tarragonring.config.Problem;
import org.tarragonring.config.ProblemsException;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.HostPort;
import org.tarragonring.lease.LeaseTiming;
import org.tarragonring.membership.MembershipTiming;
import org.tarragonring.operator.IniFileReader;

/**
 * The settings of an entry as read from an INI file, completed by the default values.
 *
 * @since 0.1.0
 */
public final class SettingsFile {

    private static final String REDACTED_VALUE = "(set)";

    private final Map<SettingKey, Object> values = new EnumMap<>(SettingKey.class);
    private final Map<SettingKey, String> texts = new EnumMap<>(SettingKey.class);

    private SettingsFile() {}

    /**
     * Reads a settings file.
     *
     * @param file the INI file, not null
     * @return the settings, never null
     * @throws ProblemsException if there are unknown keys, invalid values or missing values, or if the lease or probe
     *     times contradict each other; it lists all problems found
     * @throws IOException if the file cannot be read
     */
    public static SettingsFile read(Path file) throws IOException {
        SettingsFile settings = new SettingsFile();
        List<Problem> problems = new ArrayList<>();
        String fileName = file.getFileName().toString();
        for (IniFileReader.IniSection section : IniFileReader.readSections(file, problems)) {
            section.keys().forEach((key, text) -> settings.parseValue(fileName, section.name(), key, text, problems));
        }
        settings.applyDefaults(fileName, problems);
        if (problems.isEmpty()) {
            settings.checkTimings(fileName, problems);
        }
        if (!problems.isEmpty()) {
            throw new ProblemsException(problems);
        }
        return settings;
    }

    /**
     * Creates settings without a file.
     *
     * @param overrides the texts of the settings that are required or differ from the default, not null
     * @return the settings, never null
     * @throws ProblemsException if there are invalid or missing values; it lists all problems found
     */
    public static SettingsFile of(Map<SettingKey, String> overrides) {
        SettingsFile settings = new SettingsFile();
        List<Problem> problems = new ArrayList<>();
        overrides.forEach((key, text) -> settings.parseValue("", key.section(), key.key(), text, problems));
        settings.applyDefaults("", problems);
        if (!problems.isEmpty()) {
            throw new ProblemsException(problems);
        }
        return settings;
    }

    /**
     * Returns all settings, including defaults, as lines of an INI file. The peer key is a secret and is redacted.
     *
     * @return the lines, never null
     */
    public List<String> toIniLines() {
        List<String> lines = new ArrayList<>();
        String section = "";
        for (SettingKey key : SettingKey.values()) {
            if (!key.section().equals(section)) {
                section = key.section();
                lines.add("[" + section + "]");
            }
            lines.add(key.key() + " = " + (key == SettingKey.PEER_KEY ? REDACTED_VALUE : texts.get(key)));
        }
        return lines;
    }

    /**
     * Returns the text of a setting.
     *
     * @param key the setting, not null
     * @return the given text without surrounding white space, or the default value
     */
    public String text(SettingKey key) {
        return texts.get(key);
    }

    /**
     * Converts the settings to their typed form.
     *
     * @return the typed settings, never null
     * @throws IllegalArgumentException if the lease or probe times contradict each other, which is possible only for
     *     settings from {@link #of}
     */
    public EntrySettings toSettings() {
        return new EntrySettings(
                get(SettingKey.ID, EntryId.class),
                get(SettingKey.FAILURE_DOMAIN, String.class),
                address(SettingKey.CALLER_ADDRESS),
                address(SettingKey.PEER_ADDRESS),
                address(SettingKey.ADMIN_ADDRESS),
                get(SettingKey.PEER_KEY, String.class),
                address(SettingKey.PLATFORM_ADDRESS),
                duration(SettingKey.PLATFORM_TIMEOUT),
                integer(SettingKey.EVENT_LOOPS),
                callerLimits(),
                integer(SettingKey.MAX_CALLS_IN_FLIGHT),
                integer(SettingKey.MAX_QUEUED_CALLS_PER_MODEL),
                integer(SettingKey.MAX_PARALLEL_LOADS),
                integer(SettingKey.MAX_PARALLEL_ADAPTER_LOADS),
                integer(SettingKey.ADAPTER_BLOCK_SIZE),
                duration(SettingKey.INITIAL_IDLE_TIMEOUT),
                integer(SettingKey.IDLE_SECONDS_PER_LATE_SECOND),
                duration(SettingKey.MIN_RESIDENCE),
                duration(SettingKey.CLAIM_LIFETIME),
                leaseTiming(),
                membershipTiming(),
                duration(SettingKey.SHUTDOWN_LIMIT));
    }

    private CallerLimits callerLimits() {
        return new CallerLimits(
                (int) Math.min(Integer.MAX_VALUE, get(SettingKey.MAX_BODY_BYTES, Long.class)),
                (int) Math.min(Integer.MAX_VALUE, get(SettingKey.MAX_HEADER_BYTES, Long.class)),
                integer(SettingKey.MAX_CONNECTIONS),
                duration(SettingKey.REQUEST_TIMEOUT),
                duration(SettingKey.TOKEN_TIMEOUT),
                duration(SettingKey.RESOLVE_CACHE_TTL));
    }

    private LeaseTiming leaseTiming() {
        return new LeaseTiming(
                duration(SettingKey.LEASE_DURATION),
                duration(SettingKey.LEASE_RENEWAL_INTERVAL),
                duration(SettingKey.ORDER_VALIDITY));
    }

    private MembershipTiming membershipTiming() {
        return new MembershipTiming(
                duration(SettingKey.PROBE_PERIOD),
                duration(SettingKey.PROBE_TIMEOUT),
                duration(SettingKey.SUSPICION_TIMEOUT),
                integer(SettingKey.INDIRECT_PROBE_COUNT));
    }

    private void parseValue(String fileName, String section, String key, String text, List<Problem> problems) {
        SettingKey setting = SettingKey.find(section, key).orElse(null);
        if (setting == null) {
            problems.add(new Problem(fileName, section, key, "is not a setting"));
            return;
        }
        try {
            values.put(setting, setting.parse(text));
            texts.put(setting, text.trim());
        } catch (IllegalArgumentException | ArithmeticException e) {
            problems.add(new Problem(fileName, section, key, e.getMessage()));
        }
    }

    private void applyDefaults(String fileName, List<Problem> problems) {
        for (SettingKey key : SettingKey.values()) {
            boolean reported = problems.stream()
                    .anyMatch(problem -> problem.section().equals(key.section())
                            && problem.key().equals(key.key()));
            if (values.containsKey(key) || reported) {
                continue;
            }
            if (key.defaultValue() == null) {
                problems.add(new Problem(fileName, key.section(), key.key(), "is missing"));
            } else {
                parseValue(fileName, key.section(), key.key(), key.defaultValue(), problems);
            }
        }
    }

    private void checkTimings(String fileName, List<Problem> problems) {
        try {
            leaseTiming();
        } catch (IllegalArgumentException e) {
            problems.add(new Problem(fileName, "lease", "renewal", e.getMessage()));
        }
        try {
            membershipTiming();
        } catch (IllegalArgumentException e) {
            problems.add(new Problem(fileName, "peer", "probe-timeout", e.getMessage()));
        }
    }

    private <T> T get(SettingKey key, Class<T> type) {
        return type.cast(values.get(key));
    }

    private HostPort address(SettingKey key) {
        return get(key, HostPort.class);
    }

    private Duration duration(SettingKey key) {
        return get(key, Duration.class);
    }

    private int integer(SettingKey key) {
        return get(key, Integer.class);
    }
}
