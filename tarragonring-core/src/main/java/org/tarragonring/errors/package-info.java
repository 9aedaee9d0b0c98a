/** Failures of calls, each with a verdict that tells whether the request may have run. */
package org.tarragonring.errors;
