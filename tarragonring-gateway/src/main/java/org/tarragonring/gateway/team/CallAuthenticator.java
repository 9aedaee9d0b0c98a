package org.tarragonring.gateway.team;

import java.util.Objects;
import java.util.Optional;

import org.tarragonring.policy.config.Route;
import org.tarragonring.policy.config.ServingConfig;
import org.tarragonring.policy.team.ApiKey;
import org.tarragonring.policy.team.KeyFreshness;
import org.tarragonring.policy.team.Team;
import org.tarragonring.policy.team.TeamDirectory;

/**
 * Finds the team of a call by its key.
 *
 * @since 0.2.0
 */
public final class CallAuthenticator {

    private static final int UNAUTHORIZED = 401;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    /** Callers use another entry meanwhile; this one answers its next request to the store within about this time. */
    private static final long UNCONFIRMED_RETRY_AFTER_MILLIS = 1_000;

    private static final Result ANONYMOUS = new Result(Optional.empty(), Optional.empty());
    private static final Result NO_KEY =
            refused(new Refusal(UNAUTHORIZED, "no-key", "the call has no key, which its route requires", 0));
    private static final Result UNKNOWN_KEY =
            refused(new Refusal(UNAUTHORIZED, "unknown-key", "the key of the call is not known", 0));
    private static final Result UNCONFIRMED = refused(new Refusal(
            UNAVAILABLE, "keys-unconfirmed", KeyedCalls.UNCONFIRMED_REASON, UNCONFIRMED_RETRY_AFTER_MILLIS));

    private static final Result NO_TEAM = refused(new Refusal(
            UNAVAILABLE, "key-without-team", "the team of the key cannot be read", UNCONFIRMED_RETRY_AFTER_MILLIS));

    private final KeyFreshness freshness;

    /**
     * Creates an authenticator.
     *
     * @param freshness tells whether the configuration is recent enough for calls with keys, not null
     */
    public CallAuthenticator(KeyFreshness freshness) {
        this.freshness = Objects.requireNonNull(freshness, "freshness");
    }

    /**
     * Decides whether a call may be served, and for which team.
     *
     * <p>A key without which the call would be served as well, on a route for anonymous calls, is dropped if it is not
     * known.
     *
     * @param config the configuration in force, not null
     * @param route the route of the call, not null
     * @param key the key of the call, empty if it has none; not null
     * @return the team or the refusal, neither for an anonymous call or if the configuration has no teams; never null
     */
    public Result authenticate(ServingConfig config, Route route, Optional<ApiKey> key) {
        if (config.teams().isEmpty()) {
            return ANONYMOUS;
        }
        if (key.isEmpty()) {
            return route.allowsAnonymous() ? ANONYMOUS : NO_KEY;
        }
        TeamDirectory teams = config.teams().get();
        Optional<Team> team = teams.find(key.get());
        if (teams.isKeyWithoutTeam(key.get())) {
            return NO_TEAM;
        }
        if (team.isEmpty() && route.allowsAnonymous()) {
            return ANONYMOUS;
        }
        if (!freshness.isFresh()) {
            return UNCONFIRMED;
        }
        return team.isPresent() ? new Result(team, Optional.empty()) : UNKNOWN_KEY;
    }

    private static Result refused(Refusal refusal) {
        return new Result(Optional.empty(), Optional.of(refusal));
    }

    /**
     * The result of the authentication of a call.
     *
     * @param team the team of the call, empty if it is anonymous or refused; not null
     * @param refusal the response to a call that is not served, empty if it may be served; not null
     */
    public record Result(Optional<Team> team, Optional<Refusal> refusal) {}

    /**
     * The response to a call that is not served.
     *
     * @param status the HTTP status code
     * @param code a short text for the log, not null
     * @param reason the reason for callers, which does not contain the key; not null
     * @param retryAfterMillis the time after which the call may be sent again in milliseconds, 0 if it must not be
     */
    public record Refusal(int status, String code, String reason, long retryAfterMillis) {

        /**
         * Creates the response to a call whose team is over its limit.
         *
         * @param retryAfterMillis the time after which there are tokens in milliseconds, above 0
         * @return the response, never null
         */
        public static Refusal overLimit(long retryAfterMillis) {
            return new Refusal(TOO_MANY_REQUESTS, "over-limit", "the team is over its limit", retryAfterMillis);
        }
    }
}
