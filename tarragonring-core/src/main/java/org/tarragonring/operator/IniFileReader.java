package org.tarragonring.operator;

import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.tarragonring.config.ConfigChecker.SourcedObject;
import org.tarragonring.config.ConfigObject;
import org.tarragonring.config.ObjectKind;
import org.tarragonring.config.Problem;
import org.tarragonring.config.ProblemsException;

/**
 * Reads object files and settings files in INI format.
 *
 * @since 0.1.0
 */
public final class IniFileReader {

    private static final String FILE_SUFFIX = ".ini";

    private IniFileReader() {}

    /**
     * Reads the configuration objects of all object files in a folder.
     *
     * @param folder the folder, not null
     * @return the objects and the files that define them
     * @throws ProblemsException if a file or section is malformed or there is no object file; contains all problems
     * @throws IOException if the folder or a file cannot be read
     */
    public static List<SourcedObject> readObjects(Path folder) throws IOException {
        List<Problem> problems = new ArrayList<>();
        List<SourcedObject> objects = new ArrayList<>();
        List<Path> files;
        try (Stream<Path> listed = Files.list(folder)) {
            files = listed.filter(f -> f.getFileName().toString().endsWith(FILE_SUFFIX))
                    .sorted()
                    .toList();
        }
        if (files.isEmpty()) {
            problems.add(new Problem(folder.toString(), "", "", "contains no file with the extension " + FILE_SUFFIX));
        }
        for (Path file : files) {
            String name = file.getFileName().toString();
            for (IniSection section : readSections(file, problems)) {
                parseObject(name, section, problems).forEach(objects::add);
            }
        }
        if (!problems.isEmpty()) {
            throw new ProblemsException(problems);
        }
        return objects;
    }

    /**
     * Reads the sections of a file.
     *
     * @param file the file, not null
     * @param problems the collection to which the problems of the file are added, not null
     * @return the sections, empty if the file is not a valid INI file
     * @throws IOException if the file cannot be read
     */
    public static List<IniSection> readSections(Path file, Collection<Problem> problems) throws IOException {
        String name = file.getFileName().toString();
        reportDuplicates(file, name, problems);
        INIConfiguration ini = new INIConfiguration();
        ini.setCommentLeadingCharsUsedInInput("#;");
        ini.setSeparatorUsedInInput("=");
        try (Reader reader = Files.newBufferedReader(file)) {
            ini.read(reader);
        } catch (ConfigurationException e) {
            problems.add(new Problem(name, "", "", "is not a valid INI file: " + e.getMessage()));
            return List.of();
        }
        List<IniSection> sections = new ArrayList<>();
        for (String sectionName : ini.getSections()) {
            SubnodeConfiguration section = ini.getSection(sectionName);
            Map<String, String> keys = new HashMap<>();
            for (Iterator<String> it = section.getKeys(); it.hasNext(); ) {
                String key = it.next();
                // The library escapes a dot in a key by doubling it.
                keys.put(key.replace("..", "."), section.getString(key));
            }
            if (sectionName == null) {
                keys.keySet()
                        .forEach(key -> problems.add(new Problem(
                                name,
                                "",
                                key,
                                "is outside any section; expected a section header before the first key")));
            } else {
                sections.add(new IniSection(sectionName.trim(), keys));
            }
        }
        return sections;
    }

    private static Stream<SourcedObject> parseObject(String file, IniSection section, List<Problem> problems) {
        String[] words = section.name().split("\\s+", 2);
        if (words.length != 2) {
            problems.add(new Problem(
                    file,
                    section.name(),
                    "",
                    "is not a valid section name; expected a kind and a name, such as [model NAME]"));
            return Stream.empty();
        }
        return ObjectKind.fromKeyword(words[0])
                .map(kind -> Stream.of(new SourcedObject(file, new ConfigObject(kind, words[1], section.keys()))))
                .orElseGet(() -> {
                    problems.add(
                            new Problem(file, section.name(), "", "\"%s\" is not a valid kind".formatted(words[0])));
                    return Stream.empty();
                });
    }

    /** Reports duplicate sections and keys, because the INI library merges their values without an error. */
    private static void reportDuplicates(Path file, String name, Collection<Problem> problems) throws IOException {
        Set<String> seen = new HashSet<>();
        String section = "";
        for (String line : Files.readAllLines(file)) {
            String text = line.trim();
            if (text.startsWith("[") && text.endsWith("]")) {
                section = text.substring(1, text.length() - 1).trim();
                if (!seen.add("[" + section)) {
                    problems.add(new Problem(name, section, "", "is defined more than once"));
                }
            } else if (text.contains("=") && !text.startsWith("#") && !text.startsWith(";")) {
                String key = text.substring(0, text.indexOf('=')).trim();
                if (!seen.add(section + "]" + key)) {
                    problems.add(new Problem(name, section, key, "is defined more than once"));
                }
            }
        }
    }

    /**
     * A section of an INI file.
     *
     * @param name the section name, not null
     * @param keys the values by key, not null
     */
    public record IniSection(String name, Map<String, String> keys) {

        /** Makes an immutable copy of the keys. */
        public IniSection {
            keys = Map.copyOf(keys);
        }
    }
}
