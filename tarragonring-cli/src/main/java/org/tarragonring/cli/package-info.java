/** The command line: the daemon, the operators' commands, stand-ins, the demo and benchmarks. */
package org.tarragonring.cli;
