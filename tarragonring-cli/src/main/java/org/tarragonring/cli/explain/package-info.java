/** Reconstructs the path of a call from saved log files. */
package org.tarragonring.cli.explain;
