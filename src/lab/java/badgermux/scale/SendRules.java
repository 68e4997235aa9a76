package badgermux.scale;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;

/**
 * Counts violations of the sending rules, as the backends see them: attempts that come too long after a drain was announced,
 * and more work for a cold backend than its budget allows.
 */
final class SendRules {
    private static final long STOP_SENDING_NANOS = TimeUnit.MILLISECONDS
        .toNanos(FleetLayout.STOP_SENDING_MS + FleetLayout.SOCKET_MARGIN_MS);
    private static final long OVERLOAD_WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(FleetLayout.OVERLOAD_WINDOW_MS);
    private static final long WARM_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(FleetLayout.WARM_UP_MS);
    private static final int MAX_VIOLATION_LINES = 20;

    /** The work that a cold backend was sent within the overload window, in milliseconds of a slot. */
    static final class ColdBudget {
        private record Work(long sentAtNanos, double slotMillis) { }

        private final ArrayDeque<Work> recentWork = new ArrayDeque<>();
        private final double meanRunMs;
        private double recentSlotMillis;
        private boolean isExceeded;

        ColdBudget(double meanRunMs) {
            this.meanRunMs = meanRunMs;
        }
    }

    private final ChangePropagation propagation;
    private final LongSupplier nanoClock;
    private final LongAdder sends = new LongAdder();
    private final LongAdder afterDrain = new LongAdder();
    private final LongAdder overCold = new LongAdder();
    private final LongAdder coldSends = new LongAdder();
    private final LongAdder drains = new LongAdder();
    private final List<String> violations = new ArrayList<>();

    /** {@code nanoClock} is the clock of the times in {@code propagation}. */
    SendRules(ChangePropagation propagation, LongSupplier nanoClock) {
        this.propagation = propagation;
        this.nanoClock = nanoClock;
    }

    /** Returns the share of its capacity that a backend has; {@code coldSinceNanos} is 0 for a warm one. */
    static double capacityShare(long coldSinceNanos, long nowNanos) {
        double warmUpShare = (nowNanos - coldSinceNanos) / (double) WARM_UP_NANOS;
        return coldSinceNanos == 0 ? 1 : Math.min(1,
            FleetLayout.COLD_CAPACITY_SHARE + (1 - FleetLayout.COLD_CAPACITY_SHARE) * warmUpShare);
    }

    /** Counts a drain. */
    void recordDrain() {
        drains.increment();
    }

    /** Counts an attempt that a backend received; {@code drainChange} is the change that announced its drain, 0 for none. */
    void recordAttempt(int dispatcher, int backend, long drainChange) {
        sends.increment();
        long knownSinceNanos = drainChange == 0 ? Long.MAX_VALUE : propagation.firstSentAtNanos(dispatcher, drainChange);
        long lateNanos = knownSinceNanos == Long.MAX_VALUE ? 0 : nanoClock.getAsLong() - knownSinceNanos;
        if (lateNanos > STOP_SENDING_NANOS) {
            afterDrain.increment();
            addViolation("dispatcher " + dispatcher + " sent to worker " + backend + " " + lateNanos / 1_000_000
                + " ms after its drain");
        }
    }

    /**
     * Counts work that a backend received after a cold start. Returns its budget, or null once it is warm. Of N allowed
     * requests, 3 times the square root of N and 3 more are tolerated as chance.
     */
    ColdBudget recordColdWork(ColdBudget budget, int backend, long coldSinceNanos, double slotMillis) {
        long nowNanos = nanoClock.getAsLong();
        if (nowNanos - coldSinceNanos > WARM_UP_NANOS) {
            return null;
        }
        coldSends.increment();
        budget.recentWork.add(new ColdBudget.Work(nowNanos, slotMillis));
        budget.recentSlotMillis += slotMillis;
        while (budget.recentWork.peek().sentAtNanos() <= nowNanos - OVERLOAD_WINDOW_NANOS) {
            budget.recentSlotMillis -= budget.recentWork.poll().slotMillis();
        }
        double allowedRequests = FleetLayout.OVERLOAD_MULTIPLE * FleetLayout.SLOTS * capacityShare(coldSinceNanos, nowNanos)
            * FleetLayout.OVERLOAD_WINDOW_MS / budget.meanRunMs;
        if (!budget.isExceeded && budget.recentSlotMillis / budget.meanRunMs
                > allowedRequests + 3 * Math.sqrt(allowedRequests) + 3) {
            budget.isExceeded = true;
            overCold.increment();
            addViolation("cold worker " + backend + " was sent " + budget.recentSlotMillis / budget.meanRunMs
                + " mean tasks, allowed " + allowedRequests);
        }
        return budget;
    }

    /** Keeps the description of a violation, up to a limit. */
    private synchronized void addViolation(String line) {
        if (violations.size() < MAX_VIOLATION_LINES) {
            violations.add(line);
        }
    }

    /** Returns the counts so far. */
    synchronized ScaleResult.Rules result() {
        return new ScaleResult.Rules(sends.sum(), drains.sum(), coldSends.sum(), afterDrain.sum(), overCold.sum(),
            List.copyOf(violations));
    }
}
