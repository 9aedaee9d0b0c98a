package org.tarragonring.objects;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.tarragonring.log.LogEvent;

/**
 * Keeps the newest era that a store has told in its responses, and notifies listeners when it rises.
 *
 * <p>The era of the first response is no rise: nothing has been read or written before it. A response that tells no era
 * counts as one of the newest era seen, as it says nothing of a loss.
 *
 * <p>Not thread-safe, except for the listeners.
 *
 * @since 0.2.0
 */
public final class StoreEras {

    private final List<Consumer<StoreEra>> listeners = new CopyOnWriteArrayList<>();
    private volatile StoreEra newest = StoreEra.NONE;
    private boolean observed;

    /**
     * Returns the newest era seen.
     *
     * @return the era, {@link StoreEra#NONE} if no response has told one
     */
    public StoreEra newest() {
        return newest;
    }

    /**
     * Checks whether a response was recorded.
     *
     * @return true after the first response, also if it told no era
     */
    public boolean isObserved() {
        return observed;
    }

    /**
     * Adds a listener. It is called before the response that told the new era is passed on.
     *
     * @param listener receives each new era, not null
     */
    public void addListener(Consumer<StoreEra> listener) {
        listeners.add(Objects.requireNonNull(listener, "listener"));
    }

    /**
     * Records the era of a response that tells none.
     *
     * @return the newest era seen
     */
    public StoreEra observeNone() {
        observed = true;
        return newest;
    }

    /**
     * Records the era of a response.
     *
     * @param era the era, not null
     * @return the same era; the response must be discarded if {@link #newest} is after it
     */
    public StoreEra observe(StoreEra era) {
        if (!observed) {
            observed = true;
            newest = era;
        } else if (era.isAfter(newest)) {
            StoreEra previous = newest;
            newest = era;
            LogEvent.STORE_ERA_CHANGED.log(era, previous);
            listeners.forEach(listener -> notify(listener, era));
        }
        return era;
    }

    /** Notifies one listener. A failure concerns only this listener: the others must learn of the era, too. */
    private static void notify(Consumer<StoreEra> listener, StoreEra era) {
        try {
            listener.accept(era);
        } catch (RuntimeException e) {
            LogEvent.UNEXPECTED_FAILURE.log("a listener for eras of the store", e);
        }
    }
}
