package badgermux.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** What scale runs judge by: a ledger and rules that let a fault pass would make each run a good one. */
class StandInsTest {
    private static final int WORKER = 7;
    private static final double TASK_MS = 1_000;

    private final Ledger ledger = new Ledger(2);
    private long now = TimeUnit.SECONDS.toNanos(100);
    private final RuleCheck rules = new RuleCheck(ledger, () -> now);

    private void pass(long millis) {
        now += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @Test void aSendCountsAgainstWhoWasToldOfTheDrainThatLongAgo() {
        long drain = ledger.change(now);
        ledger.told(0, drain, now);
        pass(Layout.STOP_SENDING_MS + Layout.SOCKET_MARGIN_MS);
        rules.attempt(0, WORKER, drain);
        assertEquals(0, rules.result().afterDrain());
        pass(1);
        rules.attempt(1, WORKER, drain);
        assertEquals(0, rules.result().afterDrain());
        rules.attempt(0, WORKER, drain);
        assertEquals(1, rules.result().afterDrain());
    }

    @Test void aLaterAnswerTellsOfEarlierChangesToo() {
        long drain = ledger.change(now);
        ledger.told(0, ledger.change(now), now);
        pass(Layout.STOP_SENDING_MS + Layout.SOCKET_MARGIN_MS + 1);
        rules.attempt(0, WORKER, drain);
        assertEquals(1, rules.result().afterDrain());
    }

    /** 3 times what 4 slots do at 15% in 2 s is 3.6 tasks of a second; the slack for chance is 3 times its root, and 3. */
    @Test void aColdWorkerHasABudgetOfWorkInAnyWindow() {
        RuleCheck.Cold cold = new RuleCheck.Cold(TASK_MS);
        for (int task = 0; task < 12; task++) {
            cold = rules.coldWork(cold, WORKER, now, TASK_MS);
        }
        assertEquals(0, rules.result().overCold());
        rules.coldWork(cold, WORKER, now, TASK_MS);
        assertEquals(1, rules.result().overCold());
    }

    @Test void workOfAnEarlierWindowIsForgottenAndAWarmWorkerHasNoBudget() {
        long started = now;
        RuleCheck.Cold cold = new RuleCheck.Cold(TASK_MS);
        for (int task = 0; task < 24; task++) {
            if (task == 12) {
                pass(Layout.FALL_MS);
            }
            cold = rules.coldWork(cold, WORKER, started, TASK_MS);
        }
        assertEquals(0, rules.result().overCold());
        assertNotNull(cold);
        pass(Layout.COLD_MS);
        assertNull(rules.coldWork(cold, WORKER, started, TASK_MS));
    }

    @Test void aChangeIsInForceOnceTheLastDispatcherAsksFromThereOn() {
        long first = ledger.change(now);
        pass(10);
        ledger.asks(0, first, now);
        assertEquals(1, ledger.unfinished(first));
        assertEquals(1, ledger.current());
        pass(20);
        ledger.asks(1, first, now);
        assertEquals(0, ledger.unfinished(first));
        assertEquals(2, ledger.current());
        assertEquals(30, ledger.last(first, 0).maxMs(), 0.1);
        assertEquals(20, ledger.last(first, now - TimeUnit.MILLISECONDS.toNanos(20)).maxMs(), 0.1);
        ledger.change(now);
        assertEquals(0, ledger.current());
    }

    @Test void whoStartsAnewIsBehindUntilItAsksFromTheNewestChangeOn() {
        long change = ledger.change(now);
        ledger.asks(0, change, now);
        ledger.asks(1, change, now);
        ledger.restarted(1);
        ledger.asks(1, 0, now);
        assertEquals(1, ledger.current());
        ledger.asks(1, change, now);
        assertEquals(2, ledger.current());
    }
}
