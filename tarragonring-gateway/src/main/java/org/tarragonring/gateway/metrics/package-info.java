/** Counters and latency histograms of a gateway. */
package org.tarragonring.gateway.metrics;
