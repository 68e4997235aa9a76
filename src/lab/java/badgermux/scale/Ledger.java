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
final class Ledger {
    private static final long LONGEST_US = 600_000_000;

    private static final class Change {
        private final long at;
        private long last;
        private int inForce;

        Change(long at) {
            this.at = at;
        }
    }

    private final List<Change> changes = new ArrayList<>();
    private final long[] since;
    /** Whether a dispatcher has started and not yet asked from the newest change on. */
    private final boolean[] starting;
    private final List<ConcurrentSkipListMap<Long, Long>> told = new ArrayList<>();
    private final Histogram each = new Histogram(LONGEST_US, 3);

    Ledger(int dispatchers) {
        since = new long[dispatchers];
        starting = new boolean[dispatchers];
        Arrays.fill(starting, true);
        for (int d = 0; d < dispatchers; d++) {
            told.add(new ConcurrentSkipListMap<>());
        }
    }

    /** A change is made; its number, from 1. */
    synchronized long change(long now) {
        changes.add(new Change(now));
        return changes.size();
    }

    /** Discovery writes an answer that goes up to a change. */
    void told(int dispatcher, long change, long now) {
        told.get(dispatcher).putIfAbsent(change, now);
    }

    /** When a dispatcher was told of a change; {@link Long#MAX_VALUE} for not yet. */
    long toldAt(int dispatcher, long change) {
        Map.Entry<Long, Long> answer = told.get(dispatcher).ceilingEntry(change);
        return answer == null ? Long.MAX_VALUE : answer.getValue();
    }

    /** A dispatcher asks from a change on: that one and all before it are in force there. */
    synchronized void asks(int dispatcher, long from, long now) {
        for (long c = since[dispatcher] + 1; c <= from; c++) {
            Change change = changes.get((int) c - 1);
            change.last = now;
            change.inForce++;
            each.recordValue(Math.min(LONGEST_US, (now - change.at) / 1_000));
        }
        since[dispatcher] = Math.max(since[dispatcher], from);
        starting[dispatcher] &= from < changes.size();
    }

    /** Forgets a dispatcher's place: it starts anew, and what it is told next counts. */
    synchronized void restarted(int dispatcher) {
        starting[dispatcher] = true;
        told.get(dispatcher).clear();
    }

    /** Starts the figures anew from the changes that follow; the first of them. */
    synchronized long mark() {
        each.reset();
        return changes.size() + 1L;
    }

    /** How many dispatchers have all changes in force. */
    synchronized int current() {
        int current = 0;
        for (int d = 0; d < since.length; d++) {
            current += !starting[d] && since[d] == changes.size() ? 1 : 0;
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
    synchronized Times last(long first, long notBefore) {
        Histogram last = new Histogram(LONGEST_US, 3);
        for (long c = first; c <= changes.size(); c++) {
            Change change = changes.get((int) c - 1);
            if (change.inForce == since.length && change.last >= notBefore) {
                last.recordValue(Math.min(LONGEST_US, (change.last - Math.max(change.at, notBefore)) / 1_000));
            }
        }
        return Times.ofMicros(last);
    }

    /** How many changes from one on are not in force everywhere yet. */
    synchronized long unfinished(long first) {
        return changes.subList((int) first - 1, changes.size()).stream().filter(c -> c.inForce < since.length).count();
    }
}
