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
 * Compares two sets of configuration objects.
 *
 * @since 0.1.0
 */
public final class ConfigDiff {

    private ConfigDiff() {}

    /**
     * Lists the differences between two sets of objects.
     *
     * @param before the earlier set, not null
     * @param after the later set, not null
     * @return one line for each object that differs, ordered by section; a line starts with {@code +} for an added,
     *     {@code -} for a removed and {@code ~} for a changed object; empty if the sets are equal
     */
    public static List<String> lines(Collection<ConfigObject> before, Collection<ConfigObject> after) {
        Map<String, ConfigObject> oldObjects = bySection(before);
        Map<String, ConfigObject> allObjects = new TreeMap<>(oldObjects);
        Map<String, ConfigObject> newObjects = bySection(after);
        allObjects.putAll(newObjects);
        List<String> lines = new ArrayList<>();
        for (String section : allObjects.keySet()) {
            if (!oldObjects.containsKey(section)) {
                lines.add("+ [" + section + "]");
            } else if (!newObjects.containsKey(section)) {
                lines.add("- [" + section + "]");
            } else if (!oldObjects.get(section).equals(newObjects.get(section))) {
                lines.add("~ [" + section + "] " + changedKeys(oldObjects.get(section), newObjects.get(section)));
            }
        }
        return lines;
    }

    private static Map<String, ConfigObject> bySection(Collection<ConfigObject> objects) {
        return objects.stream().collect(Collectors.toMap(ConfigObject::section, Function.identity()));
    }

    private static String changedKeys(ConfigObject before, ConfigObject after) {
        Map<String, String> allKeys = new TreeMap<>(before.keys());
        allKeys.putAll(after.keys());
        return allKeys.keySet().stream()
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
