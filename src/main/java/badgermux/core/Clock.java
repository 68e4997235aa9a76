package badgermux.core;

/**
 * The module's clock: microseconds that never go back. It starts at the wall clock's time, so that a Unix time lies on
 * it as it is, and runs on the monotonic clock from there.
 */
public final class Clock {
    private final long wallMicrosAtStart = System.currentTimeMillis() * 1000;
    private final long nanosAtStart = System.nanoTime();

    public long nowMicros() {
        return wallMicrosAtStart + (System.nanoTime() - nanosAtStart) / 1000;
    }

    /** A time on this clock as Unix time in milliseconds. */
    public long toUnixMillis(long micros) {
        return micros / 1000;
    }

    /** A Unix time in milliseconds on this clock; 0, which stands for long ago, stays 0. */
    public long fromUnixMillis(double millis) {
        return millis <= 0 ? 0 : Math.round(millis * 1000);
    }
}
