package badgermux.discovery;

import java.util.PriorityQueue;

/** Runs tasks in the order of their times on a simulated clock, whose time is in microseconds. */
final class VirtualTime {
    private record Task(long at, long sequence, Runnable action) { }

    private final PriorityQueue<Task> tasks = new PriorityQueue<>((a, b) ->
        a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.sequence, b.sequence));
    private long now;
    private long nextSequence;

    long nowMicros() {
        return now;
    }

    void schedule(long at, Runnable action) {
        tasks.add(new Task(Math.max(now, at), nextSequence++, action));
    }

    /** Runs all tasks up to a time, which is the time afterwards. */
    void runUntil(long end) {
        while (!tasks.isEmpty() && tasks.peek().at <= end) {
            Task task = tasks.poll();
            now = task.at;
            task.action.run();
        }
        now = end;
    }
}
