/** Callers as a peer: their HTTP interface, from the parsing of a request to the last byte of its answer. */
package org.tarragonring.caller;
