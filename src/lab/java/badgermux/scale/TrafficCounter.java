package badgermux.scale;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counts messages and HTTP bytes by purpose at the backends and discovery, in both directions, without TCP's overhead. */
final class TrafficCounter {
    enum Purpose { LISTS, PROBES, ATTEMPTS }

    private static final class Sum {
        private final LongAdder messages = new LongAdder();
        private final LongAdder in = new LongAdder();
        private final LongAdder out = new LongAdder();
    }

    /** Messages received from dispatchers, bytes received from them and bytes sent to them. */
    record Bytes(long messages, long in, long out) {
        Bytes minus(Bytes before) {
            return new Bytes(messages - before.messages, in - before.in, out - before.out);
        }
    }

    private final Map<Purpose, Sum> sums = new EnumMap<>(Purpose.class);

    TrafficCounter() {
        for (Purpose purpose : Purpose.values()) {
            sums.put(purpose, new Sum());
        }
    }

    /** Counts a message from a dispatcher. */
    void recordIn(Purpose purpose, long bytes) {
        sums.get(purpose).messages.increment();
        sums.get(purpose).in.add(bytes);
    }

    /** Counts bytes sent to a dispatcher. */
    void recordOut(Purpose purpose, long bytes) {
        sums.get(purpose).out.add(bytes);
    }

    /** Returns the sums since the start. */
    Map<Purpose, Bytes> sums() {
        Map<Purpose, Bytes> bytes = new EnumMap<>(Purpose.class);
        sums.forEach((purpose, sum) -> bytes.put(purpose, new Bytes(sum.messages.sum(), sum.in.sum(), sum.out.sum())));
        return bytes;
    }
}
