/** Assembles the components of an entry from its settings, starts them and shuts them down. */
package org.tarragonring.entry;
