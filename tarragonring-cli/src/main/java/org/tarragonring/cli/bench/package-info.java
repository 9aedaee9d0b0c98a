/** Benchmarks of placement decisions, calls and the traffic and state of the control plane. */
package org.tarragonring.cli.bench;
