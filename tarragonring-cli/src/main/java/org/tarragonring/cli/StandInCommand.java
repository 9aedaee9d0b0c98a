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

/** Runs a stand-in for the platform, an engine or a plain service until the process is killed. */
@Command(
        name = "stand-in",
        description = "Runs a stand-in for the platform, an engine or a plain service until it is killed.")
final class StandInCommand implements Callable<Integer> {

    /** The number of concurrent transfers of model weights that the weight store runs at full speed. */
    private static final int FULL_SPEED_MODEL_TRANSFERS = 4;
    /** The number of concurrent transfers of adapters that the weight store runs at full speed. */
    private static final int FULL_SPEED_ADAPTER_TRANSFERS = 30;

    @Mixin
    private CommonOptions common;

    @Parameters(paramLabel = "KIND", description = "the kind of stand-in: platform, engine or service")
    private Kind kind;

    @Option(
            names = "--address",
            description = "the address to listen on, HOST:PORT; port 0 selects a free port",
            defaultValue = "127.0.0.1:0")
    private String address;

    @Option(
            names = "--platform",
            description =
                    "the address of the platform to register with, HOST:PORT; required for an engine or a service")
    private String platform;

    @Option(names = "--id", description = "the id of the instance", defaultValue = "instance-1")
    private String id;

    @Option(names = "--service", description = "the name of the plain service", defaultValue = "")
    private String service;

    @Option(names = "--failure-domain", description = "the failure domain of the instance", defaultValue = "domain-1")
    private String failureDomain;

    @Option(
            names = "--accelerator",
            description = "the size of the engine's accelerator memory",
            defaultValue = "40GiB")
    private String accelerator;

    @Option(names = "--ignores-fence", description = "let the engine accept orders with an outdated fencing token")
    private boolean ignoresFencingToken;

    @Override
    public Integer call() throws InterruptedException {
        Vertx vertx = Vertx.vertx();
        HostPort listenAddress = start(vertx, PlatformOptions.parseAddress(address));
        if (kind != Kind.PLATFORM) {
            register(vertx, listenAddress);
        }
        System.out.println(listenAddress);
        new CountDownLatch(1).await();
        return ExitCodes.SUCCESS;
    }

    private HostPort start(Vertx vertx, HostPort requestedAddress) {
        return switch (kind) {
            case PLATFORM -> join(new PlatformServer(vertx).start(requestedAddress));
            case ENGINE -> join(createEngine(vertx).start(requestedAddress));
            case SERVICE ->
                join(new ServiceServer(vertx, ServiceServer.newRunCounters(), Duration.ofMillis(5))
                        .start(requestedAddress));
        };
    }

    private EngineServer createEngine(Vertx vertx) {
        VertxTimers timers = new VertxTimers(vertx);
        MonotonicClock clock = MonotonicClock.system();
        StandInEngine engine = new StandInEngine(
                EngineProfile.withShortDelays(ValueParser.parseBytes(accelerator), !ignoresFencingToken),
                new WeightStore(timers, clock, FULL_SPEED_MODEL_TRANSFERS),
                new WeightStore(timers, clock, FULL_SPEED_ADAPTER_TRANSFERS),
                timers,
                clock);
        return new EngineServer(vertx, engine);
    }

    private void register(Vertx vertx, HostPort listenAddress) {
        if (platform == null) {
            throw new UsageException("option --platform is missing, it is required for an engine or a service");
        }
        HostPort platformAddress = PlatformOptions.parseAddress(platform);
        String serviceName = kind == Kind.SERVICE ? service : "";
        Instance instance = new Instance(new UpstreamId(id), serviceName, listenAddress, failureDomain, false);
        join(WebClient.create(vertx)
                .post(platformAddress.port(), platformAddress.host(), "/instances")
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
