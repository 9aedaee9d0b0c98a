/** Decides whether a call is accepted, how long it waits and which waiting call goes next. */
package org.tarragonring.admission;
