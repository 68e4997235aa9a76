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
        private final long at;
        private final long order;
        private final Runnable what;

        private Deadline(long at, long order, Runnable what) {
            this.at = at;
            this.order = order;
            this.what = what;
        }

        @Override public int compareTo(Deadline other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    /** Has {@link #runDue} called at a time, and forgets the time it was told before. */
    public interface Alarm {
        void set(long at);
    }

    /** A deadline that runs so much late tells of a standstill, in microseconds. */
    private static final long NOTICEABLE = 20_000;
    /** What falls due so much later runs behind the next round of input, in microseconds. */
    private static final long NEXT_ROUND = 1_000;

    private final TreeSet<Deadline> pending = new TreeSet<>();
    private final LongSupplier clock;
    private final Alarm alarm;
    private final Metrics metrics;
    private long alarmAt = Long.MAX_VALUE;
    private long order;
    /** When the deadline fell due that ran last behind a standstill; cleared behind the next round of input. */
    private long lateSince = Long.MAX_VALUE;

    public Deadlines(LongSupplier clock, Alarm alarm, Metrics metrics) {
        this.clock = clock;
        this.alarm = alarm;
        this.metrics = metrics;
    }

    public Deadline after(long delay, Runnable what) {
        return at(clock.getAsLong() + Math.max(0, delay), what);
    }

    public Deadline at(long at, Runnable what) {
        Deadline deadline = new Deadline(at, order++, what);
        pending.add(deadline);
        setAlarm();
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
    public long lateness() {
        long dueSince = pending.isEmpty() ? Long.MAX_VALUE : pending.first().at;
        return Math.max(0, clock.getAsLong() - Math.min(dueSince, lateSince));
    }

    /** Runs what is due, in order; what falls due meanwhile waits for the next alarm. */
    public void runDue() {
        alarmAt = Long.MAX_VALUE;
        long now = clock.getAsLong();
        if (!pending.isEmpty() && now - pending.first().at > NOTICEABLE) {
            rememberLateness(now);
        }
        try {
            while (!pending.isEmpty() && pending.first().at <= now) {
                run(pending.pollFirst());
            }
        } finally {
            setAlarm();
        }
    }

    /** Until the next round of input has been read: what came during the standstill is read there. */
    private void rememberLateness(long now) {
        lateSince = Math.min(lateSince, pending.first().at);
        at(now + NEXT_ROUND, () -> lateSince = Long.MAX_VALUE);
    }

    /** Guards against one fault that takes all later deadlines with it; errors, too, such as a stack that overflows. */
    private void run(Deadline due) {
        try {
            due.what.run();
        } catch (RuntimeException | Error e) {
            metrics.add(Count.EXCEPTIONS);
            Logger.error(e, "exception at a deadline");
        }
    }

    private void setAlarm() {
        if (!pending.isEmpty() && pending.first().at < alarmAt) {
            alarmAt = pending.first().at;
            alarm.set(alarmAt);
        }
    }
}
