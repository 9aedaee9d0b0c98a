/** Metrics of the gateway: counters, gauges and latency histograms. */
package org.tarragonring.gateway.metrics;
