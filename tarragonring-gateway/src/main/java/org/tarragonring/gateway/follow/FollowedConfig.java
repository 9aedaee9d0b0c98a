package org.tarragonring.gateway.follow;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;

import org.tarragonring.objects.StoredObject;
import org.tarragonring.policy.config.ServingConfig;

/**
 * Holds the newest version of the configuration that could be decoded.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class FollowedConfig {

    private final String key;
    private final Function<StoredObject, Optional<ServingConfig>> decoder;
    private final Consumer<ServingConfig> onActivated;
    private Optional<ServingConfig> current = Optional.empty();
    private boolean storedVersionReadable = true;

    /**
     * Creates an instance without a configuration.
     *
     * @param key the key of the configuration in the store, not null
     * @param decoder decodes a stored configuration; returns empty if it cannot be read; not null
     * @param onActivated receives each configuration when it has come into force, not null
     */
    public FollowedConfig(
            String key, Function<StoredObject, Optional<ServingConfig>> decoder, Consumer<ServingConfig> onActivated) {
        this.key = Objects.requireNonNull(key, "key");
        this.decoder = Objects.requireNonNull(decoder, "decoder");
        this.onActivated = Objects.requireNonNull(onActivated, "onActivated");
    }

    /**
     * Puts a stored configuration in force, unless it cannot be read or a later version is in force.
     *
     * @param object an object that was stored under the prefix of the configuration; others than the configuration are
     *     ignored; not null
     */
    public void onChanged(StoredObject object) {
        if (!object.key().equals(key)) {
            return;
        }
        Optional<ServingConfig> decoded = decoder.apply(object);
        storedVersionReadable = decoded.isPresent();
        if (decoded.isPresent()
                && (current.isEmpty() || current.get().version() < decoded.get().version())) {
            current = decoded;
            onActivated.accept(decoded.get());
        }
    }

    /**
     * Returns the configuration in force.
     *
     * @return the newest version that could be read, or empty if there was none yet
     */
    public Optional<ServingConfig> current() {
        return current;
    }

    /**
     * Checks if the version that is stored could be read.
     *
     * @return false if the configuration in force may lack changes that the stored version has
     */
    public boolean isStoredVersionReadable() {
        return storedVersionReadable;
    }
}
