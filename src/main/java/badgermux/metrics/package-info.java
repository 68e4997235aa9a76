/** Counters and gauges. */
package badgermux.metrics;
