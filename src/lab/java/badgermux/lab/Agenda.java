package badgermux.lab;

import java.util.PriorityQueue;

/** What happens when, in virtual time; events of one time happen in the order in which they were entered. */
final class Agenda {
    private record Entry(long at, long order, Runnable what) implements Comparable<Entry> {
        @Override public int compareTo(Entry other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Entry> entries = new PriorityQueue<>();
    private long now;
    private long order;

    long now() {
        return now;
    }

    void at(long time, Runnable what) {
        entries.add(new Entry(Math.max(now, time), order++, what));
    }

    void after(long delay, Runnable what) {
        at(now + Math.max(0, delay), what);
    }

    /** Runs until a time, or until nothing is left. */
    void runUntil(long end) {
        while (!entries.isEmpty() && entries.peek().at <= end) {
            Entry next = entries.poll();
            now = next.at;
            next.what.run();
        }
        now = end;
    }
}
