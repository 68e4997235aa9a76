package badgermux.scale;

import org.HdrHistogram.Histogram;

/** The count, percentiles and maximum of a set of times, in milliseconds. */
record Times(long count, double p50Ms, double p99Ms, double p999Ms, double maxMs) {
    private static final double MICROS_TO_MS = 1e-3;

    /** Summarizes a histogram of times in microseconds. */
    static Times ofMicros(Histogram micros) {
        return new Times(micros.getTotalCount(), percentileMs(micros, 50), percentileMs(micros, 99), percentileMs(micros, 99.9),
            micros.getMaxValue() * MICROS_TO_MS);
    }

    private static double percentileMs(Histogram micros, double percentile) {
        return micros.getValueAtPercentile(percentile) * MICROS_TO_MS;
    }
}
