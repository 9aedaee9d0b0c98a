/** Ensures that a non-idempotent call with an idempotency key is sent at most once. */
package org.tarragonring.claim;
