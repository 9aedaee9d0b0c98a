package org.tarragonring.gateway.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.tarragonring.gateway.ManualTime;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.HostPort;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.peer.Datagram;
import org.tarragonring.peer.DatagramCodec;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.policy.routing.CallProfile;
import org.tarragonring.policy.routing.ResponseTimes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class AttemptTimingsTest {

    private static final UpstreamId REPLICA = new UpstreamId("replica-1");
    private static final CallProfile STREAM = new CallProfile("chat", true, 3_870, 100, List.of(), "", 600);
    private static final CallProfile PLAIN = new CallProfile("book", false, 0, 0, List.of(), "", 148);

    private final ManualTime time = new ManualTime();
    private final List<Double> plainRatios = new ArrayList<>();
    private final AttemptTimings timings =
            new AttemptTimings(new ResponseTimes(), time, (replica, ratio) -> plainRatios.add(ratio));

    private AttemptTiming start(CallProfile call, AttemptTiming.Kind kind, boolean mayBeCached) {
        return timings.start(REPLICA, call, kind, mayBeCached);
    }

    @Test
    void slowStreamIsReportedWhileItRuns() {
        AttemptTiming timing = start(STREAM, AttemptTiming.Kind.MODEL_STREAM, true);
        time.skip(Duration.ofMillis(100));
        timing.onEvents(1, false);
        time.skip(Duration.ofMillis(550));
        timing.onEvents(11, false);

        List<PeerMessage.ReplicaTiming> reported = timings.drain();

        assertEquals(1, reported.size());
        assertEquals(10, reported.get(0).ratio(), 0.1);
        assertTrue(timings.drain().isEmpty());
    }

    // Guards against replicas that count as slow while a long prompt of another call is read.
    @Test
    void shortStallOfAStreamIsNoSample() {
        AttemptTiming timing = start(STREAM, AttemptTiming.Kind.MODEL_STREAM, true);
        time.skip(Duration.ofMillis(100));
        timing.onEvents(1, false);
        time.skip(Duration.ofMillis(300));
        timing.onEvents(6, false);
        assertTrue(timings.drain().isEmpty());
    }

    // Guards against a replica that accepts calls and sends nothing, and counts as usual until they time out.
    @Test
    void replicaWithoutFirstEventIsReportedBeforeTheCallEnds() {
        start(STREAM, AttemptTiming.Kind.MODEL_STREAM, true);
        time.skip(Duration.ofMillis(1_100));
        assertEquals(10, timings.drain().get(0).ratio(), 0.1);
    }

    // Guards against replicas that count as fast because prompts are cached there.
    @Test
    void firstEventOfACachedPromptIsNoSample() {
        start(STREAM, AttemptTiming.Kind.MODEL_STREAM, true).onEvents(1, false);
        time.skip(Duration.ofMillis(10));
        assertTrue(timings.drain().isEmpty());
    }

    // Guards against replicas that count as slow because a caller reads slowly.
    @Test
    void streamWhoseCallerReadsSlowlyIsNoSample() {
        AttemptTiming timing = start(STREAM, AttemptTiming.Kind.MODEL_STREAM, true);
        timing.onEvents(1, true);
        time.skip(Duration.ofSeconds(2));
        timing.onEvents(20, false);
        timing.onEnded(true);
        assertTrue(timings.drain().isEmpty());
    }

    // Guards against generated responses that arrive as a whole and count as late first events.
    @Test
    void generatedBodyIsNoSample() {
        AttemptTiming timing = start(STREAM, AttemptTiming.Kind.MODEL_BODY, false);
        time.skip(Duration.ofSeconds(3));
        assertTrue(timings.drain().isEmpty());
        timing.onEnded(true);
        assertTrue(timings.drain().isEmpty());
    }

    @Test
    void failedCallIsNoSampleAndSlowPlainCallIsToldAtOnce() {
        for (int i = 0; i < 8; i++) {
            AttemptTiming timing = start(PLAIN, AttemptTiming.Kind.PLAIN, false);
            time.skip(Duration.ofMillis(60));
            timing.onEnded(true);
        }
        timings.drain();
        plainRatios.clear();
        AttemptTiming failed = start(PLAIN, AttemptTiming.Kind.PLAIN, false);
        time.skip(Duration.ofMillis(600));
        failed.onEnded(false);
        assertTrue(timings.drain().isEmpty());

        AttemptTiming slow = start(PLAIN, AttemptTiming.Kind.PLAIN, false);
        time.skip(Duration.ofMillis(150));
        slow.onEnded(true);
        assertEquals(2.5, plainRatios.get(0), 0.01);
    }

    // Guards against messages that are too long to be sent, and a digest that costs more than its budget.
    @Test
    void largestReportAndDigestOf30ReplicasFitTheirLimits() {
        List<PeerMessage.WeightDemand> demands = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            start(STREAM, AttemptTiming.Kind.MODEL_STREAM, true);
            timings.start(new UpstreamId("i-7f3a91c2" + i), STREAM, AttemptTiming.Kind.MODEL_STREAM, true);
        }
        time.skip(Duration.ofSeconds(2));
        List<PeerMessage.ReplicaTiming> reported = timings.drain();
        assertEquals(50, reported.size());
        assertTrue(encodedBytes(new PeerMessage.DemandReport(demands, List.of(), reported)) < 1_900);

        List<PeerMessage.ReplicaLoad> loads = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            loads.add(new PeerMessage.ReplicaLoad(Integer.MAX_VALUE - i, 40, 146));
        }
        int headerBytes = 28;
        assertTrue(encodedBytes(new PeerMessage.ReplicaLoadDigest(loads)) + headerBytes <= 500);
    }

    private static int encodedBytes(PeerMessage message) {
        Datagram datagram =
                new Datagram(new EntryId("entry-1"), new HostPort("10.0.0.1", 9_000), 1, message, List.of(), List.of());
        return new DatagramCodec("key").encode(datagram).length;
    }
}
