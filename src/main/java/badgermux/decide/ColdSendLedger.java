package badgermux.decide;

import badgermux.decide.DispatchPolicy.SentWork;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Records what one dispatcher has lately sent to each backend, and which share of the work that it was
 * allowed to send to cold backends it has sent.
 *
 * <p>Sends to all backends are kept, also to warm and unlisted ones: the restart of a backend becomes known
 * late, and a send taken over from the previous process may be to a backend that is listed only later. Times
 * are microseconds on the caller's clock; work is in slot-microseconds. Used by one thread.
 */
final class ColdSendLedger {
    private final Map<Long, List<SentWork>> sendsByBackend = new HashMap<>();
    /** Work that might have been sent to cold backends; old amounts decay. */
    private double allowedSlotMicros;
    /** Work that was sent to cold backends; old amounts decay likewise. */
    private double usedSlotMicros;

    /**
     * Adds a send.
     *
     * @param send its work is 0 if it is not known
     * @param cold whether the backend is known to be cold, so that the send counts as use of the allowance
     */
    void record(SentWork send, boolean cold) {
        sendsByBackend.computeIfAbsent(send.backendId(), id -> new ArrayList<>(1)).add(send);
        usedSlotMicros += cold ? send.slotMicros() : 0;
    }

    /**
     * Returns the share of the allowance that was used lately, 1 at most.
     *
     * @param meanWork the work of a mean request, added to both so that a small allowance gives no extreme
     *                 share
     */
    double usedShare(double meanWork) {
        return Math.min(1, (usedSlotMicros + meanWork) / (allowedSlotMicros + meanWork));
    }

    /**
     * Returns the work sent to a backend later than {@code after}.
     *
     * @param unknownWork what a send counts whose work is not known
     */
    double slotMicrosSince(long backendId, long after, double unknownWork) {
        double sum = 0;
        for (SentWork send : sendsByBackend.getOrDefault(backendId, List.of())) {
            double work = send.slotMicros() > 0 ? send.slotMicros() : unknownWork;
            sum += send.sentAtMicros() > after ? work : 0;
        }
        return sum;
    }

    /** Returns all sends later than {@code after}, in no particular order. */
    List<SentWork> sendsSince(long after) {
        return sendsByBackend.values().stream().flatMap(List::stream)
            .filter(send -> send.sentAtMicros() > after).toList();
    }

    /**
     * Drops old sends, adds to the allowance and lets it and its use decay.
     *
     * @param until       sends up to and including this time are dropped
     * @param moreAllowed work that might have been sent to cold backends since the previous call
     * @param decay       share of the previous allowance and use that no longer counts
     */
    void expire(long until, double moreAllowed, double decay) {
        sendsByBackend.values().forEach(sends -> sends.removeIf(send -> send.sentAtMicros() <= until));
        sendsByBackend.values().removeIf(List::isEmpty);
        allowedSlotMicros = (allowedSlotMicros + moreAllowed) * (1 - decay);
        usedSlotMicros -= usedSlotMicros * decay;
    }
}
