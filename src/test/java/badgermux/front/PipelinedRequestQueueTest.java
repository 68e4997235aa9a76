package badgermux.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.core.Deadlines;
import badgermux.metrics.Metrics;
import badgermux.metrics.Metrics.Count;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests how connections with several requests share the event loop, on a simulated clock that each request advances. */
class PipelinedRequestQueueTest {
    private static final long REQUEST_COST_MICROS = 300;

    private final Metrics metrics = new Metrics(List.of());
    private final Deadlines deadlines = new Deadlines(this::nowMicros, at -> alarmMicros = at, metrics);
    private final PipelinedRequestQueue queue = new PipelinedRequestQueue(deadlines, this::nowMicros);
    private final List<String> taken = new ArrayList<>();
    private long nowMicros;
    private long alarmMicros;

    private long nowMicros() {
        return nowMicros;
    }

    /** Adds a connection on which a number of requests wait. */
    private void addConnection(String name, int requests) {
        int[] left = {requests};
        queue.add(new PipelinedRequestQueue.Connection() {
            @Override public void takeQueuedRequest() {
                taken.add(name);
                nowMicros += REQUEST_COST_MICROS;
                left[0]--;
                if (left[0] > 0) {
                    queue.add(this);
                }
            }
        });
    }

    /** Runs what is due after the next round of input; returns how long that held the event loop. */
    private long runTurnMicros() {
        nowMicros = Math.max(nowMicros, alarmMicros);
        long start = nowMicros;
        deadlines.runDue();
        return nowMicros - start;
    }

    @Test void connectionsTakeTurns() {
        addConnection("a", 3);
        addConnection("b", 1);
        addConnection("c", 2);
        runTurnMicros();
        assertEquals(List.of("a", "b", "c", "a", "c", "a"), taken);
    }

    /** Guards against a connection that sends requests without end and holds the event loop for as long. */
    @Test void turnIsLimitedHoweverMuchWaits() {
        addConnection("a", 10_000);
        addConnection("b", 10_000);
        for (int turn = 0; turn < 100; turn++) {
            long heldMicros = runTurnMicros();
            assertTrue(heldMicros <= PipelinedRequestQueue.TURN_MICROS + REQUEST_COST_MICROS, heldMicros + " us");
            assertTrue(alarmMicros > nowMicros, "a round of input comes before the next turn");
        }
        assertTrue(taken.size() >= 100 * PipelinedRequestQueue.TURN_MICROS / REQUEST_COST_MICROS, taken.size() + " requests");
    }

    @Test void exceptionOfOneConnectionLeavesTheOthersTheirTurns() {
        queue.add(() -> {
            throw new IllegalStateException("thrown by the test");
        });
        addConnection("a", 1);
        runTurnMicros();
        runTurnMicros();
        assertEquals(List.of("a"), taken);
        assertEquals(1, metrics.get(Count.EXCEPTIONS));
        addConnection("b", 1);
        runTurnMicros();
        assertEquals(List.of("a", "b"), taken, "an empty queue starts again");
    }
}
