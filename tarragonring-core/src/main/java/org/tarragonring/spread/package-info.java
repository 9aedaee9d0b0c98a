/** Dissemination of the configuration, membership updates and notices among the entries. */
package org.tarragonring.spread;
