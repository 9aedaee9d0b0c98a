/** Errors that carry a verdict, which says whether a request may have run. */
package org.tarragonring.errors;
