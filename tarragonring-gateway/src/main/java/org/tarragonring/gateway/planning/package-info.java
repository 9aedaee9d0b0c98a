/** Collects demand and plans loads on the entry that plans for all. */
package org.tarragonring.gateway.planning;
