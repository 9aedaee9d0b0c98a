package org.tarragonring.gateway.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.tarragonring.gateway.ManualTime;
import org.tarragonring.gateway.call.TokenCount;
import org.tarragonring.gateway.metrics.GatewayMetrics;
import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.Hashes;
import org.tarragonring.ids.TeamName;
import org.tarragonring.peer.PeerMessage;
import org.tarragonring.policy.config.RequestLimits;
import org.tarragonring.policy.config.ServingConfig;
import org.tarragonring.policy.quota.QuotaLimit;
import org.tarragonring.policy.quota.QuotaSettings;
import org.tarragonring.policy.team.Team;
import org.tarragonring.policy.team.TeamDirectory;

/**
 * Entries that hold the limit of one team together, on clocks of the test and without a network. Messages take 1 to 20 ms
 * and may be lost; an entry that cannot be reached is noticed after 2 to 3 s.
 */
final class QuotaFleet {

    static final TeamName TEAM = new TeamName("claims");
    private static final int MAX_DELAY_MILLIS = 20;
    private static final int MIN_DETECTION_MILLIS = 2_000;
    private static final int DETECTION_SPREAD_MILLIS = 1_000;
    private static final int RETURN_DETECTION_MILLIS = 600;

    final ManualTime time = new ManualTime();
    final Random random;
    private final QuotaSettings settings;
    private final List<Node> nodes = new ArrayList<>();
    /** The calls that reached a replica, in the order of their sending. */
    private final List<Use> uses = new ArrayList<>();

    int refusedCalls;
    int calls;
    long messages;
    double loss;

    QuotaFleet(QuotaSettings settings, int size, QuotaLimit limit, Random random) {
        this.settings = settings;
        this.random = random;
        for (int i = 0; i < size; i++) {
            nodes.add(new Node(new EntryId("front-" + i), limit));
        }
        nodes.forEach(Node::start);
    }

    /** A call that reached a replica. */
    record Use(long sentMillis, long tokens) {}

    List<Node> nodes() {
        return nodes;
    }

    List<Use> uses() {
        return uses.stream().sorted(Comparator.comparingLong(Use::sentMillis)).toList();
    }

    /** Lets entries of different numbers reach each other no longer, and those of one number again. */
    void partition(List<Integer> sides) {
        List<Integer> before = nodes.stream().map(node -> node.side).toList();
        for (int i = 0; i < nodes.size(); i++) {
            nodes.get(i).side = sides.get(i);
        }
        for (int i = 0; i < nodes.size(); i++) {
            for (int j = 0; j < nodes.size(); j++) {
                boolean wasReached = before.get(i).equals(before.get(j));
                nodes.get(i).onReachabilityChanged(nodes.get(j), wasReached);
            }
        }
    }

    final class Node {

        private final EntryId id;
        private QuotaLimit limit;
        private QuotaService service;
        private int side;
        private final Map<EntryId, Long> unreachableSince = new HashMap<>();
        private final Map<EntryId, Long> reachableSince = new HashMap<>();
        private final long detectionMillis = MIN_DETECTION_MILLIS + random.nextInt(DETECTION_SPREAD_MILLIS);
        private long startMillis;

        Node(EntryId id, QuotaLimit limit) {
            this.id = id;
            this.limit = limit;
        }

        /** Starts a process that knows nothing of an earlier one. */
        void start() {
            if (service != null) {
                service.stop();
            }
            startMillis = time.millis();
            service = new QuotaService(
                    id,
                    settings,
                    this::config,
                    peers(),
                    new GatewayMetrics(new SimpleMeterRegistry()),
                    time,
                    time.millis(),
                    time);
            service.start();
            service.onListed(nodes.size());
        }

        void setLimit(QuotaLimit newLimit) {
            limit = newLimit;
            service.onConfigChanged();
        }

        /** Sends a call of the team to this entry; it ends without a replica, some time later, if told so. */
        void call(long tokens, boolean reachesReplica) {
            calls++;
            long sentMillis = time.millis();
            Team team = new Team(TEAM, 1, Optional.of(limit));
            QuotaReservation reservation = service.reserve(Optional.of(team), Optional.of(new TokenCount(tokens, 0)));
            reservation.whenRefused(millis -> refusedCalls++);
            reservation.whenReserved(() -> {
                if (reachesReplica) {
                    uses.add(new Use(sentMillis, limit.countsTokens() ? tokens : 1));
                } else {
                    time.schedule(Duration.ofMillis(random.nextInt(15_000)), reservation::giveBack);
                }
            });
        }

        private void onReachabilityChanged(Node other, boolean wasReached) {
            if (wasReached && !reaches(other)) {
                unreachableSince.put(other.id, time.millis());
            } else if (!wasReached && reaches(other)) {
                reachableSince.put(other.id, time.millis());
            }
        }

        private boolean reaches(Node other) {
            return other.side == side;
        }

        private boolean seesAlive(Node other) {
            long now = time.millis();
            if (other == this) {
                return true;
            }
            if (reaches(other)) {
                return now - reachableSince.getOrDefault(other.id, startMillis) >= RETURN_DETECTION_MILLIS
                        || now - unreachableSince.getOrDefault(other.id, 0L) < detectionMillis;
            }
            return now - unreachableSince.getOrDefault(other.id, 0L) < detectionMillis;
        }

        private Optional<ServingConfig> config() {
            Team team = new Team(TEAM, 1, Optional.of(limit));
            return Optional.of(new ServingConfig(
                    1,
                    List.of(),
                    Map.of(),
                    RequestLimits.DEFAULT,
                    Optional.of(new TeamDirectory(List.of(team), Map.of()))));
        }

        private QuotaPeers peers() {
            return new QuotaPeers() {
                @Override
                public EntryId entryFor(String duty) {
                    return nodes.stream()
                            .filter(Node.this::seesAlive)
                            .max(Comparator.comparingLong(
                                    node -> Hashes.combine(Hashes.of(duty), Hashes.of(node.id.value()))))
                            .orElseThrow()
                            .id;
                }

                @Override
                public void send(EntryId to, PeerMessage message) {
                    Node target = nodes.stream()
                            .filter(node -> node.id.equals(to))
                            .findFirst()
                            .orElseThrow();
                    if (target == Node.this) {
                        deliver(target, message);
                    } else if (reaches(target) && random.nextDouble() >= loss) {
                        messages++;
                        Duration delay = Duration.ofMillis(1 + random.nextInt(MAX_DELAY_MILLIS));
                        time.schedule(delay, () -> deliver(target, message));
                    }
                }

                @Override
                public int aliveCount() {
                    return (int) nodes.stream().filter(Node.this::seesAlive).count();
                }
            };
        }

        private void deliver(Node target, PeerMessage message) {
            if (message instanceof PeerMessage.QuotaRequest request) {
                target.service.onRequest(id, request);
            } else if (message instanceof PeerMessage.QuotaGrant grant) {
                target.service.onGrant(grant);
            }
        }
    }
}
