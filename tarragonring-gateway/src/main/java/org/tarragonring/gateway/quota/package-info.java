/** Holds the limits of teams over all entries together: asks for tokens and grants them. */
package org.tarragonring.gateway.quota;
