package badgermux.scale;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;

/** Counts broken rules at the workers: sends after the time to stop sending, and work to cold workers over their budget. */
final class SendRules {
    private static final long STOP_SENDING_NANOS = TimeUnit.MILLISECONDS.toNanos(FleetLayout.STOP_SENDING_MS + FleetLayout.SOCKET_MARGIN_MS);
    private static final long OVERLOAD_WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(FleetLayout.OVERLOAD_WINDOW_MS);
    private static final long WARM_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(FleetLayout.WARM_UP_MS);
    private static final int MAX_VIOLATION_LINES = 20;

    /** The work that a cold worker was sent lately, in milliseconds of a slot. */
    static final class ColdBudget {
        private record Work(long sentAtNanos, double slotMillis) { }

        private final ArrayDeque<Work> recentWork = new ArrayDeque<>();
        private final double meanRunMs;
        private double recentSlotMillis;
        private boolean isExceeded;

        ColdBudget(double meanMs) {
            this.meanRunMs = meanMs;
        }
    }

    private final ChangePropagation ledger;
    private final LongSupplier nanoClock;
    private final LongAdder sends = new LongAdder(), afterDrain = new LongAdder(), overCold = new LongAdder();
    private final LongAdder coldSends = new LongAdder(), drains = new LongAdder();
    private final List<String> violations = new ArrayList<>();

    /** {@code clock} is the ledger's, in nanoseconds. */
    SendRules(ChangePropagation ledger, LongSupplier clock) {
        this.ledger = ledger;
        this.nanoClock = clock;
    }

    /** The part of its capacity that a worker has. */
    static double capacityShare(long coldSince, long now) {
        double part = (now - coldSince) / (double) WARM_UP_NANOS;
        return coldSince == 0 ? 1 : Math.min(1, FleetLayout.COLD_CAPACITY_SHARE + (1 - FleetLayout.COLD_CAPACITY_SHARE) * part);
    }

    /** A worker has begun to drain. */
    void recordDrain() {
        drains.increment();
    }

    /** An attempt has come to a worker; {@code drainChange} is the change that told of its drain, 0 for none. */
    void recordAttempt(int dispatcher, int worker, long drainChange) {
        sends.increment();
        long toldAt = drainChange == 0 ? Long.MAX_VALUE : ledger.toldAtNanos(dispatcher, drainChange);
        long late = toldAt == Long.MAX_VALUE ? 0 : nanoClock.getAsLong() - toldAt;
        if (late > STOP_SENDING_NANOS) {
            afterDrain.increment();
            addViolation("dispatcher " + dispatcher + " sent to worker " + worker + " " + late / 1_000_000 + " ms after its drain");
        }
    }

    /** Work has come to a worker that started cold; null once it is warm. The slack for chance is that of the lab's nodes. */
    ColdBudget recordColdWork(ColdBudget cold, int worker, long coldSince, double ms) {
        long now = nanoClock.getAsLong();
        if (now - coldSince > WARM_UP_NANOS) {
            return null;
        }
        coldSends.increment();
        cold.recentWork.add(new ColdBudget.Work(now, ms));
        cold.recentSlotMillis += ms;
        while (cold.recentWork.peek().sentAtNanos() <= now - OVERLOAD_WINDOW_NANOS) {
            cold.recentSlotMillis -= cold.recentWork.poll().slotMillis();
        }
        double jobs = FleetLayout.OVERLOAD_MULTIPLE * FleetLayout.SLOTS * capacityShare(coldSince, now) * FleetLayout.OVERLOAD_WINDOW_MS / cold.meanRunMs;
        if (!cold.isExceeded && cold.recentSlotMillis / cold.meanRunMs > jobs + 3 * Math.sqrt(jobs) + 3) {
            cold.isExceeded = true;
            overCold.increment();
            addViolation("cold worker " + worker + " was sent " + cold.recentSlotMillis / cold.meanRunMs + " mean tasks, allowed " + jobs);
        }
        return cold;
    }

    private synchronized void addViolation(String line) {
        if (violations.size() < MAX_VIOLATION_LINES) {
            violations.add(line);
        }
    }

    synchronized ScaleResult.Rules result() {
        return new ScaleResult.Rules(sends.sum(), drains.sum(), coldSends.sum(), afterDrain.sum(), overCold.sum(), List.copyOf(violations));
    }
}
