/** A caller of the system, for the command line, the demo, benchmarks and tests. */
package org.tarragonring.cli.client;
