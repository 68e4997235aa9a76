package badgermux.scale;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import org.HdrHistogram.Histogram;

/**
 * Records when each change of the backend list reaches each dispatcher. Changes are numbered from 1, and the numbers go on when
 * the revisions of discovery restart. Times are of {@link System#nanoTime}. A change is in force in a dispatcher once that
 * dispatcher watches from it or from a later change.
 */
final class ChangePropagation {
    private static final long MAX_RECORDED_MICROS = 600_000_000;

    /** A change, the last time at which it came into force in a dispatcher, and the number of such dispatchers. */
    private static final class Change {
        private final long madeAtNanos;
        private long lastInForceAtNanos;
        private int inForceCount;

        Change(long madeAtNanos) {
            this.madeAtNanos = madeAtNanos;
        }
    }

    private final List<Change> changes = new ArrayList<>();
    /** For each dispatcher the last change that is in force there. */
    private final long[] inForceUpTo;
    /** Whether a dispatcher has started and not yet watched from the newest change. */
    private final boolean[] isStarting;
    /** For each dispatcher the time at which an answer up to a change was first sent. */
    private final List<ConcurrentSkipListMap<Long, Long>> answeredAt = new ArrayList<>();
    private final Histogram untilInForce = new Histogram(MAX_RECORDED_MICROS, 3);

    ChangePropagation(int dispatchers) {
        inForceUpTo = new long[dispatchers];
        isStarting = new boolean[dispatchers];
        Arrays.fill(isStarting, true);
        for (int d = 0; d < dispatchers; d++) {
            answeredAt.add(new ConcurrentSkipListMap<>());
        }
    }

    /** Adds a change and returns its number. */
    synchronized long addChange(long nowNanos) {
        changes.add(new Change(nowNanos));
        return changes.size();
    }

    /** Records that discovery sends an answer that includes all changes up to a number. */
    void recordAnswer(int dispatcher, long change, long nowNanos) {
        answeredAt.get(dispatcher).putIfAbsent(change, nowNanos);
    }

    /** Returns when a change was first sent to a dispatcher; {@link Long#MAX_VALUE} if it was not. */
    long firstSentAtNanos(int dispatcher, long change) {
        Map.Entry<Long, Long> answer = answeredAt.get(dispatcher).ceilingEntry(change);
        return answer == null ? Long.MAX_VALUE : answer.getValue();
    }

    /** Records that a dispatcher watches from a change: this one and all earlier ones are in force there. */
    synchronized void recordWatch(int dispatcher, long since, long nowNanos) {
        for (long c = inForceUpTo[dispatcher] + 1; c <= since; c++) {
            Change change = changes.get((int) c - 1);
            change.lastInForceAtNanos = nowNanos;
            change.inForceCount++;
            untilInForce.recordValue(Math.min(MAX_RECORDED_MICROS, (nowNanos - change.madeAtNanos) / 1_000));
        }
        inForceUpTo[dispatcher] = Math.max(inForceUpTo[dispatcher], since);
        isStarting[dispatcher] &= since < changes.size();
    }

    /** Records that a dispatcher restarts without a list: only answers from now on count for it. */
    synchronized void dispatcherRestarted(int dispatcher) {
        isStarting[dispatcher] = true;
        answeredAt.get(dispatcher).clear();
    }

    /** Clears the recorded times, and returns the number of the next change. */
    synchronized long startMeasuring() {
        untilInForce.reset();
        return changes.size() + 1L;
    }

    /** Returns the number of dispatchers in which all changes are in force. */
    synchronized int upToDateCount() {
        int count = 0;
        for (int d = 0; d < inForceUpTo.length; d++) {
            count += !isStarting[d] && inForceUpTo[d] == changes.size() ? 1 : 0;
        }
        return count;
    }

    /** Returns the number of changes. */
    synchronized long changeCount() {
        return changes.size();
    }

    /** Returns the times from a change until it was in force in a dispatcher, over all dispatchers. */
    synchronized Times untilInForce() {
        return Times.ofMicros(untilInForce);
    }

    /**
     * Returns the times from a change until it was in force in the last dispatcher, for all changes from {@code first} on. For
     * changes before {@code notBeforeNanos} the time starts there.
     */
    synchronized Times untilInForceEverywhere(long first, long notBeforeNanos) {
        Histogram last = new Histogram(MAX_RECORDED_MICROS, 3);
        for (long c = first; c <= changes.size(); c++) {
            Change change = changes.get((int) c - 1);
            if (change.inForceCount == inForceUpTo.length && change.lastInForceAtNanos >= notBeforeNanos) {
                last.recordValue(Math.min(MAX_RECORDED_MICROS,
                    (change.lastInForceAtNanos - Math.max(change.madeAtNanos, notBeforeNanos)) / 1_000));
            }
        }
        return Times.ofMicros(last);
    }

    /** Returns the number of changes, from {@code first} on, that are not in force in all dispatchers. */
    synchronized long notInForceCount(long first) {
        return changes.subList((int) first - 1, changes.size()).stream().filter(c -> c.inForceCount < inForceUpTo.length).count();
    }
}
