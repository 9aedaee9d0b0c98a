/** Aggregation of demand and planning of loads, which one entry does for all entries. */
package org.tarragonring.gateway.planning;
