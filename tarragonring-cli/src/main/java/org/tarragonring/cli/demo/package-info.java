/** Runs a whole site in one process: entries, callers, and stand-ins for the external systems. */
package org.tarragonring.cli.demo;
