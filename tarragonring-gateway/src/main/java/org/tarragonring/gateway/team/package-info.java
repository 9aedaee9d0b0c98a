/** Finds the team of each call by its key, and refuses calls whose key is not valid. */
package org.tarragonring.gateway.team;
