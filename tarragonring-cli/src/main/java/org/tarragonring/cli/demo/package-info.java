/** A whole site in one process: stand-ins, entries and callers. */
package org.tarragonring.cli.demo;
