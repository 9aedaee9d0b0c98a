package org.tarragonring.cli;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.client.WebClient;
import org.tarragonring.config.ValueParser;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.objects.Instance;
import org.tarragonring.objects.Json;
import org.tarragonring.standin.engine.EngineProfile;
import org.tarragonring.standin.engine.EngineServer;
import org.tarragonring.standin.engine.StandInEngine;
import org.tarragonring.standin.engine.WeightStore;
import org.tarragonring.standin.platform.PlatformServer;
import org.tarragonring.standin.service.ServiceServer;
import org.tarragonring.time.MonotonicClock;
import org.tarragonring.time.VertxTimers;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Runs a stand-in for the platform, an engine or a plain service until it is killed. */
@Command(name = "stand-in", description = "Runs a stand-in for the platform, an engine or a plain service.")
final class StandInCommand implements Callable<Integer> {

    private static final int PARALLEL_LOADS = 4;
    private static final int PARALLEL_ADAPTERS = 30;

    @Mixin
    private CommonOptions common;

    @Parameters(paramLabel = "KIND", description = "platform, engine or service")
    private Kind kind;

    @Option(names = "--address", description = "where to listen, HOST:PORT", defaultValue = "127.0.0.1:0")
    private String address;

    @Option(names = "--platform", description = "the platform to register with, HOST:PORT")
    private String platform;

    @Option(names = "--id", description = "the instance's id", defaultValue = "instance-1")
    private String id;

    @Option(names = "--service", description = "the plain service's name", defaultValue = "")
    private String service;

    @Option(names = "--failure-domain", description = "the failure domain", defaultValue = "domain-1")
    private String failureDomain;

    @Option(names = "--accelerator", description = "the accelerator's memory", defaultValue = "40GiB")
    private String accelerator;

    @Option(names = "--ignores-fence", description = "take orders with an old fencing number")
    private boolean ignoresFence;

    @Override
    public Integer call() throws InterruptedException {
        Vertx vertx = Vertx.vertx();
        HostPort listening = start(vertx, PlatformOptions.address(address));
        if (kind != Kind.PLATFORM) {
            register(vertx, listening);
        }
        System.out.println(listening);
        new CountDownLatch(1).await();
        return ExitCodes.DONE;
    }

    private HostPort start(Vertx vertx, HostPort at) {
        return switch (kind) {
            case PLATFORM -> join(new PlatformServer(vertx).start(at));
            case ENGINE -> join(engine(vertx).start(at));
            case SERVICE ->
                join(new ServiceServer(vertx, ServiceServer.newRunCounters(), Duration.ofMillis(5)).start(at));
        };
    }

    private EngineServer engine(Vertx vertx) {
        VertxTimers timers = new VertxTimers(vertx);
        MonotonicClock clock = MonotonicClock.system();
        StandInEngine engine = new StandInEngine(
                EngineProfile.withShortDelays(ValueParser.parseBytes(accelerator), !ignoresFence),
                new WeightStore(timers, clock, PARALLEL_LOADS),
                new WeightStore(timers, clock, PARALLEL_ADAPTERS),
                timers,
                clock);
        return new EngineServer(vertx, engine);
    }

    private void register(Vertx vertx, HostPort listening) {
        if (platform == null) {
            throw new UsageException("option --platform is missing");
        }
        HostPort to = PlatformOptions.address(platform);
        String serviceName = kind == Kind.SERVICE ? service : "";
        Instance instance = new Instance(new UpstreamId(id), serviceName, listening, failureDomain, false);
        join(WebClient.create(vertx)
                .post(to.port(), to.host(), "/instances")
                .sendBuffer(Buffer.buffer(Json.write(instance))));
    }

    private static <T> T join(Future<T> future) {
        return future.toCompletionStage().toCompletableFuture().join();
    }

    /** The kinds of stand-ins. */
    enum Kind {
        PLATFORM,
        ENGINE,
        SERVICE
    }
}
