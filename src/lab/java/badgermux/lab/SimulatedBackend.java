package badgermux.lab;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** A node: slots, a queue in order, a cold start, and the rule by which too much work fells it. */
final class SimulatedBackend {
    static final double COLD_CAPACITY_SHARE = 0.15, OVERLOAD_MULTIPLE = 3;
    static final long OVERLOAD_WINDOW_MICROS = 2_000_000;
    /** Calls put down to chance beyond the allowed N: so many times the root of N, and so many. */
    static final double CHANCE_SLACK = 2;
    private static final int MAX_QUEUED = 16;

    /** A job as it stands at a node. */
    static final class Task {
        final FleetSimulation.Attempt attempt;
        boolean isRunning;
        boolean isCancelled;

        Task(FleetSimulation.Attempt attempt) {
            this.attempt = attempt;
        }
    }

    private record Work(long sentAtMicros, double slotSeconds, int dispatcherNumber) { }

    final long id;
    final int zone;
    final int kind;
    final double speed;
    final int slots = 4;
    final long warmUpMicros;
    boolean isUp = true;
    boolean isSilent;
    boolean isOverloaded;
    long startedAtMicros;
    /** Grows with each loss: what was under way before it is gone. */
    int processNumber;
    double usedSlots;
    double reportedFreeSlots;
    /** The mean work of a job, where a fall allows for chance: see {@link #CHANCE_SLACK}. */
    double meanRequestWork = 1e9;
    /** The worst of work sent over any window against what could be done in it, since the last cold start. */
    double maxOverloadRatio;
    final ArrayDeque<Task> queued = new ArrayDeque<>();
    final List<Task> running = new ArrayList<>();
    private final ArrayDeque<Work> recentWork = new ArrayDeque<>();
    private double recentSlotSeconds;

    SimulatedBackend(long id, int zone, int kind, double speed, long coldFor) {
        this.id = id;
        this.zone = zone;
        this.kind = kind;
        this.speed = speed;
        this.warmUpMicros = coldFor;
        reportedFreeSlots = slots;
    }

    /** The part of its full capacity that it has now. */
    double capacityShare(long now) {
        return startedAtMicros == 0 ? 1 : Math.min(1, COLD_CAPACITY_SHARE + (1 - COLD_CAPACITY_SHARE) * (now - startedAtMicros) / (double) warmUpMicros);
    }

    /** Work that it can do now, in slot-seconds a second. */
    double capacity(long now) {
        return isUp && !isOverloaded ? slots * speed * capacityShare(now) : 0;
    }

    /** Counts work that was sent to it; true where that fells it. */
    boolean recordWork(long now, double work, int from) {
        if (startedAtMicros == 0 || now - startedAtMicros > warmUpMicros) {
            return false;
        }
        recentWork.add(new Work(now, work, from));
        recentSlotSeconds += work;
        while (recentWork.peek().sentAtMicros <= now - OVERLOAD_WINDOW_MICROS) {
            recentSlotSeconds -= recentWork.poll().slotSeconds;
        }
        double could = slots * speed * capacityShare(now) * OVERLOAD_WINDOW_MICROS / 1e6;
        maxOverloadRatio = Math.max(maxOverloadRatio, recentSlotSeconds / could);
        double jobs = OVERLOAD_MULTIPLE * could / meanRequestWork;
        return recentSlotSeconds / meanRequestWork > (meanRequestWork < 1e9 ? jobs + CHANCE_SLACK * Math.sqrt(jobs) + CHANCE_SLACK : jobs);
    }

    /** What was sent lately, for a log. */
    String recentWorkText() {
        StringBuilder story = new StringBuilder();
        recentWork.forEach(work -> story.append(String.format(java.util.Locale.ROOT, " %d:%.2f@%.2f", work.dispatcherNumber, work.slotSeconds,
            (work.sentAtMicros - startedAtMicros) / 1e6)));
        return story.toString();
    }

    boolean isFull() {
        return queued.size() >= MAX_QUEUED;
    }

    double freeSlots() {
        return slots - usedSlots - queued.stream().mapToDouble(task -> task.attempt.request.slots).sum();
    }

    /** Loses all that it has. */
    void discardWork() {
        processNumber++;
        queued.clear();
        running.clear();
        usedSlots = 0;
        recentWork.clear();
        recentSlotSeconds = 0;
    }

    void startCold(long now) {
        startedAtMicros = now;
        reportedFreeSlots = slots;
        maxOverloadRatio = 0;
    }
}
