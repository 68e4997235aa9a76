package badgermux.front;

import badgermux.core.Deadlines;
import java.util.function.IntConsumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * Gives all open requests their final answers before the process is killed.
 *
 * <p>Each answer takes the event loop some time, on a slow core several milliseconds. The scheduler therefore begins earlier
 * the more requests are open, and answers in small batches, between which the event loop reads and writes. It measures the
 * cost of an answer with each batch.
 */
final class FinalAnswerScheduler {
    /** Requests that are answered without a pause. */
    static final int BATCH_SIZE = 8;
    /** Assumed cost of an answer before the first batch: four times its cost on a whole core. */
    static final long INITIAL_COST_MICROS = 5_000;
    /** How often the open requests are counted until the first batch. */
    private static final long CHECK_INTERVAL_MICROS = 50_000;

    private final Deadlines deadlines;
    private final LongSupplier clock;
    private final IntSupplier openRequests;
    private final IntConsumer answerRequests;
    private final long earliestMicros;
    private final long dueMicros;
    private long costMicros = INITIAL_COST_MICROS;
    private boolean hasBegun;

    /**
     * Creates a scheduler, which waits for {@link #start}.
     *
     * @param clock          the time in microseconds
     * @param openRequests   the number of requests without a final answer
     * @param answerRequests gives at most that many open requests their final answers
     * @param earliestMicros the earliest time of a final answer, however many requests are open
     * @param dueMicros      when all answers are to be given
     */
    FinalAnswerScheduler(Deadlines deadlines, LongSupplier clock, IntSupplier openRequests, IntConsumer answerRequests,
            long earliestMicros, long dueMicros) {
        this.deadlines = deadlines;
        this.clock = clock;
        this.openRequests = openRequests;
        this.answerRequests = answerRequests;
        this.earliestMicros = earliestMicros;
        this.dueMicros = dueMicros;
    }

    /** Waits until the open requests have to be answered, and answers them. */
    void start() {
        long beginMicros = Math.max(earliestMicros, dueMicros - openRequests.getAsInt() * costMicros);
        long nowMicros = clock.getAsLong();
        if (nowMicros < beginMicros) {
            deadlines.scheduleAt(Math.min(beginMicros, nowMicros + CHECK_INTERVAL_MICROS), this::start);
            return;
        }
        hasBegun = true;
        answerBatch();
    }

    private void answerBatch() {
        int openBefore = openRequests.getAsInt();
        if (openBefore == 0) {
            return;
        }
        long startMicros = clock.getAsLong();
        answerRequests.accept(BATCH_SIZE);
        costMicros = Math.max(1, (clock.getAsLong() - startMicros) / Math.max(1, openBefore - openRequests.getAsInt()));
        // The event loop reads and writes before the next batch.
        deadlines.scheduleAfter(0, this::answerBatch);
    }

    /** Whether answering has begun; a request that is taken from then on would still be open at SIGKILL. */
    boolean hasBegun() {
        return hasBegun;
    }
}
