/** Aggregation of demand and planning of loads, which one entry does for all. */
package org.tarragonring.gateway.planning;
