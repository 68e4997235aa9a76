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

    /** The work that a cold backend was sent within the overload window, in milliseconds for which it takes a slot. */
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
    private final LongAdder sendsAfterDrain = new LongAdder();
    private final LongAdder coldStartsOverBudget = new LongAdder();
    private final LongAdder coldSends = new LongAdder();
    private final LongAdder drains = new LongAdder();
    private final List<String> violations = new ArrayList<>();

    /** {@code nanoClock} is the clock by which {@code propagation} records its times. */
    SendRules(ChangePropagation propagation, LongSupplier nanoClock) {
        this.propagation = propagation;
        this.nanoClock = nanoClock;
    }

    /** Returns the share of a warm backend's capacity that a backend has; {@code coldSinceNanos} is 0 if it is warm. */
    static double capacityShare(long coldSinceNanos, long nowNanos) {
        double elapsedWarmUpShare = (nowNanos - coldSinceNanos) / (double) WARM_UP_NANOS;
        return coldSinceNanos == 0 ? 1 : Math.min(1,
            FleetLayout.COLD_CAPACITY_SHARE + (1 - FleetLayout.COLD_CAPACITY_SHARE) * elapsedWarmUpShare);
    }

    /** Counts a backend that begins to drain. */
    void recordDrain() {
        drains.increment();
    }

    /** Counts an attempt that a backend received; {@code drainChange} is the change that announced its drain, 0 for none. */
    void recordAttempt(int dispatcher, int backend, long drainChange) {
        sends.increment();
        long knownSinceNanos = drainChange == 0 ? Long.MAX_VALUE : propagation.firstSentAtNanos(dispatcher, drainChange);
        long nanosSinceKnown = knownSinceNanos == Long.MAX_VALUE ? 0 : nanoClock.getAsLong() - knownSinceNanos;
        if (nanosSinceKnown > STOP_SENDING_NANOS) {
            sendsAfterDrain.increment();
            addViolation("dispatcher " + dispatcher + " sent to worker " + backend + " " + nanosSinceKnown / 1_000_000
                + " ms after its drain");
        }
    }

    /**
     * Counts an attempt that a backend received after a cold start, and its work. Returns the budget, or null once the backend
     * is warm. Where N requests are allowed, N + 3 * sqrt(N) + 3 are tolerated, as chance may bring more than N.
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
            coldStartsOverBudget.increment();
            addViolation("cold worker " + backend + " was sent " + budget.recentSlotMillis / budget.meanRunMs
                + " mean tasks, allowed " + allowedRequests);
        }
        return budget;
    }

    /** Keeps the description of a violation, up to a limit. */
    private synchronized void addViolation(String description) {
        if (violations.size() < MAX_VIOLATION_LINES) {
            violations.add(description);
        }
    }

    /** Returns the counts so far. */
    synchronized ScaleResult.Rules result() {
        return new ScaleResult.Rules(sends.sum(), drains.sum(), coldSends.sum(), sendsAfterDrain.sum(),
            coldStartsOverBudget.sum(), List.copyOf(violations));
    }
}
