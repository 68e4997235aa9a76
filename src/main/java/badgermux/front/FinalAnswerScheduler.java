package badgermux.front;

import badgermux.core.Deadlines;
import java.util.function.IntConsumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * Gives the last answers before the process is killed, in batches, so that all of them are out in time.
 *
 * <p>Each answer takes the event loop some time, on a slow core several milliseconds. So the more requests are open, the
 * sooner it begins; and it goes on in small batches, between which the event loop reads and writes. What an answer costs is
 * measured as it goes.
 */
final class FinalAnswerScheduler {
    /** How many requests are answered at once. */
    static final int BATCH_SIZE = 8;
    /** What an answer is taken to cost before one has been measured: four times what it costs on a whole core, in microseconds. */
    static final long INITIAL_COST_MICROS = 5_000;
    /** How often what is open is counted anew, in microseconds. */
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
     * Makes it; {@link #start} sets it going.
     *
     * @param clock    microseconds
     * @param open     how many requests wait for their final answer
     * @param answer   gives so many of them their final answers at most
     * @param earliest no last answer is given before, however many are open
     * @param due      when all are to be out
     */
    FinalAnswerScheduler(Deadlines deadlines, LongSupplier clock, IntSupplier open, IntConsumer answer, long earliest, long due) {
        this.deadlines = deadlines;
        this.clock = clock;
        this.openRequests = open;
        this.answerRequests = answer;
        this.earliestMicros = earliest;
        this.dueMicros = due;
    }

    /** Counts what is open until it is time, and answers it then. */
    void start() {
        long begin = Math.max(earliestMicros, dueMicros - openRequests.getAsInt() * costMicros);
        long now = clock.getAsLong();
        if (now < begin) {
            deadlines.scheduleAt(Math.min(begin, now + CHECK_INTERVAL_MICROS), this::start);
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
        long startedAt = clock.getAsLong();
        answerRequests.accept(BATCH_SIZE);
        costMicros = Math.max(1, (clock.getAsLong() - startedAt) / Math.max(1, openBefore - openRequests.getAsInt()));
        // Behind what has been read and is to be written meanwhile.
        deadlines.scheduleAfter(0, this::answerBatch);
    }

    /** Whether it has begun: what is taken from then on would be open when the process is killed. */
    boolean hasBegun() {
        return hasBegun;
    }
}
