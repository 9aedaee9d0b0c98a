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
 * Selects the entries that are responsible for a model, for an upstream or for watching the platform, from the members
 * that this entry currently considers usable.
 *
 * <p>Entries with different member lists may select different entries. This only causes delays, because every decision
 * is written by a conditional update.
 *
 * @since 0.1.0
 */
public final class HomeSelector {

    private static final String MODEL_PREFIX = "model:";
    private static final String UPSTREAM_PREFIX = "upstream:";
    private static final String RELAY_PREFIX = "relay:";
    private static final int RELAYS_PER_FAILURE_DOMAIN = 2;

    private final Supplier<List<Member>> usableMembers;
    private final EntryId self;
    private volatile MemberCache cache = new MemberCache(List.of());

    /**
     * Creates a selector.
     *
     * @param usableMembers returns the members that can be given work, as the same list instance until they change; not
     *     null
     * @param self the id of this entry, not null
     */
    public HomeSelector(Supplier<List<Member>> usableMembers, EntryId self) {
        this.usableMembers = Objects.requireNonNull(usableMembers, "usableMembers");
        this.self = Objects.requireNonNull(self, "self");
    }

    /**
     * Returns the members in the order in which they are to be tried as the home entry of a model. The home entry runs
     * the coordinator of the model. The first members are in different failure domains.
     *
     * @param model the model, not null
     * @return all usable members, best first; never null
     */
    public List<Member> rankedHomes(ModelName model) {
        return cache().homes
                .computeIfAbsent(
                        model,
                        key -> spreadOverFailureDomains(
                                Rendezvous.rank(MODEL_PREFIX + key, cache().members, HomeSelector::nameOf)));
    }

    /**
     * Checks whether this entry is the home entry of a model, that is the first of its ranked home entries.
     *
     * @param model the model, not null
     * @return true if this entry is the home entry
     */
    public boolean isHome(ModelName model) {
        List<Member> homes = rankedHomes(model);
        return !homes.isEmpty() && homes.get(0).id().equals(self);
    }

    /**
     * Checks whether this entry is the owner of an upstream, which reconciles it.
     *
     * @param upstream the upstream, not null
     * @return true if this entry is the owner
     */
    public boolean owns(UpstreamId upstream) {
        MemberCache current = cache();
        int owner = current.owners.computeIfAbsent(
                upstream, key -> Rendezvous.best(UPSTREAM_PREFIX + key, current.nameHashes));
        return owner >= 0 && current.members.get(owner).id().equals(self);
    }

    /**
     * Checks whether this entry is a relay, that is one of the entries of its failure domain that watch the platform on
     * behalf of the others.
     *
     * @param failureDomain the failure domain of this entry, not null
     * @return true if this entry is a relay
     */
    public boolean isRelay(String failureDomain) {
        List<Member> domainMembers = cache().members.stream()
                .filter(m -> m.failureDomain().equals(failureDomain))
                .toList();
        return Rendezvous.rank(RELAY_PREFIX + failureDomain, domainMembers, HomeSelector::nameOf).stream()
                .limit(RELAYS_PER_FAILURE_DOMAIN)
                .anyMatch(m -> m.id().equals(self));
    }

    private MemberCache cache() {
        List<Member> members = usableMembers.get();
        MemberCache current = cache;
        if (current.members != members) {
            current = new MemberCache(members);
            cache = current;
        }
        return current;
    }

    private static List<Member> spreadOverFailureDomains(List<Member> ranked) {
        List<Member> ordered = new ArrayList<>();
        List<Member> remaining = new ArrayList<>();
        Set<String> seenDomains = new HashSet<>();
        for (Member member : ranked) {
            if (seenDomains.add(member.failureDomain())) {
                ordered.add(member);
            } else {
                remaining.add(member);
            }
        }
        ordered.addAll(remaining);
        return ordered;
    }

    private static String nameOf(Member member) {
        return member.id().value();
    }

    private static final class MemberCache {

        private final List<Member> members;
        private final long[] nameHashes;
        private final Map<ModelName, List<Member>> homes = new ConcurrentHashMap<>();
        private final Map<UpstreamId, Integer> owners = new ConcurrentHashMap<>();

        private MemberCache(List<Member> members) {
            this.members = members;
            this.nameHashes =
                    members.stream().mapToLong(m -> Hashes.of(m.id().value())).toArray();
        }
    }
}
