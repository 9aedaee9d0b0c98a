package org.tarragonring.operator;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import io.smallrye.mutiny.Uni;
import org.tarragonring.config.ConfigManifest;
import org.tarragonring.config.ConfigObject;
import org.tarragonring.config.ConfigSet;
import org.tarragonring.objects.StoreException;

/**
 * Publishes checked sets and tells racing operators apart.
 *
 * @since 0.1.0
 */
public final class Publisher {

    private final ConfigRepository repository;

    /**
     * Creates a publisher.
     *
     * @param repository where generations are kept, not null
     */
    public Publisher(ConfigRepository repository) {
        this.repository = Objects.requireNonNull(repository, "repository");
    }

    /**
     * Publishes a set.
     *
     * @param set the checked set, not null
     * @param baseGeneration the generation that the operator edited, or empty to take the one in force
     * @param publishId tells this publish from all others, not null
     * @return the manifest in force; fails with {@link ConflictException} if another publish came between
     */
    public Uni<ConfigManifest> publish(ConfigSet set, OptionalLong baseGeneration, String publishId) {
        return repository.head().chain(head -> {
            long headGeneration = head.map(ConfigManifest::generation).orElse(0L);
            if (baseGeneration.isPresent() && baseGeneration.getAsLong() != headGeneration) {
                return conflict(baseGeneration.getAsLong());
            }
            return repository
                    .publish(head, publishId, set.objects())
                    .onFailure(
                            failure -> failure instanceof StoreException e && e.kind() == StoreException.Kind.CONFLICT)
                    .recoverWithUni(() -> conflict(headGeneration));
        });
    }

    private Uni<ConfigManifest> conflict(long baseGeneration) {
        return repository
                .head()
                .chain(head -> repository
                        .manifest(baseGeneration)
                        .chain(base -> objects(base)
                                .chain(before -> objects(head).chain(after -> {
                                    long headGeneration =
                                            head.map(ConfigManifest::generation).orElse(0L);
                                    List<String> changed = ConfigDiff.lines(before, after);
                                    return Uni.createFrom()
                                            .failure(new ConflictException(baseGeneration, headGeneration, changed));
                                }))));
    }

    private Uni<List<ConfigObject>> objects(Optional<ConfigManifest> manifest) {
        return manifest.map(repository::objects).orElse(Uni.createFrom().item(List.of()));
    }

    /** Reports that another operator published in between. */
    public static final class ConflictException extends RuntimeException {

        private static final long serialVersionUID = 1L;

        private final transient List<String> changed;

        ConflictException(long baseGeneration, long headGeneration, List<String> changed) {
            super("generation %d is in force, not %d; changed since: %s"
                    .formatted(headGeneration, baseGeneration, String.join(", ", changed)));
            this.changed = List.copyOf(changed);
        }

        /**
         * Returns what changed since the base.
         *
         * @return a line for each changed object
         */
        public List<String> changed() {
            return changed;
        }
    }
}
