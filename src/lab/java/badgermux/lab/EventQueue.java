package badgermux.lab;

import java.util.PriorityQueue;

/** A queue of events in virtual time, in microseconds. Events of the same time run in the order in which they were scheduled. */
final class EventQueue {
    private record Event(long timeMicros, long sequence, Runnable action) implements Comparable<Event> {
        @Override public int compareTo(Event other) {
            return timeMicros != other.timeMicros ? Long.compare(timeMicros, other.timeMicros)
                : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowMicros;
    private long nextSequence;

    long nowMicros() {
        return nowMicros;
    }

    /** Schedules an action at a time; a time in the past means now. */
    void scheduleAt(long timeMicros, Runnable action) {
        events.add(new Event(Math.max(nowMicros, timeMicros), nextSequence++, action));
    }

    void scheduleAfter(long delayMicros, Runnable action) {
        scheduleAt(nowMicros + Math.max(0, delayMicros), action);
    }

    /** Runs all events up to a time, and sets the clock to it. */
    void runUntil(long endMicros) {
        while (!events.isEmpty() && events.peek().timeMicros <= endMicros) {
            Event next = events.poll();
            nowMicros = next.timeMicros;
            next.action.run();
        }
        nowMicros = endMicros;
    }
}
