/** Decides whether a call is accepted, how long it may wait and which waiting call is next. */
package org.tarragonring.admission;
