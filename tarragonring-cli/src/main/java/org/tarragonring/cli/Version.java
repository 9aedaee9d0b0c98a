package org.tarragonring.cli;

import picocli.CommandLine.IVersionProvider;

/** Provides the version of the program from the manifest of its jar. */
final class Version implements IVersionProvider {

    private static final String UNPACKAGED_VERSION = "development build";

    @Override
    public String[] getVersion() {
        String version = Main.class.getPackage().getImplementationVersion();
        return new String[] {"tarragonring " + (version == null ? UNPACKAGED_VERSION : version)};
    }
}
