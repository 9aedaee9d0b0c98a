/** Client for calling entries over HTTP, used by the command line, the demo, benchmarks and tests. */
package org.tarragonring.cli.client;
