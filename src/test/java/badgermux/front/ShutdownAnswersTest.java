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
class ShutdownAnswersTest {
    private static final long EARLIEST = 1_650_000;
    private static final long DUE = 3_300_000;

    /** One end of a process. */
    private static final class Shutdown {
        private final Deadlines deadlines = new Deadlines(() -> now(), at -> alarm(at), new Metrics(List.of()));
        private final ShutdownAnswers answers =
            new ShutdownAnswers(deadlines, this::now, () -> open(), this::answer, EARLIEST, DUE);
        private final long cost;
        private long now;
        private long alarmAt = Long.MAX_VALUE;
        private int open;
        private long firstAt = -1;
        private long lastAt;

        Shutdown(int open, long cost) {
            this.open = open;
            this.cost = cost;
        }

        private long now() {
            return now;
        }

        private int open() {
            return open;
        }

        private void alarm(long at) {
            alarmAt = at;
        }

        private void answer(int most) {
            firstAt = firstAt < 0 ? now : firstAt;
            int answered = Math.min(most, open);
            open -= answered;
            now += answered * cost;
            lastAt = now;
        }

        Shutdown play() {
            answers.start();
            while (alarmAt < Long.MAX_VALUE && now < 5 * DUE) {
                now = Math.max(now, alarmAt);
                alarmAt = Long.MAX_VALUE;
                deadlines.runDue();
            }
            return this;
        }
    }

    @Property void allAreOutInTimeWhateverIsOpenOnACoreThatKeepsUp(@ForAll @IntRange(max = 300) int open,
            @ForAll @IntRange(min = 1, max = 5_000) int cost) {
        Shutdown shutdown = new Shutdown(open, cost).play();
        assertEquals(0, shutdown.open);
        assertTrue(shutdown.lastAt <= DUE, shutdown.lastAt + " us");
        assertTrue(shutdown.firstAt < 0 || shutdown.firstAt >= EARLIEST);
    }

    @Test void fewAreNotAnsweredMuchTooEarly() {
        Shutdown shutdown = new Shutdown(4, 1_000).play();
        assertTrue(shutdown.firstAt >= DUE - 4 * ShutdownAnswers.FIRST_COST, shutdown.firstAt + " us");
    }

    @Test void moreThanCanBeAnsweredInTimeBeginAtTheEarliest() {
        Shutdown shutdown = new Shutdown(2_000, 5_000);
        assertFalse(shutdown.answers.hasBegun());
        shutdown.play();
        assertEquals(EARLIEST, shutdown.firstAt);
        assertTrue(shutdown.answers.hasBegun());
        assertEquals(0, shutdown.open);
    }
}
