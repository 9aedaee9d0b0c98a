package org.tarragonring.home;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

import org.tarragonring.ids.Hashes;

/**
 * Ranks candidates for a key by rendezvous hashing: when a candidate comes or goes, no two others change order.
 *
 * @since 0.1.0
 */
public final class Rendezvous {

    private Rendezvous() {}

    /**
     * Ranks candidates.
     *
     * @param <T> the candidates' type
     * @param key what is placed, not null
     * @param candidates where it may be placed, not null
     * @param name gives each candidate's unique name, not null
     * @return the candidates, best first
     */
    public static <T> List<T> rank(String key, Collection<T> candidates, Function<T, String> name) {
        long keyHash = Hashes.of(key);
        return candidates.stream()
                .map(candidate -> new Scored<>(candidate, Hashes.combine(keyHash, Hashes.of(name.apply(candidate)))))
                .sorted(Comparator.comparingLong((Scored<T> s) -> s.score).reversed())
                .map(Scored::candidate)
                .toList();
    }

    /**
     * Finds the best candidate.
     *
     * @param key what is placed, not null
     * @param nameHashes the candidates' names as {@link Hashes#of} hashes them, not null
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

    private record Scored<T>(T candidate, long score) {}
}
