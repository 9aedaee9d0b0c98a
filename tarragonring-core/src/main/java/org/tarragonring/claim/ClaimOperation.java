package org.tarragonring.claim;

import java.util.Map;

import org.tarragonring.objects.ClaimRecord.Claim;

/** An idempotent change of one claim: applying it twice has the same effect as applying it once. */
sealed interface ClaimOperation {

    /**
     * The maximum size of a stored response body. A larger response is not stored, so that the outcome of the claim
     * stays unknown to later attempts.
     */
    int MAX_RESPONSE_BYTES = 8192;

    /** Applies the change to the claims of a bucket and returns its outcome. */
    ClaimOutcome apply(Map<String, Claim> claims, long nowMillis);

    private static ClaimOutcome outcome(ClaimOutcome.Kind kind) {
        return new ClaimOutcome(kind, null);
    }

    /** Claims the right to send the call. */
    record Acquire(ClaimKey key, String claimant, String fingerprint, long lifetimeMillis) implements ClaimOperation {

        @Override
        public ClaimOutcome apply(Map<String, Claim> claims, long nowMillis) {
            Claim current = claims.get(key.recordKey());
            boolean available = current == null || current.expiresAtMillis() <= nowMillis || current.released();
            if (available) {
                claims.put(
                        key.recordKey(),
                        new Claim(claimant, fingerprint, nowMillis + lifetimeMillis, false, 0, null, null));
                return outcome(ClaimOutcome.Kind.GRANTED);
            }
            if (!current.fingerprint().equals(fingerprint)) {
                return outcome(ClaimOutcome.Kind.KEY_REUSED);
            }
            if (current.status() != 0) {
                return new ClaimOutcome(
                        ClaimOutcome.Kind.ANSWERED,
                        new StoredResponse(current.status(), current.contentType(), current.body()));
            }
            return outcome(
                    current.claimant().equals(claimant)
                            ? ClaimOutcome.Kind.GRANTED
                            : ClaimOutcome.Kind.OUTCOME_UNKNOWN);
        }
    }

    /** Stores the response of the call, unless it is too large or another attempt holds the claim. */
    record Complete(ClaimKey key, String claimant, StoredResponse response) implements ClaimOperation {

        @Override
        public ClaimOutcome apply(Map<String, Claim> claims, long nowMillis) {
            Claim current = claims.get(key.recordKey());
            boolean fits = response.body().length <= MAX_RESPONSE_BYTES;
            if (current != null && current.claimant().equals(claimant) && !current.released() && fits) {
                claims.put(
                        key.recordKey(),
                        new Claim(
                                claimant,
                                current.fingerprint(),
                                current.expiresAtMillis(),
                                false,
                                response.status(),
                                response.contentType(),
                                response.body()));
            }
            return outcome(ClaimOutcome.Kind.GRANTED);
        }
    }

    /** Releases the claim of an attempt that did not run, so that another attempt can claim the call. */
    record Release(ClaimKey key, String claimant) implements ClaimOperation {

        @Override
        public ClaimOutcome apply(Map<String, Claim> claims, long nowMillis) {
            Claim current = claims.get(key.recordKey());
            if (current != null && current.claimant().equals(claimant) && current.status() == 0) {
                claims.put(
                        key.recordKey(),
                        new Claim(claimant, current.fingerprint(), current.expiresAtMillis(), true, 0, null, null));
            }
            return outcome(ClaimOutcome.Kind.GRANTED);
        }
    }
}
