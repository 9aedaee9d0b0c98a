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
 * Reads INI files.
 *
 * @since 0.1.0
 */
public final class IniFiles {

    private static final String SUFFIX = ".ini";

    private IniFiles() {}

    /**
     * Reads all object files of a folder.
     *
     * @param folder the folder, not null
     * @return the objects with their files
     * @throws ProblemsException naming every section that cannot be read
     * @throws IOException if the folder cannot be read
     */
    public static List<SourcedObject> readObjects(Path folder) throws IOException {
        List<Problem> problems = new ArrayList<>();
        List<SourcedObject> objects = new ArrayList<>();
        List<Path> files;
        try (Stream<Path> listed = Files.list(folder)) {
            files = listed.filter(f -> f.getFileName().toString().endsWith(SUFFIX))
                    .sorted()
                    .toList();
        }
        if (files.isEmpty()) {
            problems.add(new Problem(folder.toString(), "", "", "holds no file that ends in " + SUFFIX));
        }
        for (Path file : files) {
            String name = file.getFileName().toString();
            for (IniSection section : readSections(file, problems)) {
                toObject(name, section, problems).forEach(objects::add);
            }
        }
        if (!problems.isEmpty()) {
            throw new ProblemsException(problems);
        }
        return objects;
    }

    /**
     * Reads the sections of one file.
     *
     * @param file the file, not null
     * @param problems takes what is wrong with the file, not null
     * @return the sections that could be read
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
            problems.add(new Problem(name, "", "", "is not an INI file: " + e.getMessage()));
            return List.of();
        }
        List<IniSection> sections = new ArrayList<>();
        for (String sectionName : ini.getSections()) {
            SubnodeConfiguration section = ini.getSection(sectionName);
            Map<String, String> keys = new HashMap<>();
            for (Iterator<String> it = section.getKeys(); it.hasNext(); ) {
                String key = it.next();
                keys.put(key.replace("..", "."), section.getString(key));
            }
            if (sectionName == null) {
                keys.keySet()
                        .forEach(key -> problems.add(new Problem(name, "", key, "stands before the first section")));
            } else {
                sections.add(new IniSection(sectionName.trim(), keys));
            }
        }
        return sections;
    }

    private static Stream<SourcedObject> toObject(String file, IniSection section, List<Problem> problems) {
        String[] words = section.name().split("\\s+", 2);
        if (words.length != 2) {
            problems.add(new Problem(file, section.name(), "", "is not a kind and a name, such as [model NAME]"));
            return Stream.empty();
        }
        return ObjectKind.fromKeyword(words[0])
                .map(kind -> Stream.of(new SourcedObject(file, new ConfigObject(kind, words[1], section.keys()))))
                .orElseGet(() -> {
                    problems.add(new Problem(file, section.name(), "", "\"%s\" is not a kind".formatted(words[0])));
                    return Stream.empty();
                });
    }

    /** Reports sections and keys that stand twice, of which the INI reader would merge or join the values. */
    private static void reportDuplicates(Path file, String name, Collection<Problem> problems) throws IOException {
        Set<String> seen = new HashSet<>();
        String section = "";
        for (String line : Files.readAllLines(file)) {
            String text = line.trim();
            if (text.startsWith("[") && text.endsWith("]")) {
                section = text.substring(1, text.length() - 1).trim();
                if (!seen.add("[" + section)) {
                    problems.add(new Problem(name, section, "", "stands twice"));
                }
            } else if (text.contains("=") && !text.startsWith("#") && !text.startsWith(";")) {
                String key = text.substring(0, text.indexOf('=')).trim();
                if (!seen.add(section + "]" + key)) {
                    problems.add(new Problem(name, section, key, "stands twice"));
                }
            }
        }
    }

    /**
     * A section of an INI file.
     *
     * @param name its name, not null
     * @param keys its keys and values, not null
     */
    public record IniSection(String name, Map<String, String> keys) {

        /** Copies the keys. */
        public IniSection {
            keys = Map.copyOf(keys);
        }
    }
}
