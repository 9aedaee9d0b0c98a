/** The HTTP interface for callers, from parsing a request to sending the last byte of its response. */
package org.tarragonring.caller;
