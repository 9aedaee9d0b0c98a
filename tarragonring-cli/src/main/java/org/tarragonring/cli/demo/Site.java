package org.tarragonring.cli.demo;

import java.util.Locale;

/**
 * The sizes of a site.
 *
 * @since 0.1.0
 */
public enum Site {
    /** Handbag repair in Queensland. */
    STRAPWISE(3, 8, 3),
    /** Standing-desk trials in southern Brazil. */
    ERGOVALE(4, 6, 4);

    private final int failureDomains;
    private final int engines;
    private final int appReplicas;

    Site(int failureDomains, int engines, int appReplicas) {
        this.failureDomains = failureDomains;
        this.engines = engines;
        this.appReplicas = appReplicas;
    }

    /**
     * Returns the number of failure domains.
     *
     * @return a count
     */
    public int failureDomains() {
        return failureDomains;
    }

    /**
     * Returns the number of model engines.
     *
     * @return a count
     */
    public int engines() {
        return engines;
    }

    /**
     * Returns the number of plain service instances.
     *
     * @return a count
     */
    public int appReplicas() {
        return appReplicas;
    }

    /**
     * Returns the name of the site's folder of object files.
     *
     * @return lower-case text
     */
    public String folder() {
        return name().toLowerCase(Locale.ROOT);
    }
}
