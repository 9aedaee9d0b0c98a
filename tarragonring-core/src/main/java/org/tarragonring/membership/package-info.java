/** Finds out which entries are there, at a constant cost for each entry. */
package org.tarragonring.membership;
