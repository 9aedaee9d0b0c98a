/** Finds the path of a call through saved logs. */
package org.tarragonring.cli.explain;
