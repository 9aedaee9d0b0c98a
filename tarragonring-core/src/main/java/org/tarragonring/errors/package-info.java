/** Failures of calls, each with a verdict that states whether the request may have run. */
package org.tarragonring.errors;
