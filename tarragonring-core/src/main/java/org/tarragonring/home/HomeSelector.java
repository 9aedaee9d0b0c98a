package org.tarragonring.home;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.Hashes;
import org.tarragonring.ids.ModelName;
import org.tarragonring.ids.UpstreamId;
import org.tarragonring.peer.Member;

/**
 * Chooses the entries that look after a model or an upstream, from the members as this entry sees them.
 *
 * <p>Entries that see different members may choose differently; that costs time only, since every decision is a
 * conditional update.
 *
 * @since 0.1.0
 */
public final class HomeSelector {

    private static final String MODEL_PREFIX = "model:";
    private static final String UPSTREAM_PREFIX = "upstream:";
    private static final String RELAY_PREFIX = "relay:";
    private static final int RELAYS_PER_DOMAIN = 2;

    private final Supplier<List<Member>> usable;
    private final EntryId self;
    private volatile Cache cache = new Cache(List.of());

    /**
     * Creates a selector.
     *
     * @param usable gives the members that may be given work; the same list instance while nothing changed; not
     *     null
     * @param self this entry, not null
     */
    public HomeSelector(Supplier<List<Member>> usable, EntryId self) {
        this.usable = Objects.requireNonNull(usable, "usable");
        this.self = Objects.requireNonNull(self, "self");
    }

    /**
     * Returns the homes of a model, best first, each of the first ones in another failure domain.
     *
     * @param model the model, not null
     * @return all usable members in the order in which they are to be tried
     */
    public List<Member> homes(ModelName model) {
        return cache().homes
                .computeIfAbsent(
                        model, key -> spread(Rendezvous.rank(MODEL_PREFIX + key, cache().members, HomeSelector::name)));
    }

    /**
     * Checks if this entry is the first home of a model.
     *
     * @param model the model, not null
     * @return true if it is
     */
    public boolean isHome(ModelName model) {
        List<Member> homes = homes(model);
        return !homes.isEmpty() && homes.get(0).id().equals(self);
    }

    /**
     * Checks if this entry looks after an upstream.
     *
     * @param upstream the upstream, not null
     * @return true if it does
     */
    public boolean owns(UpstreamId upstream) {
        Cache present = cache();
        int owner = present.owners.computeIfAbsent(
                upstream, key -> Rendezvous.best(UPSTREAM_PREFIX + key, present.nameHashes));
        return owner >= 0 && present.members.get(owner).id().equals(self);
    }

    /**
     * Checks if this entry is one of those in its failure domain that watch the platform for all others.
     *
     * @param failureDomain this entry's failure domain, not null
     * @return true if it is
     */
    public boolean isRelay(String failureDomain) {
        List<Member> domain = cache().members.stream()
                .filter(m -> m.failureDomain().equals(failureDomain))
                .toList();
        return Rendezvous.rank(RELAY_PREFIX + failureDomain, domain, HomeSelector::name).stream()
                .limit(RELAYS_PER_DOMAIN)
                .anyMatch(m -> m.id().equals(self));
    }

    private Cache cache() {
        List<Member> members = usable.get();
        Cache present = cache;
        if (present.members != members) {
            present = new Cache(members);
            cache = present;
        }
        return present;
    }

    private static List<Member> spread(List<Member> ranked) {
        List<Member> ordered = new ArrayList<>();
        List<Member> rest = new ArrayList<>();
        Set<String> domains = new HashSet<>();
        for (Member member : ranked) {
            if (domains.add(member.failureDomain())) {
                ordered.add(member);
            } else {
                rest.add(member);
            }
        }
        ordered.addAll(rest);
        return ordered;
    }

    private static String name(Member member) {
        return member.id().value();
    }

    private static final class Cache {

        private final List<Member> members;
        private final long[] nameHashes;
        private final Map<ModelName, List<Member>> homes = new ConcurrentHashMap<>();
        private final Map<UpstreamId, Integer> owners = new ConcurrentHashMap<>();

        private Cache(List<Member> members) {
            this.members = members;
            this.nameHashes =
                    members.stream().mapToLong(m -> Hashes.of(m.id().value())).toArray();
        }
    }
}
