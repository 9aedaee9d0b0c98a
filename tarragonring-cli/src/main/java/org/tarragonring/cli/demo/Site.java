package org.tarragonring.cli.demo;

import java.util.Locale;

/**
 * The example sites and their sizes.
 *
 * @since 0.1.0
 */
public enum Site {
    /** A handbag repair business in Queensland. */
    STRAPWISE(3, 8, 3),
    /** Trials of standing desks in southern Brazil. */
    ERGOVALE(4, 6, 4);

    private final int failureDomains;
    private final int engines;
    private final int serviceInstances;

    Site(int failureDomains, int engines, int serviceInstances) {
        this.failureDomains = failureDomains;
        this.engines = engines;
        this.serviceInstances = serviceInstances;
    }

    /**
     * Returns the number of failure domains.
     *
     * @return the number of failure domains
     */
    public int failureDomains() {
        return failureDomains;
    }

    /**
     * Returns the number of engines.
     *
     * @return the number of engines
     */
    public int engines() {
        return engines;
    }

    /**
     * Returns the number of instances of each plain service.
     *
     * @return the number of instances
     */
    public int serviceInstances() {
        return serviceInstances;
    }

    /**
     * Returns the name of the folder under {@code examples} that contains the site's object files.
     *
     * @return the name of the site in lower case, never null
     */
    public String folderName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
