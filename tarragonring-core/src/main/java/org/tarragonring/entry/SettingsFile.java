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
 * Reads an entry's settings from an INI file.
 *
 * @since 0.1.0
 */
public final class SettingsFile {

    private static final String SECRET = "(set)";

    private final Map<SettingKey, Object> values = new EnumMap<>(SettingKey.class);
    private final Map<SettingKey, String> texts = new EnumMap<>(SettingKey.class);

    private SettingsFile() {}

    /**
     * Reads a file.
     *
     * @param file the file, not null
     * @return the settings
     * @throws ProblemsException naming every unknown key, malformed value and missing value
     * @throws IOException if the file cannot be read
     */
    public static SettingsFile read(Path file) throws IOException {
        SettingsFile settings = new SettingsFile();
        List<Problem> problems = new ArrayList<>();
        String name = file.getFileName().toString();
        for (IniFileReader.IniSection section : IniFileReader.readSections(file, problems)) {
            section.keys().forEach((key, text) -> settings.take(name, section.name(), key, text, problems));
        }
        settings.takeDefaults(name, problems);
        if (problems.isEmpty()) {
            settings.checkTimes(name, problems);
        }
        if (!problems.isEmpty()) {
            throw new ProblemsException(problems);
        }
        return settings;
    }

    /**
     * Makes settings from values given in code.
     *
     * @param given the texts of those that differ from the defaults, not null
     * @return the settings
     * @throws ProblemsException naming every malformed value and missing value
     */
    public static SettingsFile of(Map<SettingKey, String> given) {
        SettingsFile settings = new SettingsFile();
        List<Problem> problems = new ArrayList<>();
        given.forEach((key, text) -> settings.take("", key.section(), key.key(), text, problems));
        settings.takeDefaults("", problems);
        if (!problems.isEmpty()) {
            throw new ProblemsException(problems);
        }
        return settings;
    }

    /**
     * Lists the settings in force, defaults included, as an INI file; keys that are secret are not shown.
     *
     * @return lines
     */
    public List<String> lines() {
        List<String> lines = new ArrayList<>();
        String section = "";
        for (SettingKey key : SettingKey.values()) {
            if (!key.section().equals(section)) {
                section = key.section();
                lines.add("[" + section + "]");
            }
            lines.add(key.key() + " = " + (key == SettingKey.PEER_KEY ? SECRET : texts.get(key)));
        }
        return lines;
    }

    /**
     * Returns one setting's text.
     *
     * @param key the setting, not null
     * @return the text as given, or the default
     */
    public String text(SettingKey key) {
        return texts.get(key);
    }

    /**
     * Returns the settings as a value.
     *
     * @return the settings
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
                time(SettingKey.PLATFORM_TIMEOUT),
                count(SettingKey.EVENT_LOOPS),
                callerLimits(),
                count(SettingKey.CALLS_IN_FLIGHT),
                count(SettingKey.QUEUED_CALLS),
                count(SettingKey.PARALLEL_LOADS),
                count(SettingKey.ADAPTERS_IN_FLIGHT),
                count(SettingKey.ADAPTER_BLOCK),
                time(SettingKey.IDLE_KEEP),
                count(SettingKey.IDLE_TRADE),
                time(SettingKey.MIN_RESIDENCE),
                time(SettingKey.CLAIM_LIFETIME),
                lease(),
                membership(),
                time(SettingKey.SHUTDOWN_LIMIT));
    }

    private CallerLimits callerLimits() {
        return new CallerLimits(
                (int) Math.min(Integer.MAX_VALUE, get(SettingKey.MAX_BODY, Long.class)),
                (int) Math.min(Integer.MAX_VALUE, get(SettingKey.MAX_HEADER, Long.class)),
                count(SettingKey.MAX_CONNECTIONS),
                time(SettingKey.REQUEST_TIMEOUT),
                time(SettingKey.TOKEN_TIMEOUT),
                time(SettingKey.RESOLVE_KEEP));
    }

    private LeaseTiming lease() {
        return new LeaseTiming(
                time(SettingKey.LEASE_DURATION), time(SettingKey.LEASE_RENEWAL), time(SettingKey.ORDER_VALIDITY));
    }

    private MembershipTiming membership() {
        return new MembershipTiming(
                time(SettingKey.PROBE_PERIOD),
                time(SettingKey.PROBE_TIMEOUT),
                time(SettingKey.SUSPICION),
                count(SettingKey.INDIRECT_PROBES));
    }

    private void take(String file, String section, String key, String text, List<Problem> problems) {
        SettingKey setting = SettingKey.find(section, key).orElse(null);
        if (setting == null) {
            problems.add(new Problem(file, section, key, "is not a setting"));
            return;
        }
        try {
            values.put(setting, setting.parse(text));
            texts.put(setting, text.trim());
        } catch (IllegalArgumentException | ArithmeticException e) {
            problems.add(new Problem(file, section, key, e.getMessage()));
        }
    }

    private void takeDefaults(String file, List<Problem> problems) {
        for (SettingKey key : SettingKey.values()) {
            boolean reported = problems.stream()
                    .anyMatch(p -> p.section().equals(key.section()) && p.key().equals(key.key()));
            if (values.containsKey(key) || reported) {
                continue;
            }
            if (key.fallback() == null) {
                problems.add(new Problem(file, key.section(), key.key(), "is missing"));
            } else {
                take(file, key.section(), key.key(), key.fallback(), problems);
            }
        }
    }

    private void checkTimes(String file, List<Problem> problems) {
        try {
            lease();
        } catch (IllegalArgumentException e) {
            problems.add(new Problem(file, "lease", "renewal", e.getMessage()));
        }
        try {
            membership();
        } catch (IllegalArgumentException e) {
            problems.add(new Problem(file, "peer", "probe-timeout", e.getMessage()));
        }
    }

    private <T> T get(SettingKey key, Class<T> type) {
        return type.cast(values.get(key));
    }

    private HostPort address(SettingKey key) {
        return get(key, HostPort.class);
    }

    private Duration time(SettingKey key) {
        return get(key, Duration.class);
    }

    private int count(SettingKey key) {
        return get(key, Integer.class);
    }
}
