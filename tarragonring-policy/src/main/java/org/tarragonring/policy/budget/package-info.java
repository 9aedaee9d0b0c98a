/** Limits how often calls are retried, so that retries cannot overload a service. */
package org.tarragonring.policy.budget;
