package badgermux.decide;

import badgermux.decide.DispatchPolicy.SentWork;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What one dispatcher sent to each worker lately, and how much of what it might have sent to cold ones it did. Sends to all
 * workers are held, listed or not: that a worker has started anew is told late, and an inherited send may be to one that is
 * listed later. Times are microseconds on the caller's clock, work is microseconds of a slot. Used by one thread.
 */
final class ColdSendLedger {
    private final Map<Long, List<SentWork>> sends = new HashMap<>();
    private double allowedSlotMicros;
    private double used;

    /**
     * Adds a send.
     *
     * @param push the send; one whose work is not known has work 0
     * @param cold whether the worker is known to be cold, so that it counts as use of what was allowed
     */
    void record(SentWork push, boolean cold) {
        sends.computeIfAbsent(push.backendId(), id -> new ArrayList<>(1)).add(push);
        used += cold ? push.slotMicros() : 0;
    }

    /** The part, 1 at most, that was used lately of what was allowed; {@code job} is the work of one job. */
    double used(double job) {
        return Math.min(1, (used + job) / (allowedSlotMicros + job));
    }

    /** The work sent to a worker later than {@code after}; a send of unknown work counts as {@code unknown}. */
    double slotMicrosSince(long worker, long after, double unknown) {
        double sum = 0;
        for (SentWork push : sends.getOrDefault(worker, List.of())) {
            double work = push.slotMicros() > 0 ? push.slotMicros() : unknown;
            sum += push.sentAtMicros() > after ? work : 0;
        }
        return sum;
    }

    /** All sends later than {@code after}, in no particular order. */
    List<SentWork> sendsSince(long after) {
        return sends.values().stream().flatMap(List::stream).filter(push -> push.sentAtMicros() > after).toList();
    }

    /**
     * Goes on to the next round.
     *
     * @param until sends up to and including this time are dropped
     * @param more  what might have been sent to cold workers since the round before
     * @param fades the part of what was allowed and used before that is left out from now on
     */
    void expire(long until, double more, double fades) {
        sends.values().forEach(of -> of.removeIf(push -> push.sentAtMicros() <= until));
        sends.values().removeIf(List::isEmpty);
        allowedSlotMicros = (allowedSlotMicros + more) * (1 - fades);
        used -= used * fades;
    }
}
