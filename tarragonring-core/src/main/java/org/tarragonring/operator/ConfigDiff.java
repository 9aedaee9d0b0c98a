package org.tarragonring.operator;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.tarragonring.config.ConfigObject;

/**
 * Compares two sets of objects.
 *
 * @since 0.1.0
 */
public final class ConfigDiff {

    private ConfigDiff() {}

    /**
     * Lists the objects in which two sets differ.
     *
     * @param before the earlier set, not null
     * @param after the later set, not null
     * @return a line for each object in the order of their sections, with {@code +}, {@code -} or {@code ~} before
     *     the section; empty if the sets are alike
     */
    public static List<String> lines(Collection<ConfigObject> before, Collection<ConfigObject> after) {
        Map<String, ConfigObject> old = bySection(before);
        Map<String, ConfigObject> all = new TreeMap<>(old);
        Map<String, ConfigObject> next = bySection(after);
        all.putAll(next);
        List<String> lines = new ArrayList<>();
        for (String section : all.keySet()) {
            if (!old.containsKey(section)) {
                lines.add("+ [" + section + "]");
            } else if (!next.containsKey(section)) {
                lines.add("- [" + section + "]");
            } else if (!old.get(section).equals(next.get(section))) {
                lines.add("~ [" + section + "] " + changedKeys(old.get(section), next.get(section)));
            }
        }
        return lines;
    }

    private static Map<String, ConfigObject> bySection(Collection<ConfigObject> objects) {
        return objects.stream().collect(Collectors.toMap(ConfigObject::section, Function.identity()));
    }

    private static String changedKeys(ConfigObject before, ConfigObject after) {
        Map<String, String> all = new TreeMap<>(before.keys());
        all.putAll(after.keys());
        return all.keySet().stream()
                .filter(key -> !String.valueOf(before.keys().get(key))
                        .equals(String.valueOf(after.keys().get(key))))
                .map(key -> "%s: %s -> %s"
                        .formatted(
                                key,
                                before.keys().getOrDefault(key, "(none)"),
                                after.keys().getOrDefault(key, "(none)")))
                .collect(Collectors.joining("; "));
    }
}
