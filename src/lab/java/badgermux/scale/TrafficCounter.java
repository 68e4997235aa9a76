package badgermux.scale;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Bytes and messages by purpose, counted at the stand-ins: application bytes of HTTP, both ways, without TCP's own. */
final class TrafficCounter {
    enum Purpose { LISTS, PROBES, ATTEMPTS }

    private static final class Sum {
        private final LongAdder messages = new LongAdder(), in = new LongAdder(), out = new LongAdder();
    }

    /** What came in from dispatchers and went out to them. */
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

    void recordIn(Purpose purpose, long bytes) {
        sums.get(purpose).messages.increment();
        sums.get(purpose).in.add(bytes);
    }

    void recordOut(Purpose purpose, long bytes) {
        sums.get(purpose).out.add(bytes);
    }

    Map<Purpose, Bytes> sums() {
        Map<Purpose, Bytes> now = new EnumMap<>(Purpose.class);
        sums.forEach((purpose, sum) -> now.put(purpose, new Bytes(sum.messages.sum(), sum.in.sum(), sum.out.sum())));
        return now;
    }
}
