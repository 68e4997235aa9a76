package badgermux.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.core.Deadlines;
import badgermux.metrics.Metrics;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Tests when final answers are given, on a simulated clock that each answer advances by a fixed cost. */
class FinalAnswerSchedulerTest {
    private static final long EARLIEST_MICROS = 1_650_000;
    private static final long DUE_MICROS = 3_300_000;

    /** One simulated shutdown of a process. */
    private static final class Shutdown {
        private final Deadlines deadlines = new Deadlines(() -> nowMicros(), at -> setAlarm(at), new Metrics(List.of()));
        private final FinalAnswerScheduler scheduler = new FinalAnswerScheduler(deadlines, this::nowMicros,
            () -> openRequests(), this::answerRequests, EARLIEST_MICROS, DUE_MICROS);
        private final long costMicros;
        private long nowMicros;
        private long alarmMicros = Long.MAX_VALUE;
        private int openRequests;
        private long firstAnswerMicros = -1;
        private long lastAnswerMicros;

        Shutdown(int openRequests, long costMicros) {
            this.openRequests = openRequests;
            this.costMicros = costMicros;
        }

        private long nowMicros() {
            return nowMicros;
        }

        private int openRequests() {
            return openRequests;
        }

        private void setAlarm(long at) {
            alarmMicros = at;
        }

        private void answerRequests(int limit) {
            firstAnswerMicros = firstAnswerMicros < 0 ? nowMicros : firstAnswerMicros;
            int answered = Math.min(limit, openRequests);
            openRequests -= answered;
            nowMicros += answered * costMicros;
            lastAnswerMicros = nowMicros;
        }

        Shutdown run() {
            scheduler.start();
            while (alarmMicros < Long.MAX_VALUE && nowMicros < 5 * DUE_MICROS) {
                nowMicros = Math.max(nowMicros, alarmMicros);
                alarmMicros = Long.MAX_VALUE;
                deadlines.runDue();
            }
            return this;
        }
    }

    @Property void allRequestsAreAnsweredInTime(@ForAll @IntRange(max = 300) int openRequests,
            @ForAll @IntRange(min = 1, max = 5_000) int costMicros) {
        Shutdown shutdown = new Shutdown(openRequests, costMicros).run();
        assertEquals(0, shutdown.openRequests);
        assertTrue(shutdown.lastAnswerMicros <= DUE_MICROS, shutdown.lastAnswerMicros + " us");
        assertTrue(shutdown.firstAnswerMicros < 0 || shutdown.firstAnswerMicros >= EARLIEST_MICROS);
    }

    @Test void fewRequestsAreNotAnsweredTooEarly() {
        Shutdown shutdown = new Shutdown(4, 1_000).run();
        assertTrue(shutdown.firstAnswerMicros >= DUE_MICROS - 4 * FinalAnswerScheduler.INITIAL_COST_MICROS,
            shutdown.firstAnswerMicros + " us");
    }

    @Test void tooManyRequestsStartAtTheEarliestTime() {
        Shutdown shutdown = new Shutdown(2_000, 5_000);
        assertFalse(shutdown.scheduler.hasBegun());
        shutdown.run();
        assertEquals(EARLIEST_MICROS, shutdown.firstAnswerMicros);
        assertTrue(shutdown.scheduler.hasBegun());
        assertEquals(0, shutdown.openRequests);
    }
}
