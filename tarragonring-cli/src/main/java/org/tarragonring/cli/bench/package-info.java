/** Benchmarks of decisions, calls and control traffic. */
package org.tarragonring.cli.bench;
