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

/** Compares policies by tail cold-start time and idle accelerator hours, in virtual time with the real decisions. */
@Command(
        name = "cold-start",
        description = "Compares policies by tail cold-start time and idle accelerator hours.",
        mixinStandardHelpOptions = true)
final class ColdStartBench implements Callable<Integer> {

    private static final Duration MINUTE = Duration.ofMinutes(1);
    private static final Duration INITIAL_KEEP = Duration.ofMinutes(10);

    @Option(names = "--site", description = "strapwise or ergovale", defaultValue = "strapwise")
    private Site site;

    @Option(
            names = "--policy",
            description = "own-demand, minute, ten-minutes, never, learned or all",
            defaultValue = "all")
    private String policy;

    @Option(names = "--seed", description = "the seed of the calls", defaultValue = "1")
    private long seed;

    @Option(names = "--duration", description = "the virtual time, such as 4h", defaultValue = "4h")
    private String duration;

    @Option(
            names = "--trade",
            description = "seconds of idle memory that are as bad as one second that a call of weight 1 waits",
            defaultValue = "60")
    private int trade;

    @Override
    public Integer call() throws Exception {
        Path folder = DemoCommand.exampleFolder(site);
        ConfigSet set = ConfigChecker.check(IniFileReader.readObjects(folder));
        Map<String, IdlePolicy> policies = new LinkedHashMap<>();
        policies.put("own-demand", IdlePolicy.fixed(MINUTE));
        policies.put("minute", IdlePolicy.fixed(MINUTE));
        policies.put("ten-minutes", IdlePolicy.fixed(INITIAL_KEEP));
        policies.put("never", IdlePolicy.never());
        policies.put("learned", new LearnedIdlePolicy(INITIAL_KEEP, trade));
        List<String> wanted = policy.equals("all") ? new ArrayList<>(policies.keySet()) : List.of(policy);
        System.out.printf("site=%s seed=%d duration=%s%n", site.folderName(), seed, duration);
        System.out.println(ColdStartResult.header());
        for (String name : wanted) {
            if (!policies.containsKey(name)) {
                throw new IllegalArgumentException("policy \"%s\" does not exist".formatted(name));
            }
            VirtualSite virtual = new VirtualSite(site, policies.get(name), !name.equals("own-demand"));
            virtual.start(set);
            ColdStartResult result = new ColdStartLoad(virtual, set, seed).run(ValueParser.parseDuration(duration));
            System.out.println(result.line(name));
        }
        printBurst(set);
        return 0;
    }

    /** Lets 200 calls for one cold model arrive at all entries within 200 ms. */
    private void printBurst(ConfigSet set) {
        VirtualSite virtual = new VirtualSite(site, IdlePolicy.never(), true);
        virtual.start(set);
        System.out.println(new ColdStartLoad(virtual, set, seed).burst(200));
    }
}
