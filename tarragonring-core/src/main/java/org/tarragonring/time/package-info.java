/** Clocks and timers, passed in so that tests can move time by hand. */
package org.tarragonring.time;
