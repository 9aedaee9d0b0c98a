package org.tarragonring.claim;

import java.util.Map;

import org.tarragonring.objects.ClaimRecord.Claim;

/** A change of one claim. Applying it twice is the same as applying it once. */
sealed interface ClaimOperation {

    /** The longest answer that is kept; a longer one is remembered without its body. */
    int MAX_ANSWER_BYTES = 8192;

    /** Changes the claims and says what the change came to. */
    ClaimOutcome apply(Map<String, Claim> claims, long nowMillis);

    private static ClaimOutcome outcome(ClaimOutcome.Kind kind) {
        return new ClaimOutcome(kind, null);
    }

    /** Claims the one send. */
    record Take(ClaimKey key, String claimant, String fingerprint, long lifetimeMillis) implements ClaimOperation {

        @Override
        public ClaimOutcome apply(Map<String, Claim> claims, long nowMillis) {
            Claim old = claims.get(key.text());
            boolean free = old == null || old.expiresAtMillis() <= nowMillis || old.released();
            if (free) {
                claims.put(
                        key.text(), new Claim(claimant, fingerprint, nowMillis + lifetimeMillis, false, 0, null, null));
                return outcome(ClaimOutcome.Kind.GRANTED);
            }
            if (!old.fingerprint().equals(fingerprint)) {
                return outcome(ClaimOutcome.Kind.KEY_REUSED);
            }
            if (old.status() != 0) {
                return new ClaimOutcome(
                        ClaimOutcome.Kind.ANSWERED, new StoredAnswer(old.status(), old.contentType(), old.body()));
            }
            return outcome(
                    old.claimant().equals(claimant) ? ClaimOutcome.Kind.GRANTED : ClaimOutcome.Kind.OUTCOME_UNKNOWN);
        }
    }

    /** Stores the answer of the call that ran. */
    record Complete(ClaimKey key, String claimant, StoredAnswer answer) implements ClaimOperation {

        @Override
        public ClaimOutcome apply(Map<String, Claim> claims, long nowMillis) {
            Claim old = claims.get(key.text());
            boolean fits = answer.body().length <= MAX_ANSWER_BYTES;
            if (old != null && old.claimant().equals(claimant) && !old.released() && fits) {
                claims.put(
                        key.text(),
                        new Claim(
                                claimant,
                                old.fingerprint(),
                                old.expiresAtMillis(),
                                false,
                                answer.status(),
                                answer.contentType(),
                                answer.body()));
            }
            return outcome(ClaimOutcome.Kind.GRANTED);
        }
    }

    /** Lets another attempt claim, since this one did not run. */
    record Release(ClaimKey key, String claimant) implements ClaimOperation {

        @Override
        public ClaimOutcome apply(Map<String, Claim> claims, long nowMillis) {
            Claim old = claims.get(key.text());
            if (old != null && old.claimant().equals(claimant) && old.status() == 0) {
                claims.put(
                        key.text(), new Claim(claimant, old.fingerprint(), old.expiresAtMillis(), true, 0, null, null));
            }
            return outcome(ClaimOutcome.Kind.GRANTED);
        }
    }
}
