package badgermux.core;

import badgermux.metrics.Metrics;
import badgermux.metrics.Metrics.Count;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/**
 * All deadlines of the process in one ordered set, driven by one alarm. Times are microseconds on the clock passed in. Not
 * thread-safe.
 */
public final class Deadlines {
    /** A task to run at a time unless it is cancelled first. */
    public static final class Deadline implements Comparable<Deadline> {
        private final long dueAt;
        private final long sequence;
        private final Runnable task;

        private Deadline(long dueAt, long sequence, Runnable task) {
            this.dueAt = dueAt;
            this.sequence = sequence;
            this.task = task;
        }

        @Override public int compareTo(Deadline other) {
            return dueAt != other.dueAt ? Long.compare(dueAt, other.dueAt) : Long.compare(sequence, other.sequence);
        }
    }

    /** Calls {@link #runDue} at the time that was set; setting a new time replaces the previous one. */
    public interface Alarm {
        void set(long at);
    }

    /** A deadline that runs later than this shows that the event loop has stalled. */
    private static final long STALL_THRESHOLD_MICROS = 20_000;
    /** A deadline scheduled this far ahead runs after the next round of input. */
    private static final long NEXT_ROUND_DELAY_MICROS = 1_000;

    private final TreeSet<Deadline> pending = new TreeSet<>();
    private final LongSupplier clock;
    private final Alarm alarm;
    private final Metrics metrics;
    /** The time for which the alarm is set. */
    private long alarmAt = Long.MAX_VALUE;
    private long nextSequence;
    /** The due time of the first deadline that a stall delayed; cleared after the next round of input. */
    private long stalledSince = Long.MAX_VALUE;

    /** Creates an empty set; exceptions in tasks are counted in {@code metrics}. */
    public Deadlines(LongSupplier clock, Alarm alarm, Metrics metrics) {
        this.clock = clock;
        this.alarm = alarm;
        this.metrics = metrics;
    }

    /** Schedules a task after a delay; a negative delay counts as 0. */
    public Deadline scheduleAfter(long delayMicros, Runnable task) {
        return scheduleAt(clock.getAsLong() + Math.max(0, delayMicros), task);
    }

    /** Schedules a task at a time. Tasks with equal times run in the order in which they were scheduled. */
    public Deadline scheduleAt(long at, Runnable task) {
        Deadline deadline = new Deadline(at, nextSequence++, task);
        pending.add(deadline);
        updateAlarm();
        return deadline;
    }

    /**
     * Schedules a task behind the next round of input, in which all input is read that has arrived by now. Called from a task
     * of the event loop; while input is read, the round would be the current one.
     */
    public void scheduleAfterNextRound(Runnable task) {
        scheduleAfter(NEXT_ROUND_DELAY_MICROS, task);
    }

    /** Cancels a deadline; does nothing if it is null or has run. */
    public void cancel(Deadline deadline) {
        if (deadline != null) {
            pending.remove(deadline);
        }
    }

    /**
     * Returns how long the event loop was stalled before the current round of input, in microseconds; 0 if it was not. Input
     * read now may have arrived that long ago. The result is exact only if some deadline was due when the stall began, and
     * too small otherwise.
     */
    public long stallMicros() {
        long dueSince = pending.isEmpty() ? Long.MAX_VALUE : pending.first().dueAt;
        return Math.max(0, clock.getAsLong() - Math.min(dueSince, stalledSince));
    }

    /** Runs all due tasks in order; tasks that become due meanwhile wait for the next alarm. */
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

    /** Records a stall until the next round of input is over, in which the input that arrived during the stall is read. */
    private void recordStall(long now) {
        stalledSince = Math.min(stalledSince, pending.first().dueAt);
        scheduleAfterNextRound(() -> stalledSince = Long.MAX_VALUE);
    }

    /** Runs one task. An exception or error in it, such as a stack overflow, must not prevent later deadlines from running. */
    private void runTask(Deadline due) {
        try {
            due.task.run();
        } catch (RuntimeException | Error e) {
            metrics.increment(Count.EXCEPTIONS);
            Logger.error(e, "Uncaught exception in a deadline task");
        }
    }

    private void updateAlarm() {
        if (!pending.isEmpty() && pending.first().dueAt < alarmAt) {
            alarmAt = pending.first().dueAt;
            alarm.set(alarmAt);
        }
    }
}
