package badgermux.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import badgermux.metrics.Metrics;
import badgermux.metrics.Metrics.Count;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The deadlines between a clock and an alarm that the test plays. */
class DeadlinesTest {
    private long now;
    private long alarmTime = -1;
    private final List<String> ran = new ArrayList<>();
    private final Metrics metrics = new Metrics(List.of());
    private final Deadlines deadlines = new Deadlines(() -> now, at -> alarmTime = at, metrics);

    @Test void runsDueDeadlinesInOrderAndSetsAlarmForNext() {
        deadlines.scheduleAt(30, () -> ran.add("third"));
        deadlines.scheduleAt(10, () -> ran.add("first"));
        deadlines.scheduleAt(10, () -> ran.add("second"));
        assertEquals(10, alarmTime);
        now = 20;
        deadlines.runDue();
        assertEquals(List.of("first", "second"), ran);
        assertEquals(30, alarmTime);
    }

    /** An error that no exception handler expects took those due with it, and the alarm for those to come. */
    @Test void errorInOneDeadlineDoesNotStopOthers() {
        deadlines.scheduleAt(10, () -> {
            throw new StackOverflowError("on purpose");
        });
        deadlines.scheduleAt(10, () -> ran.add("due as well"));
        deadlines.scheduleAt(30, () -> ran.add("later"));
        now = 10;
        deadlines.runDue();
        assertEquals(List.of("due as well"), ran);
        assertEquals(30, alarmTime);
        assertEquals(1, metrics.get(Count.EXCEPTIONS));
        now = 30;
        deadlines.runDue();
        assertEquals(List.of("due as well", "later"), ran);
    }

    @Test void cancelledDeadlineDoesNotRun() {
        Deadlines.Deadline cancelled = deadlines.scheduleAt(10, () -> ran.add("cancelled"));
        deadlines.scheduleAfter(10, () -> ran.add("kept"));
        deadlines.cancel(cancelled);
        deadlines.cancel(null);
        now = 10;
        deadlines.runDue();
        assertEquals(List.of("kept"), ran);
    }
}
