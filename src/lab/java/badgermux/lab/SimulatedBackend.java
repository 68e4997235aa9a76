package badgermux.lab;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** A backend with slots and a queue. It starts cold, and fails if it is sent too much work during its warm-up. */
final class SimulatedBackend {
    /** The share of the full capacity that a backend has when it starts. */
    static final double COLD_CAPACITY_SHARE = 0.15;
    /** A cold backend fails if the work sent to it within the window exceeds this multiple of what it can do in that time. */
    static final double OVERLOAD_MULTIPLE = 3;
    static final long OVERLOAD_WINDOW_MICROS = 2_000_000;
    /** Of N allowed requests, this many times the square root of N and this many more are tolerated as chance. */
    static final double CHANCE_SLACK = 2;
    private static final int MAX_QUEUED = 16;

    /** An attempt that has reached the backend. */
    static final class Task {
        final FleetSimulation.Attempt attempt;
        boolean isRunning;
        boolean isCancelled;

        Task(FleetSimulation.Attempt attempt) {
            this.attempt = attempt;
        }
    }

    /** Work that was sent to a cold backend. */
    private record Work(long sentAtMicros, double slotSeconds, int dispatcherNumber) { }

    final long id;
    final int zone;
    final int kind;
    final double speed;
    final int slots = 4;
    final long warmUpMicros;
    boolean isUp = true;
    /** Whether a backend that is down does not answer at all, instead of refusing connections. */
    boolean isSilent;
    boolean isOverloaded;
    /** When the backend last started cold; 0 if it is warm from the start. */
    long startedAtMicros;
    /** Grows with each loss; tasks that were started under an earlier number no longer exist. */
    int processNumber;
    double usedSlots;
    /** The free slots that a load report shows, which may be out of date. */
    double reportedFreeSlots;
    /** The mean work of a request if the overload limit tolerates chance, see {@link #CHANCE_SLACK}; otherwise 1e9. */
    double meanRequestWork = 1e9;
    /** The highest ratio of work sent in a window to the work that could be done in it, since the last cold start. */
    double maxOverloadRatio;
    final ArrayDeque<Task> queued = new ArrayDeque<>();
    final List<Task> running = new ArrayList<>();
    private final ArrayDeque<Work> recentWork = new ArrayDeque<>();
    private double recentSlotSeconds;

    SimulatedBackend(long id, int zone, int kind, double speed, long warmUpMicros) {
        this.id = id;
        this.zone = zone;
        this.kind = kind;
        this.speed = speed;
        this.warmUpMicros = warmUpMicros;
        reportedFreeSlots = slots;
    }

    /** Returns the share of the full capacity that the backend has now, which grows linearly during the warm-up. */
    double capacityShare(long now) {
        return startedAtMicros == 0 ? 1 : Math.min(1,
            COLD_CAPACITY_SHARE + (1 - COLD_CAPACITY_SHARE) * (now - startedAtMicros) / (double) warmUpMicros);
    }

    /** Returns the work that the backend can do now, in slot-seconds per second; 0 if it is down. */
    double capacity(long now) {
        return isUp && !isOverloaded ? slots * speed * capacityShare(now) : 0;
    }

    /** Counts work that was sent to the backend, in slot-seconds. Returns whether it overloads a cold backend. */
    boolean recordWork(long now, double slotSeconds, int dispatcherNumber) {
        if (startedAtMicros == 0 || now - startedAtMicros > warmUpMicros) {
            return false;
        }
        recentWork.add(new Work(now, slotSeconds, dispatcherNumber));
        recentSlotSeconds += slotSeconds;
        while (recentWork.peek().sentAtMicros <= now - OVERLOAD_WINDOW_MICROS) {
            recentSlotSeconds -= recentWork.poll().slotSeconds;
        }
        double possibleSlotSeconds = slots * speed * capacityShare(now) * OVERLOAD_WINDOW_MICROS / 1e6;
        maxOverloadRatio = Math.max(maxOverloadRatio, recentSlotSeconds / possibleSlotSeconds);
        double allowedRequests = OVERLOAD_MULTIPLE * possibleSlotSeconds / meanRequestWork;
        return recentSlotSeconds / meanRequestWork > (meanRequestWork < 1e9
            ? allowedRequests + CHANCE_SLACK * Math.sqrt(allowedRequests) + CHANCE_SLACK : allowedRequests);
    }

    /** Lists the work of the current window for the log: dispatcher, slot-seconds and seconds since the start of each. */
    String recentWorkText() {
        StringBuilder text = new StringBuilder();
        recentWork.forEach(work -> text.append(String.format(java.util.Locale.ROOT, " %d:%.2f@%.2f", work.dispatcherNumber,
            work.slotSeconds, (work.sentAtMicros - startedAtMicros) / 1e6)));
        return text.toString();
    }

    boolean isFull() {
        return queued.size() >= MAX_QUEUED;
    }

    /** Returns the slots that neither running nor queued requests need; negative if the queue needs more than there are. */
    double freeSlots() {
        return slots - usedSlots - queued.stream().mapToDouble(task -> task.attempt.request.slots).sum();
    }

    /** Drops all running and queued requests. */
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
