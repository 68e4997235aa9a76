package badgermux.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import badgermux.metrics.Metrics;
import badgermux.metrics.Metrics.Count;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests {@link Deadlines} with a manual clock and alarm. */
class DeadlinesTest {
    private long now;
    private long alarmTime = -1;
    private final List<String> executed = new ArrayList<>();
    private final Metrics metrics = new Metrics(List.of());
    private final Deadlines deadlines = new Deadlines(() -> now, at -> alarmTime = at, metrics);

    @Test void runsDueDeadlinesInOrderAndSetsAlarmForNext() {
        deadlines.scheduleAt(30, () -> executed.add("third"));
        deadlines.scheduleAt(10, () -> executed.add("first"));
        deadlines.scheduleAt(10, () -> executed.add("second"));
        assertEquals(10, alarmTime);
        now = 20;
        deadlines.runDue();
        assertEquals(List.of("first", "second"), executed);
        assertEquals(30, alarmTime);
    }

    /** An {@link Error} in one task must neither skip the other due tasks nor leave the alarm unset for later ones. */
    @Test void errorInOneDeadlineDoesNotStopOthers() {
        deadlines.scheduleAt(10, () -> {
            throw new StackOverflowError("thrown by the test");
        });
        deadlines.scheduleAt(10, () -> executed.add("also due"));
        deadlines.scheduleAt(30, () -> executed.add("later"));
        now = 10;
        deadlines.runDue();
        assertEquals(List.of("also due"), executed);
        assertEquals(30, alarmTime);
        assertEquals(1, metrics.get(Count.EXCEPTIONS));
        now = 30;
        deadlines.runDue();
        assertEquals(List.of("also due", "later"), executed);
    }

    @Test void cancelledDeadlineDoesNotRun() {
        Deadlines.Deadline cancelled = deadlines.scheduleAt(10, () -> executed.add("cancelled"));
        deadlines.scheduleAfter(10, () -> executed.add("kept"));
        deadlines.cancel(cancelled);
        deadlines.cancel(null);
        now = 10;
        deadlines.runDue();
        assertEquals(List.of("kept"), executed);
    }
}
