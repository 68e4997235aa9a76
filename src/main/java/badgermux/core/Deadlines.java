package badgermux.core;

import badgermux.metrics.Metrics;
import badgermux.metrics.Metrics.Count;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/** Every deadline of the process, in one ordered structure; who drives it asks when the next one is due. */
public final class Deadlines {
    /** Something to be done at a time, unless it is cancelled first. */
    public static final class Deadline implements Comparable<Deadline> {
        private final long dueAt;
        private final long sequence;
        private final Runnable task;

        private Deadline(long at, long order, Runnable what) {
            this.dueAt = at;
            this.sequence = order;
            this.task = what;
        }

        @Override public int compareTo(Deadline other) {
            return dueAt != other.dueAt ? Long.compare(dueAt, other.dueAt) : Long.compare(sequence, other.sequence);
        }
    }

    /** Has {@link #runDue} called at a time, and forgets the time it was told before. */
    public interface Alarm {
        void set(long at);
    }

    /** A deadline that runs so much late tells of a standstill, in microseconds. */
    private static final long STALL_THRESHOLD_MICROS = 20_000;
    /** What falls due so much later runs behind the next round of input, in microseconds. */
    private static final long NEXT_ROUND_DELAY_MICROS = 1_000;

    private final TreeSet<Deadline> pending = new TreeSet<>();
    private final LongSupplier clock;
    private final Alarm alarm;
    private final Metrics metrics;
    private long alarmAt = Long.MAX_VALUE;
    private long nextSequence;
    /** When the deadline fell due that ran last behind a standstill; cleared behind the next round of input. */
    private long stalledSince = Long.MAX_VALUE;

    public Deadlines(LongSupplier clock, Alarm alarm, Metrics metrics) {
        this.clock = clock;
        this.alarm = alarm;
        this.metrics = metrics;
    }

    public Deadline scheduleAfter(long delay, Runnable what) {
        return scheduleAt(clock.getAsLong() + Math.max(0, delay), what);
    }

    public Deadline scheduleAt(long at, Runnable what) {
        Deadline deadline = new Deadline(at, nextSequence++, what);
        pending.add(deadline);
        updateAlarm();
        return deadline;
    }

    /** Null and deadlines that have passed are skipped. */
    public void cancel(Deadline deadline) {
        if (deadline != null) {
            pending.remove(deadline);
        }
    }

    /**
     * For how long the event loop has stood still before the present round of input, in microseconds; 0 where it has not. What
     * is read now may have come as long ago. A standstill is seen in full only as far as some deadline fell due at its
     * beginning.
     */
    public long stallMicros() {
        long dueSince = pending.isEmpty() ? Long.MAX_VALUE : pending.first().dueAt;
        return Math.max(0, clock.getAsLong() - Math.min(dueSince, stalledSince));
    }

    /** Runs what is due, in order; what falls due meanwhile waits for the next alarm. */
    public void runDue() {
        alarmAt = Long.MAX_VALUE;
        long now = clock.getAsLong();
        if (!pending.isEmpty() && now - pending.first().dueAt > STALL_THRESHOLD_MICROS) {
            recordStall(now);
        }
        try {
            while (!pending.isEmpty() && pending.first().dueAt <= now) {
                runTask(pending.pollFirst());
            }
        } finally {
            updateAlarm();
        }
    }

    /** Until the next round of input has been read: what came during the standstill is read there. */
    private void recordStall(long now) {
        stalledSince = Math.min(stalledSince, pending.first().dueAt);
        scheduleAt(now + NEXT_ROUND_DELAY_MICROS, () -> stalledSince = Long.MAX_VALUE);
    }

    /** Guards against one fault that takes all later deadlines with it; errors, too, such as a stack that overflows. */
    private void runTask(Deadline due) {
        try {
            due.task.run();
        } catch (RuntimeException | Error e) {
            metrics.increment(Count.EXCEPTIONS);
            Logger.error(e, "exception at a deadline");
        }
    }

    private void updateAlarm() {
        if (!pending.isEmpty() && pending.first().dueAt < alarmAt) {
            alarmAt = pending.first().dueAt;
            alarm.set(alarmAt);
        }
    }
}
