package badgermux.lab;

import java.util.PriorityQueue;

/** What happens when, in virtual time; events of one time happen in the order in which they were entered. */
final class EventQueue {
    private record Event(long timeMicros, long sequence, Runnable action) implements Comparable<Event> {
        @Override public int compareTo(Event other) {
            return timeMicros != other.timeMicros ? Long.compare(timeMicros, other.timeMicros) : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowMicros;
    private long nextSequence;

    long nowMicros() {
        return nowMicros;
    }

    void scheduleAt(long time, Runnable what) {
        events.add(new Event(Math.max(nowMicros, time), nextSequence++, what));
    }

    void scheduleAfter(long delay, Runnable what) {
        scheduleAt(nowMicros + Math.max(0, delay), what);
    }

    /** Runs until a time, or until nothing is left. */
    void runUntil(long end) {
        while (!events.isEmpty() && events.peek().timeMicros <= end) {
            Event next = events.poll();
            nowMicros = next.timeMicros;
            next.action.run();
        }
        nowMicros = end;
    }
}
