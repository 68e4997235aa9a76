package badgermux.scale;

import org.HdrHistogram.Histogram;

/** Percentiles of times, in milliseconds. */
record Times(long count, double p50Ms, double p99Ms, double p999Ms, double maxMs) {
    private static final double MICROS_TO_MS = 1e-3;

    static Times ofMicros(Histogram micros) {
        return new Times(micros.getTotalCount(), ms(micros, 50), ms(micros, 99), ms(micros, 99.9),
            micros.getMaxValue() * MICROS_TO_MS);
    }

    private static double ms(Histogram micros, double percentile) {
        return micros.getValueAtPercentile(percentile) * MICROS_TO_MS;
    }
}
