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
 * Publishes validated configurations and detects concurrent changes by other operators.
 *
 * @since 0.1.0
 */
public final class Publisher {

    private final ConfigRepository repository;

    /**
     * Creates a publisher.
     *
     * @param repository the repository of the generations, not null
     */
    public Publisher(ConfigRepository repository) {
        this.repository = Objects.requireNonNull(repository, "repository");
    }

    /**
     * Publishes a configuration as a new generation.
     *
     * @param configSet the validated configuration, not null
     * @param baseGeneration the generation on which the operator's changes are based, or empty for the active one
     * @param publishId the unique id of this publish operation, not null
     * @return the manifest of the new generation; fails with {@link ConflictException} if the active generation is not
     *     the base
     */
    public Uni<ConfigManifest> publish(ConfigSet configSet, OptionalLong baseGeneration, String publishId) {
        return repository.head().chain(head -> {
            long headGeneration = head.map(ConfigManifest::generation).orElse(0L);
            if (baseGeneration.isPresent() && baseGeneration.getAsLong() != headGeneration) {
                return failWithConflict(baseGeneration.getAsLong());
            }
            return repository
                    .publish(head, publishId, configSet.objects())
                    .onFailure(
                            failure -> failure instanceof StoreException e && e.kind() == StoreException.Kind.CONFLICT)
                    .recoverWithUni(() -> failWithConflict(headGeneration));
        });
    }

    private Uni<ConfigManifest> failWithConflict(long baseGeneration) {
        return repository
                .head()
                .chain(head -> repository
                        .manifest(baseGeneration)
                        .chain(base -> readObjects(base)
                                .chain(before -> readObjects(head).chain(after -> {
                                    long headGeneration =
                                            head.map(ConfigManifest::generation).orElse(0L);
                                    List<String> changed = ConfigDiff.lines(before, after);
                                    return Uni.createFrom()
                                            .failure(new ConflictException(baseGeneration, headGeneration, changed));
                                }))));
    }

    private Uni<List<ConfigObject>> readObjects(Optional<ConfigManifest> manifest) {
        return manifest.map(repository::objects).orElse(Uni.createFrom().item(List.of()));
    }

    /** Thrown if another operator has published a generation since the base generation. */
    public static final class ConflictException extends RuntimeException {

        private static final long serialVersionUID = 1L;

        private final transient List<String> changed;

        ConflictException(long baseGeneration, long headGeneration, List<String> changed) {
            super("generation %d is active, expected generation %d; changes since then: %s"
                    .formatted(headGeneration, baseGeneration, String.join(", ", changed)));
            this.changed = List.copyOf(changed);
        }

        /**
         * Returns the changes since the base generation.
         *
         * @return one line for each changed object, as returned by {@link ConfigDiff#lines}
         */
        public List<String> changed() {
            return changed;
        }
    }
}
