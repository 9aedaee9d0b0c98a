/** Clocks and timers, as interfaces so that tests can control the time. */
package org.tarragonring.time;
