/** The command line: the entry process, the operators' commands, stand-ins, the demo and benchmarks. */
package org.tarragonring.cli;
