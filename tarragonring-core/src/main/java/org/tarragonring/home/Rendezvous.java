package org.tarragonring.home;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

import org.tarragonring.ids.Hashes;

/**
 * Ranks candidates for a key by rendezvous hashing. Adding or removing a candidate does not change the order of the
 * others.
 *
 * @since 0.1.0
 */
public final class Rendezvous {

    private Rendezvous() {}

    /**
     * Ranks candidates for a key.
     *
     * @param <T> the type of the candidates
     * @param key the key, not null
     * @param candidates the candidates, not null
     * @param name returns the unique name of a candidate, not null
     * @return the candidates, best first; never null
     */
    public static <T> List<T> rank(String key, Collection<T> candidates, Function<T, String> name) {
        long keyHash = Hashes.of(key);
        return candidates.stream()
                .map(candidate ->
                        new ScoredCandidate<>(candidate, Hashes.combine(keyHash, Hashes.of(name.apply(candidate)))))
                .sorted(Comparator.comparingLong((ScoredCandidate<T> s) -> s.score)
                        .reversed())
                .map(ScoredCandidate::candidate)
                .toList();
    }

    /**
     * Finds the best candidate for a key without ranking all of them.
     *
     * @param key the key, not null
     * @param nameHashes the hashes of the names of the candidates, from {@link Hashes#of}; not null
     * @return the index of the candidate that {@link #rank} puts first, -1 if there is none
     */
    public static int best(String key, long[] nameHashes) {
        long keyHash = Hashes.of(key);
        int best = -1;
        long bestScore = Long.MIN_VALUE;
        for (int i = 0; i < nameHashes.length; i++) {
            long score = Hashes.combine(keyHash, nameHashes[i]);
            if (best < 0 || score > bestScore) {
                best = i;
                bestScore = score;
            }
        }
        return best;
    }

    private record ScoredCandidate<T>(T candidate, long score) {}
}
