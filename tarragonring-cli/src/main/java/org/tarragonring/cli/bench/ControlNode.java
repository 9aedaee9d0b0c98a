package org.tarragonring.cli.bench;

import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import io.vertx.core.Vertx;
import io.vertx.ext.web.client.WebClient;
import org.tarragonring.entry.Clocks;
import org.tarragonring.entry.ControlPlane;
import org.tarragonring.entry.EntrySettings;
import org.tarragonring.entry.SettingKey;
import org.tarragonring.entry.SettingsFile;
import org.tarragonring.ids.HostPort;
import org.tarragonring.objects.HttpInstanceList;
import org.tarragonring.objects.HttpObjectStore;
import org.tarragonring.peer.DatagramCodec;
import org.tarragonring.peer.UdpTransport;
import org.tarragonring.placement.IdlePolicy;
import org.tarragonring.placement.Invariants;
import org.tarragonring.time.VertxTimers;
import org.tarragonring.upstream.HttpEngineClient;
import org.tarragonring.upstream.UpstreamDirectory;

/** An entry's control plane over loopback, without its side towards callers. */
final class ControlNode {

    private static final String HOST = "127.0.0.1";

    private final UdpTransport link;
    private final ControlPlane control;
    private final HostPort callerAddress;

    ControlNode(Vertx vertx, WebClient client, HostPort platform, int index, int domains) {
        EntrySettings settings = SettingsFile.of(Map.of(
                        SettingKey.ID, "entry-" + index,
                        SettingKey.FAILURE_DOMAIN, "domain-" + index % domains,
                        SettingKey.CALLER_ADDRESS, HOST + ":0",
                        SettingKey.PEER_ADDRESS, HOST + ":0",
                        SettingKey.PEER_KEY, "bench",
                        SettingKey.PLATFORM_ADDRESS, platform.toString()))
                .toSettings();
        this.callerAddress = new HostPort(HOST, 1 + index);
        this.link = new UdpTransport(vertx, new DatagramCodec(settings.peerKey()));
        this.control = new ControlPlane(
                settings,
                new HttpObjectStore(client, platform, settings.platformTimeout()),
                Clocks.system(),
                new VertxTimers(vertx),
                link,
                new UpstreamDirectory(
                        new HttpInstanceList(client, platform, settings.platformTimeout()),
                        address -> new HttpEngineClient(client, address, settings.platformTimeout())),
                action -> vertx.executeBlocking(
                        () -> {
                            action.run();
                            return null;
                        },
                        false),
                new Random(index),
                IdlePolicy.never(),
                Invariants.logging(),
                placement -> {},
                notice -> {});
    }

    CompletableFuture<Void> start() {
        return link.start(new HostPort(HOST, 0), control::receive)
                .thenCompose(peer -> control.start(callerAddress, peer).subscribeAsCompletionStage());
    }

    void stop() {
        control.stop();
        link.stop();
    }

    ControlPlane control() {
        return control;
    }

    UdpTransport link() {
        return link;
    }
}
