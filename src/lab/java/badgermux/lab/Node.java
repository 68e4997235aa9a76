package badgermux.lab;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** A node: slots, a queue in order, a cold start, and the rule by which too much work fells it. */
final class Node {
    static final double COLD_SHARE = 0.15, FALL_MULTIPLE = 3;
    static final long FALL_WINDOW = 2_000_000;
    /** Calls put down to chance beyond the allowed N: so many times the root of N, and so many. */
    static final double CHANCE = 2;
    private static final int MAX_WAITING = 16;

    /** A job as it stands at a node. */
    static final class Task {
        final Fleet.Attempt attempt;
        boolean running;
        boolean dropped;

        Task(Fleet.Attempt attempt) {
            this.attempt = attempt;
        }
    }

    private record Work(long at, double seconds, int from) { }

    final long id;
    final int zone;
    final int kind;
    final double speed;
    final int slots = 4;
    final long coldFor;
    boolean up = true;
    boolean silent;
    boolean fallen;
    long startedAt;
    /** Grows with each loss: what was under way before it is gone. */
    int life;
    double used;
    double reported;
    /** The mean work of a job, where a fall allows for chance: see {@link #CHANCE}. */
    double meanJob = 1e9;
    /** The worst of work sent over any window against what could be done in it, since the last cold start. */
    double worstRatio;
    final ArrayDeque<Task> waiting = new ArrayDeque<>();
    final List<Task> running = new ArrayList<>();
    private final ArrayDeque<Work> lately = new ArrayDeque<>();
    private double latelySum;

    Node(long id, int zone, int kind, double speed, long coldFor) {
        this.id = id;
        this.zone = zone;
        this.kind = kind;
        this.speed = speed;
        this.coldFor = coldFor;
        reported = slots;
    }

    /** The part of its full capacity that it has now. */
    double warmth(long now) {
        return startedAt == 0 ? 1 : Math.min(1, COLD_SHARE + (1 - COLD_SHARE) * (now - startedAt) / (double) coldFor);
    }

    /** Work that it can do now, in slot-seconds a second. */
    double capacity(long now) {
        return up && !fallen ? slots * speed * warmth(now) : 0;
    }

    /** Counts work that was sent to it; true where that fells it. */
    boolean overburdened(long now, double work, int from) {
        if (startedAt == 0 || now - startedAt > coldFor) {
            return false;
        }
        lately.add(new Work(now, work, from));
        latelySum += work;
        while (lately.peek().at <= now - FALL_WINDOW) {
            latelySum -= lately.poll().seconds;
        }
        double could = slots * speed * warmth(now) * FALL_WINDOW / 1e6;
        worstRatio = Math.max(worstRatio, latelySum / could);
        double jobs = FALL_MULTIPLE * could / meanJob;
        return latelySum / meanJob > (meanJob < 1e9 ? jobs + CHANCE * Math.sqrt(jobs) + CHANCE : jobs);
    }

    /** What was sent lately, for a log. */
    String story() {
        StringBuilder story = new StringBuilder();
        lately.forEach(work -> story.append(String.format(java.util.Locale.ROOT, " %d:%.2f@%.2f", work.from, work.seconds,
            (work.at - startedAt) / 1e6)));
        return story.toString();
    }

    boolean isFull() {
        return waiting.size() >= MAX_WAITING;
    }

    double free() {
        return slots - used - waiting.stream().mapToDouble(task -> task.attempt.job.slots).sum();
    }

    /** Loses all that it has. */
    void lose() {
        life++;
        waiting.clear();
        running.clear();
        used = 0;
        lately.clear();
        latelySum = 0;
    }

    void start(long now) {
        startedAt = now;
        reported = slots;
        worstRatio = 0;
    }
}
