package org.tarragonring.cli.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.apache.commons.codec.digest.DigestUtils;
import org.tarragonring.config.ConfigChecker;
import org.tarragonring.config.ConfigObject;
import org.tarragonring.config.ConfigSet;
import org.tarragonring.config.ObjectKind;

/** Generates configurations of any size. */
final class SyntheticObjects {

    static final String TEAM_KEY = "bench-key";

    private SyntheticObjects() {}

    /**
     * Generates a configuration with one service, one team and the given numbers of models and adapters.
     *
     * @param modelCount the number of models
     * @param adapterCount the number of adapters, spread evenly over the models
     * @param revision selects the one adapter whose size differs from the others, so that successive revisions differ
     *     in at most two objects
     * @return the checked configuration
     */
    static ConfigSet of(int modelCount, int adapterCount, int revision) {
        List<ConfigObject> objects = new ArrayList<>();
        objects.add(new ConfigObject(ObjectKind.CLASS, "chat", Map.of("deadline", "30s", "weight", "10")));
        objects.add(new ConfigObject(ObjectKind.CLASS, "booking", Map.of("deadline", "4s", "repeatable", "false")));
        objects.add(new ConfigObject(ObjectKind.TEAM, "team-0", Map.of("key-sha256", DigestUtils.sha256Hex(TEAM_KEY))));
        objects.add(new ConfigObject(
                ObjectKind.SERVICE, "bookings", Map.of("route", "/bookings", "teams", "team-0", "class", "booking")));
        for (int i = 0; i < modelCount; i++) {
            addModel(objects, "model-" + i);
        }
        for (int i = 0; i < adapterCount; i++) {
            long sizeMib = i == revision % Math.max(1, adapterCount) ? 40 + revision % 10 : 32;
            objects.add(new ConfigObject(
                    ObjectKind.ADAPTER,
                    "adapter-" + i,
                    Map.of("model", "model-" + i % modelCount, "teams", "team-0", "bytes", sizeMib + "MiB")));
        }
        return ConfigChecker.checkPublished(objects);
    }

    private static void addModel(List<ConfigObject> objects, String name) {
        objects.add(new ConfigObject(
                ObjectKind.VERSION, name + "-v1", Map.of("model", name, "checkpoint", "weights://bench/" + name)));
        objects.add(new ConfigObject(
                ObjectKind.MODEL,
                name,
                Map.of(
                        "teams", "team-0",
                        "class", "chat",
                        "version", name + "-v1",
                        "accelerator-bytes", "12GiB",
                        "adapter-pool-bytes", "2GiB",
                        "max-replicas", "64",
                        "calls-per-replica", "64")));
    }
}
