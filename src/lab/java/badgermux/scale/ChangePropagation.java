package badgermux.scale;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import org.HdrHistogram.Histogram;

/**
 * What discovery told whom, and when. Changes are numbered on without end, also where discovery's revisions begin anew.
 * Times are {@link System#nanoTime}. A change counts as in force at a dispatcher once its next watch asks from there on.
 */
final class ChangePropagation {
    private static final long MAX_RECORDED_MICROS = 600_000_000;

    private static final class Change {
        private final long madeAtNanos;
        private long lastInForceAtNanos;
        private int inForceCount;

        Change(long at) {
            this.madeAtNanos = at;
        }
    }

    private final List<Change> changes = new ArrayList<>();
    private final long[] inForceUpTo;
    /** Whether a dispatcher has started and not yet asked from the newest change on. */
    private final boolean[] isStarting;
    private final List<ConcurrentSkipListMap<Long, Long>> told = new ArrayList<>();
    private final Histogram each = new Histogram(MAX_RECORDED_MICROS, 3);

    ChangePropagation(int dispatchers) {
        inForceUpTo = new long[dispatchers];
        isStarting = new boolean[dispatchers];
        Arrays.fill(isStarting, true);
        for (int d = 0; d < dispatchers; d++) {
            told.add(new ConcurrentSkipListMap<>());
        }
    }

    /** A change is made; its number, from 1. */
    synchronized long addChange(long now) {
        changes.add(new Change(now));
        return changes.size();
    }

    /** Discovery writes an answer that goes up to a change. */
    void told(int dispatcher, long change, long now) {
        told.get(dispatcher).putIfAbsent(change, now);
    }

    /** When a dispatcher was told of a change; {@link Long#MAX_VALUE} for not yet. */
    long toldAtNanos(int dispatcher, long change) {
        Map.Entry<Long, Long> answer = told.get(dispatcher).ceilingEntry(change);
        return answer == null ? Long.MAX_VALUE : answer.getValue();
    }

    /** A dispatcher asks from a change on: that one and all before it are in force there. */
    synchronized void recordWatch(int dispatcher, long from, long now) {
        for (long c = inForceUpTo[dispatcher] + 1; c <= from; c++) {
            Change change = changes.get((int) c - 1);
            change.lastInForceAtNanos = now;
            change.inForceCount++;
            each.recordValue(Math.min(MAX_RECORDED_MICROS, (now - change.madeAtNanos) / 1_000));
        }
        inForceUpTo[dispatcher] = Math.max(inForceUpTo[dispatcher], from);
        isStarting[dispatcher] &= from < changes.size();
    }

    /** Forgets a dispatcher's place: it starts anew, and what it is told next counts. */
    synchronized void dispatcherRestarted(int dispatcher) {
        isStarting[dispatcher] = true;
        told.get(dispatcher).clear();
    }

    /** Starts the figures anew from the changes that follow; the first of them. */
    synchronized long startMeasuring() {
        each.reset();
        return changes.size() + 1L;
    }

    /** How many dispatchers have all changes in force. */
    synchronized int upToDateCount() {
        int current = 0;
        for (int d = 0; d < inForceUpTo.length; d++) {
            current += !isStarting[d] && inForceUpTo[d] == changes.size() ? 1 : 0;
        }
        return current;
    }

    synchronized long changes() {
        return changes.size();
    }

    synchronized Times each() {
        return Times.ofMicros(each);
    }

    /** From each change on until it was in force in the last dispatcher, or from a later time on (healing) until then. */
    synchronized Times untilInForceEverywhere(long first, long notBefore) {
        Histogram last = new Histogram(MAX_RECORDED_MICROS, 3);
        for (long c = first; c <= changes.size(); c++) {
            Change change = changes.get((int) c - 1);
            if (change.inForceCount == inForceUpTo.length && change.lastInForceAtNanos >= notBefore) {
                last.recordValue(Math.min(MAX_RECORDED_MICROS, (change.lastInForceAtNanos - Math.max(change.madeAtNanos, notBefore)) / 1_000));
            }
        }
        return Times.ofMicros(last);
    }

    /** How many changes from one on are not in force everywhere yet. */
    synchronized long notInForceCount(long first) {
        return changes.subList((int) first - 1, changes.size()).stream().filter(c -> c.inForceCount < inForceUpTo.length).count();
    }
}
