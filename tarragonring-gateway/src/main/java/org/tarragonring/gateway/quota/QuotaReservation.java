package org.tarragonring.gateway.quota;

import java.util.function.LongConsumer;

/**
 * The tokens of one call: asked for, then reserved or refused.
 *
 * <p>Not thread-safe.
 *
 * @since 0.2.0
 */
public final class QuotaReservation {

    private enum State {
        PENDING,
        RESERVED,
        REFUSED,
        GIVEN_BACK
    }

    private final long tokens;
    private final Runnable onGivenBack;
    private State state = State.PENDING;
    private long retryAfterMillis;
    private Runnable onReserved = () -> {};
    private LongConsumer onRefused = millis -> {};

    /**
     * Creates a reservation that is not decided yet.
     *
     * @param tokens the number of tokens
     * @param onGivenBack runs when a call that had the tokens does not need them, not null
     */
    QuotaReservation(long tokens, Runnable onGivenBack) {
        this.tokens = tokens;
        this.onGivenBack = onGivenBack;
    }

    /**
     * Creates the reservation of a call that no limit concerns.
     *
     * @return a new reservation that is granted
     */
    public static QuotaReservation unlimited() {
        QuotaReservation reservation = new QuotaReservation(0, () -> {});
        reservation.state = State.RESERVED;
        return reservation;
    }

    long tokens() {
        return tokens;
    }

    boolean isPending() {
        return state == State.PENDING;
    }

    /**
     * Checks if the call must not be sent.
     *
     * @return true if the team is over its limit
     */
    public boolean isRefused() {
        return state == State.REFUSED;
    }

    /**
     * Runs an action when the tokens are reserved, at once if they are. Does not run it if the call is refused.
     *
     * @param action the action, not null; replaces an earlier one
     */
    public void whenReserved(Runnable action) {
        onReserved = action;
        if (state == State.RESERVED) {
            action.run();
        }
    }

    /**
     * Runs an action when the call is refused, at once if it is.
     *
     * @param action receives the time after which there are tokens in milliseconds, not null; replaces an earlier one
     */
    public void whenRefused(LongConsumer action) {
        onRefused = action;
        if (state == State.REFUSED) {
            action.accept(retryAfterMillis);
        }
    }

    /** Gives the tokens back, as the call has ended without having been sent to a replica. Does nothing the second time. */
    public void giveBack() {
        if (state == State.RESERVED) {
            onGivenBack.run();
        }
        if (state != State.REFUSED) {
            state = State.GIVEN_BACK;
        }
    }

    /** Grants the tokens. The call must be pending. */
    void reserve() {
        state = State.RESERVED;
        onReserved.run();
    }

    /** Refuses the call, unless it has ended already. */
    void refuse(long millis) {
        if (state == State.PENDING) {
            state = State.REFUSED;
            retryAfterMillis = millis;
            onRefused.accept(millis);
        }
    }
}
