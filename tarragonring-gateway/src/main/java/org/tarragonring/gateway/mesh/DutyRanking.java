package org.tarragonring.gateway.mesh;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import org.tarragonring.ids.EntryId;
import org.tarragonring.ids.Hashes;
import org.tarragonring.peer.Member;

/**
 * Selects the entry responsible for a duty by rendezvous hashing. Entries look the holders of duties up many times a
 * second, so the hashes of the members are kept until the members change.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
final class DutyRanking {

    private List<Member> members = List.of();
    private long[] idHashes = {};

    /**
     * Returns the preferred entry that ranks first, or the entry that ranks first if none is preferred.
     *
     * @param duty the name of the duty, not null
     * @param candidates the members; the same list as long as they do not change, not null
     * @param preferred tells which entries are preferred, not null
     * @return the entry, the same on all entries with the same arguments; empty if there is no candidate
     */
    Optional<EntryId> first(String duty, List<Member> candidates, Predicate<EntryId> preferred) {
        if (candidates != members) {
            members = candidates;
            idHashes = candidates.stream()
                    .mapToLong(member -> Hashes.of(member.id().value()))
                    .toArray();
        }
        int best = best(duty, preferred);
        if (best < 0) {
            best = best(duty, id -> true);
        }
        return best < 0 ? Optional.empty() : Optional.of(members.get(best).id());
    }

    private int best(String duty, Predicate<EntryId> isCandidate) {
        long dutyHash = Hashes.of(duty);
        int best = -1;
        long bestScore = Long.MIN_VALUE;
        for (int i = 0; i < idHashes.length; i++) {
            long score = Hashes.combine(dutyHash, idHashes[i]);
            if ((best < 0 || score > bestScore)
                    && isCandidate.test(members.get(i).id())) {
                best = i;
                bestScore = score;
            }
        }
        return best;
    }
}
