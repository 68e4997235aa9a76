package badgermux.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** What scale runs judge by: a ledger and rules that let a fault pass would make each run a good one. */
class ScaleChecksTest {
    private static final int WORKER = 7;
    private static final double TASK_MS = 1_000;

    private final ChangePropagation ledger = new ChangePropagation(2);
    private long now = TimeUnit.SECONDS.toNanos(100);
    private final SendRules rules = new SendRules(ledger, () -> now);

    private void advanceClock(long millis) {
        now += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @Test void sendCountsOnceItsDispatcherHasKnownTheDrainTooLong() {
        long drain = ledger.addChange(now);
        ledger.told(0, drain, now);
        advanceClock(FleetLayout.STOP_SENDING_MS + FleetLayout.SOCKET_MARGIN_MS);
        rules.recordAttempt(0, WORKER, drain);
        assertEquals(0, rules.result().afterDrain());
        advanceClock(1);
        rules.recordAttempt(1, WORKER, drain);
        assertEquals(0, rules.result().afterDrain());
        rules.recordAttempt(0, WORKER, drain);
        assertEquals(1, rules.result().afterDrain());
    }

    @Test void laterAnswerCoversEarlierChanges() {
        long drain = ledger.addChange(now);
        ledger.told(0, ledger.addChange(now), now);
        advanceClock(FleetLayout.STOP_SENDING_MS + FleetLayout.SOCKET_MARGIN_MS + 1);
        rules.recordAttempt(0, WORKER, drain);
        assertEquals(1, rules.result().afterDrain());
    }

    /** 3 times what 4 slots do at 15% in 2 s is 3.6 tasks of a second; the slack for chance is 3 times its root, and 3. */
    @Test void coldBackendHasWorkBudgetPerWindow() {
        SendRules.ColdBudget cold = new SendRules.ColdBudget(TASK_MS);
        for (int task = 0; task < 12; task++) {
            cold = rules.recordColdWork(cold, WORKER, now, TASK_MS);
        }
        assertEquals(0, rules.result().overCold());
        rules.recordColdWork(cold, WORKER, now, TASK_MS);
        assertEquals(1, rules.result().overCold());
    }

    @Test void budgetForgetsEarlierWindowsAndEndsWhenWarm() {
        long started = now;
        SendRules.ColdBudget cold = new SendRules.ColdBudget(TASK_MS);
        for (int task = 0; task < 24; task++) {
            if (task == 12) {
                advanceClock(FleetLayout.OVERLOAD_WINDOW_MS);
            }
            cold = rules.recordColdWork(cold, WORKER, started, TASK_MS);
        }
        assertEquals(0, rules.result().overCold());
        assertNotNull(cold);
        advanceClock(FleetLayout.WARM_UP_MS);
        assertNull(rules.recordColdWork(cold, WORKER, started, TASK_MS));
    }

    @Test void changeIsInForceOnceLastDispatcherWatchesFromIt() {
        long first = ledger.addChange(now);
        advanceClock(10);
        ledger.recordWatch(0, first, now);
        assertEquals(1, ledger.notInForceCount(first));
        assertEquals(1, ledger.upToDateCount());
        advanceClock(20);
        ledger.recordWatch(1, first, now);
        assertEquals(0, ledger.notInForceCount(first));
        assertEquals(2, ledger.upToDateCount());
        assertEquals(30, ledger.untilInForceEverywhere(first, 0).maxMs(), 0.1);
        assertEquals(20, ledger.untilInForceEverywhere(first, now - TimeUnit.MILLISECONDS.toNanos(20)).maxMs(), 0.1);
        ledger.addChange(now);
        assertEquals(0, ledger.upToDateCount());
    }

    @Test void restartedDispatcherIsBehindUntilItWatchesFromNewestChange() {
        long change = ledger.addChange(now);
        ledger.recordWatch(0, change, now);
        ledger.recordWatch(1, change, now);
        ledger.dispatcherRestarted(1);
        ledger.recordWatch(1, 0, now);
        assertEquals(1, ledger.upToDateCount());
        ledger.recordWatch(1, change, now);
        assertEquals(2, ledger.upToDateCount());
    }
}
