/** Operators as a peer: their object files, publishing, and differences between sets. */
package org.tarragonring.operator;
