package badgermux.scale;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;

/** Counts broken rules at the workers: sends after the time to stop sending, and work to cold workers over their budget. */
final class RuleCheck {
    private static final long STOP = TimeUnit.MILLISECONDS.toNanos(Layout.STOP_SENDING_MS + Layout.SOCKET_MARGIN_MS);
    private static final long FALL = TimeUnit.MILLISECONDS.toNanos(Layout.FALL_MS);
    private static final long COLD = TimeUnit.MILLISECONDS.toNanos(Layout.COLD_MS);
    private static final int MOST_STORIES = 20;

    /** The work that a cold worker was sent lately, in milliseconds of a slot. */
    static final class Cold {
        private record Work(long at, double ms) { }

        private final ArrayDeque<Work> lately = new ArrayDeque<>();
        private final double meanMs;
        private double sum;
        private boolean fallen;

        Cold(double meanMs) {
            this.meanMs = meanMs;
        }
    }

    private final Ledger ledger;
    private final LongSupplier clock;
    private final LongAdder sends = new LongAdder(), afterDrain = new LongAdder(), overCold = new LongAdder();
    private final LongAdder coldSends = new LongAdder(), drains = new LongAdder();
    private final List<String> stories = new ArrayList<>();

    /** {@code clock} is the ledger's, in nanoseconds. */
    RuleCheck(Ledger ledger, LongSupplier clock) {
        this.ledger = ledger;
        this.clock = clock;
    }

    /** The part of its capacity that a worker has. */
    static double warmth(long coldSince, long now) {
        double part = (now - coldSince) / (double) COLD;
        return coldSince == 0 ? 1 : Math.min(1, Layout.COLD_SHARE + (1 - Layout.COLD_SHARE) * part);
    }

    /** A worker has begun to drain. */
    void drained() {
        drains.increment();
    }

    /** An attempt has come to a worker; {@code drainChange} is the change that told of its drain, 0 for none. */
    void attempt(int dispatcher, int worker, long drainChange) {
        sends.increment();
        long toldAt = drainChange == 0 ? Long.MAX_VALUE : ledger.toldAt(dispatcher, drainChange);
        long late = toldAt == Long.MAX_VALUE ? 0 : clock.getAsLong() - toldAt;
        if (late > STOP) {
            afterDrain.increment();
            story("dispatcher " + dispatcher + " sent to worker " + worker + " " + late / 1_000_000 + " ms after its drain");
        }
    }

    /** Work has come to a worker that started cold; null once it is warm. The slack for chance is that of the lab's nodes. */
    Cold coldWork(Cold cold, int worker, long coldSince, double ms) {
        long now = clock.getAsLong();
        if (now - coldSince > COLD) {
            return null;
        }
        coldSends.increment();
        cold.lately.add(new Cold.Work(now, ms));
        cold.sum += ms;
        while (cold.lately.peek().at() <= now - FALL) {
            cold.sum -= cold.lately.poll().ms();
        }
        double jobs = Layout.FALL_MULTIPLE * Layout.SLOTS * warmth(coldSince, now) * Layout.FALL_MS / cold.meanMs;
        if (!cold.fallen && cold.sum / cold.meanMs > jobs + 3 * Math.sqrt(jobs) + 3) {
            cold.fallen = true;
            overCold.increment();
            story("cold worker " + worker + " was sent " + cold.sum / cold.meanMs + " mean tasks, allowed " + jobs);
        }
        return cold;
    }

    private synchronized void story(String line) {
        if (stories.size() < MOST_STORIES) {
            stories.add(line);
        }
    }

    synchronized ScaleResult.Rules result() {
        return new ScaleResult.Rules(sends.sum(), drains.sum(), coldSends.sum(), afterDrain.sum(), overCold.sum(), List.copyOf(stories));
    }
}
