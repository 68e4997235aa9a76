package badgermux.core;

import java.util.function.LongSupplier;

/**
 * A monotonic clock in microseconds. It starts at the time of the wall clock, so that Unix times can be compared with it, and
 * then advances with {@link System#nanoTime}.
 */
public final class Clock {
    private final LongSupplier nanoTime;
    private final long wallMicrosAtStart;
    private final long nanosAtStart;

    /** Creates a clock that starts now. */
    public Clock() {
        this(System::nanoTime, System.currentTimeMillis());
    }

    /** Creates a clock that advances with {@code nanoTime} from a Unix time in milliseconds. */
    public Clock(LongSupplier nanoTime, long wallMillisAtStart) {
        this.nanoTime = nanoTime;
        wallMicrosAtStart = wallMillisAtStart * 1000;
        nanosAtStart = nanoTime.getAsLong();
    }

    /** Returns the current time in microseconds; it never decreases. */
    public long nowMicros() {
        return wallMicrosAtStart + (nanoTime.getAsLong() - nanosAtStart) / 1000;
    }

    /** Converts a time on this clock to Unix time in milliseconds. */
    public long toUnixMillis(long micros) {
        return micros / 1000;
    }

    /** Converts a Unix time in milliseconds to a time on this clock; 0 or less, which means long ago, becomes 0. */
    public long fromUnixMillis(double millis) {
        return millis <= 0 ? 0 : Math.round(millis * 1000);
    }
}
