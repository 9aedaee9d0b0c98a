package org.tarragonring.cli.bench;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;

import org.tarragonring.cli.demo.DemoCommand;
import org.tarragonring.cli.demo.Site;
import org.tarragonring.config.ConfigChecker;
import org.tarragonring.config.ConfigSet;
import org.tarragonring.config.ValueParser;
import org.tarragonring.operator.IniFileReader;
import org.tarragonring.placement.IdlePolicy;
import org.tarragonring.placement.LearnedIdlePolicy;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Compares idle policies by the tail latency of cold starts and by idle accelerator memory. Runs the real control
 * planes and dispatchers in virtual time.
 */
@Command(
        name = "cold-start",
        description = "Compares idle policies by the tail latency of cold starts and by idle accelerator"
                + " memory, in virtual time.",
        mixinStandardHelpOptions = true)
final class ColdStartBench implements Callable<Integer> {

    private static final Duration ONE_MINUTE = Duration.ofMinutes(1);
    private static final Duration TEN_MINUTES = Duration.ofMinutes(10);

    @Option(names = "--site", description = "the site: strapwise or ergovale", defaultValue = "strapwise")
    private Site site;

    @Option(
            names = "--policy",
            description = "the idle policy: own-demand, minute, ten-minutes, never, learned or all;"
                    + " own-demand unloads after a minute like minute, but the entries exchange no messages and"
                    + " each uses only its own demand",
            defaultValue = "all")
    private String policy;

    @Option(
            names = "--seed",
            description = "the seed of the random numbers from which the calls are generated",
            defaultValue = "1")
    private long seed;

    @Option(
            names = "--duration",
            description = "how long the calls are simulated, in virtual time, such as 4h",
            defaultValue = "4h")
    private String duration;

    @Option(
            names = "--trade",
            paramLabel = "<trade>",
            description =
                    "for the learned policy, the number of seconds of idle memory that cost as much as one second for"
                            + " which a call of weight 1 waits for a reload",
            defaultValue = "60")
    private int idleSecondsPerLateSecond;

    @Override
    public Integer call() throws Exception {
        Path folder = DemoCommand.exampleFolder(site);
        ConfigSet config = ConfigChecker.check(IniFileReader.readObjects(folder));
        Map<String, IdlePolicy> policies = new LinkedHashMap<>();
        policies.put("own-demand", IdlePolicy.fixed(ONE_MINUTE));
        policies.put("minute", IdlePolicy.fixed(ONE_MINUTE));
        policies.put("ten-minutes", IdlePolicy.fixed(TEN_MINUTES));
        policies.put("never", IdlePolicy.never());
        policies.put("learned", new LearnedIdlePolicy(TEN_MINUTES, idleSecondsPerLateSecond));
        List<String> selectedPolicies = policy.equals("all") ? new ArrayList<>(policies.keySet()) : List.of(policy);
        System.out.printf("site=%s seed=%d duration=%s%n", site.folderName(), seed, duration);
        System.out.println(ColdStartResult.header());
        for (String name : selectedPolicies) {
            if (!policies.containsKey(name)) {
                throw new IllegalArgumentException(
                        "unknown policy \"%s\"; expected own-demand, minute, ten-minutes, never, learned or all"
                                .formatted(name));
            }
            VirtualSite virtualSite = new VirtualSite(site, policies.get(name), !name.equals("own-demand"));
            virtualSite.start(config);
            ColdStartResult result =
                    new ColdStartWorkload(virtualSite, config, seed).run(ValueParser.parseDuration(duration));
            System.out.println(result.row(name));
        }
        printBurst(config);
        return 0;
    }

    /** Prints the outcome of 200 calls of one cold model that arrive at all entries within 200 ms. */
    private void printBurst(ConfigSet config) {
        VirtualSite virtualSite = new VirtualSite(site, IdlePolicy.never(), true);
        virtualSite.start(config);
        System.out.println(new ColdStartWorkload(virtualSite, config, seed).runBurst(200));
    }
}
