package org.tarragonring.cli;

import picocli.CommandLine.IVersionProvider;

/** Tells the program's version. */
final class Version implements IVersionProvider {

    private static final String UNPACKAGED = "development build";

    @Override
    public String[] getVersion() {
        String version = Main.class.getPackage().getImplementationVersion();
        return new String[] {"tarragonring " + (version == null ? UNPACKAGED : version)};
    }
}
