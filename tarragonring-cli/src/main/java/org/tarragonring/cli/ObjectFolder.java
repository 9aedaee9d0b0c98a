package org.tarragonring.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.tarragonring.config.ConfigChecker;
import org.tarragonring.config.ConfigSet;
import org.tarragonring.operator.IniFileReader;

/** Reads and validates a folder of object files. */
final class ObjectFolder {

    private ObjectFolder() {}

    static ConfigSet readValidated(Path folder) throws IOException {
        if (!Files.isDirectory(folder)) {
            throw new UsageException("folder \"%s\" does not exist".formatted(folder));
        }
        return ConfigChecker.check(IniFileReader.readObjects(folder));
    }
}
