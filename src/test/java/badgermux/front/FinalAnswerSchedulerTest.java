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

/** The last answers on a clock that the test turns: an answer costs the event loop the time that the test says. */
class FinalAnswerSchedulerTest {
    private static final long EARLIEST_MICROS = 1_650_000;
    private static final long DUE_MICROS = 3_300_000;

    /** One end of a process. */
    private static final class Shutdown {
        private final Deadlines deadlines = new Deadlines(() -> now(), at -> alarm(at), new Metrics(List.of()));
        private final FinalAnswerScheduler answers =
            new FinalAnswerScheduler(deadlines, this::now, () -> open(), this::answer, EARLIEST_MICROS, DUE_MICROS);
        private final long costMicros;
        private long now;
        private long alarmMicros = Long.MAX_VALUE;
        private int open;
        private long firstAnswerMicros = -1;
        private long lastAnswerMicros;

        Shutdown(int open, long cost) {
            this.open = open;
            this.costMicros = cost;
        }

        private long now() {
            return now;
        }

        private int open() {
            return open;
        }

        private void alarm(long at) {
            alarmMicros = at;
        }

        private void answer(int most) {
            firstAnswerMicros = firstAnswerMicros < 0 ? now : firstAnswerMicros;
            int answered = Math.min(most, open);
            open -= answered;
            now += answered * costMicros;
            lastAnswerMicros = now;
        }

        Shutdown run() {
            answers.start();
            while (alarmMicros < Long.MAX_VALUE && now < 5 * DUE_MICROS) {
                now = Math.max(now, alarmMicros);
                alarmMicros = Long.MAX_VALUE;
                deadlines.runDue();
            }
            return this;
        }
    }

    @Property void allRequestsAreAnsweredInTime(@ForAll @IntRange(max = 300) int open,
            @ForAll @IntRange(min = 1, max = 5_000) int cost) {
        Shutdown shutdown = new Shutdown(open, cost).run();
        assertEquals(0, shutdown.open);
        assertTrue(shutdown.lastAnswerMicros <= DUE_MICROS, shutdown.lastAnswerMicros + " us");
        assertTrue(shutdown.firstAnswerMicros < 0 || shutdown.firstAnswerMicros >= EARLIEST_MICROS);
    }

    @Test void fewRequestsAreNotAnsweredTooEarly() {
        Shutdown shutdown = new Shutdown(4, 1_000).run();
        assertTrue(shutdown.firstAnswerMicros >= DUE_MICROS - 4 * FinalAnswerScheduler.INITIAL_COST_MICROS, shutdown.firstAnswerMicros + " us");
    }

    @Test void tooManyRequestsStartAtTheEarliestTime() {
        Shutdown shutdown = new Shutdown(2_000, 5_000);
        assertFalse(shutdown.answers.hasBegun());
        shutdown.run();
        assertEquals(EARLIEST_MICROS, shutdown.firstAnswerMicros);
        assertTrue(shutdown.answers.hasBegun());
        assertEquals(0, shutdown.open);
    }
}
