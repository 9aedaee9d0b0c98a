package org.tarragonring.home;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

import org.apache.commons.codec.digest.MurmurHash3;

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
        return candidates.stream()
                .map(candidate -> new Scored<>(candidate, score(key, name.apply(candidate)), name.apply(candidate)))
                .sorted(Comparator.comparingLong((Scored<T> s) -> s.score)
                        .reversed()
                        .thenComparing(s -> s.name))
                .map(Scored::candidate)
                .toList();
    }

    /**
     * Scores one candidate.
     *
     * @param key what is placed, not null
     * @param name the candidate's name, not null
     * @return the score; the highest wins
     */
    public static long score(String key, String name) {
        byte[] bytes = (key + '\0' + name).getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(bytes)[0];
    }

    private record Scored<T>(T candidate, long score, String name) {}
}
