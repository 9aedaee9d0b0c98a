/** Spreads the configuration and notices from entry to entry. */
package org.tarragonring.spread;
