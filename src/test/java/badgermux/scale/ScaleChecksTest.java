package badgermux.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Checks the rules and the record of list changes by which a scale run fails: if they missed a fault, every run would pass. */
class ScaleChecksTest {
    private static final int BACKEND = 7;
    private static final double REQUEST_MS = 1_000;

    private final ChangePropagation propagation = new ChangePropagation(2);
    private long nowNanos = TimeUnit.SECONDS.toNanos(100);
    private final SendRules rules = new SendRules(propagation, () -> nowNanos);

    private void advanceClock(long millis) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @Test void sendCountsOnceItsDispatcherHasKnownTheDrainTooLong() {
        long drain = propagation.addChange(nowNanos);
        propagation.recordAnswer(0, drain, nowNanos);
        advanceClock(FleetLayout.STOP_SENDING_MS + FleetLayout.SOCKET_MARGIN_MS);
        rules.recordAttempt(0, BACKEND, drain);
        assertEquals(0, rules.result().afterDrain());
        advanceClock(1);
        rules.recordAttempt(1, BACKEND, drain);
        assertEquals(0, rules.result().afterDrain());
        rules.recordAttempt(0, BACKEND, drain);
        assertEquals(1, rules.result().afterDrain());
    }

    @Test void laterAnswerCoversEarlierChanges() {
        long drain = propagation.addChange(nowNanos);
        propagation.recordAnswer(0, propagation.addChange(nowNanos), nowNanos);
        advanceClock(FleetLayout.STOP_SENDING_MS + FleetLayout.SOCKET_MARGIN_MS + 1);
        rules.recordAttempt(0, BACKEND, drain);
        assertEquals(1, rules.result().afterDrain());
    }

    /** 3 times what 4 slots do at 15% in 2 s is 3.6 requests of a second; 3 times its root and 3 more are tolerated as chance. */
    @Test void coldBackendHasWorkBudgetPerWindow() {
        SendRules.ColdBudget budget = new SendRules.ColdBudget(REQUEST_MS);
        for (int request = 0; request < 12; request++) {
            budget = rules.recordColdWork(budget, BACKEND, nowNanos, REQUEST_MS);
        }
        assertEquals(0, rules.result().overCold());
        rules.recordColdWork(budget, BACKEND, nowNanos, REQUEST_MS);
        assertEquals(1, rules.result().overCold());
    }

    @Test void budgetForgetsEarlierWindowsAndEndsWhenWarm() {
        long startedNanos = nowNanos;
        SendRules.ColdBudget budget = new SendRules.ColdBudget(REQUEST_MS);
        for (int request = 0; request < 24; request++) {
            if (request == 12) {
                advanceClock(FleetLayout.OVERLOAD_WINDOW_MS);
            }
            budget = rules.recordColdWork(budget, BACKEND, startedNanos, REQUEST_MS);
        }
        assertEquals(0, rules.result().overCold());
        assertNotNull(budget);
        advanceClock(FleetLayout.WARM_UP_MS);
        assertNull(rules.recordColdWork(budget, BACKEND, startedNanos, REQUEST_MS));
    }

    @Test void changeIsInForceOnceLastDispatcherWatchesFromIt() {
        long first = propagation.addChange(nowNanos);
        advanceClock(10);
        propagation.recordWatch(0, first, nowNanos);
        assertEquals(1, propagation.notInForceCount(first));
        assertEquals(1, propagation.upToDateCount());
        advanceClock(20);
        propagation.recordWatch(1, first, nowNanos);
        assertEquals(0, propagation.notInForceCount(first));
        assertEquals(2, propagation.upToDateCount());
        assertEquals(30, propagation.untilInForceEverywhere(first, 0).maxMs(), 0.1);
        assertEquals(20, propagation.untilInForceEverywhere(first, nowNanos - TimeUnit.MILLISECONDS.toNanos(20)).maxMs(), 0.1);
        propagation.addChange(nowNanos);
        assertEquals(0, propagation.upToDateCount());
    }

    @Test void restartedDispatcherIsBehindUntilItWatchesFromNewestChange() {
        long change = propagation.addChange(nowNanos);
        propagation.recordWatch(0, change, nowNanos);
        propagation.recordWatch(1, change, nowNanos);
        propagation.dispatcherRestarted(1);
        propagation.recordWatch(1, 0, nowNanos);
        assertEquals(1, propagation.upToDateCount());
        propagation.recordWatch(1, change, nowNanos);
        assertEquals(2, propagation.upToDateCount());
    }
}
