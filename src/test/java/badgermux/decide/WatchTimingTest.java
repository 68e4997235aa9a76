package badgermux.decide;

import static badgermux.decide.WatchTiming.MAX_STALE_REVISIONS_MICROS;
import static badgermux.decide.WatchTiming.CONNECT_TIMEOUT_MICROS;
import static badgermux.decide.WatchTiming.MAX_RETRY_PAUSE_MICROS;
import static badgermux.decide.WatchTiming.MAX_JITTER_FACTOR;
import static badgermux.decide.WatchTiming.RECOVERY_TIMEOUT_MICROS;
import static badgermux.decide.WatchTiming.MAX_PROPAGATION_MICROS;
import static badgermux.decide.WatchTiming.WATCH_TIMEOUT_MICROS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.decide.DispatchPolicy.ListUpdate;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class WatchTimingTest {
    /** What every sum leaves for the answer that comes in the end, and for a slow core. */
    private static final long LEFT = 750_000;

    /** The longest pause between the failures of the module, as it draws it, at any setting. */
    private static long longestPause(int askEveryMillis, int failures) {
        PolicyFixture rig = new PolicyFixture();
        rig.settings.listPushed = false;
        rig.settings.maxWatchIntervalMicros = askEveryMillis * PolicyFixture.MS;
        rig.start(PolicyFixture.fleet(1));
        long longest = 0;
        for (int i = 0; i < failures; i++) {
            rig.listBackends(ListUpdate.FAILED);
            long before = rig.actions.now;
            for (int watches = rig.actions.watchCount; rig.actions.watchCount == watches;) {
                rig.advance(10 * PolicyFixture.MS);
            }
            longest = Math.max(longest, rig.actions.now - before);
        }
        return longest;
    }

    @Property(tries = 100) void noPauseIsLongerThanTheSumsAllow(@ForAll @IntRange(min = 100, max = 60_000) int askEveryMillis,
            @ForAll @IntRange(min = 1, max = 20) int failures) {
        long pause = longestPause(askEveryMillis, failures);
        assertTrue(pause <= MAX_RETRY_PAUSE_MICROS * MAX_JITTER_FACTOR + 10 * PolicyFixture.MS, pause + " us");
    }

    /** All watches break together: the calls after it are spread over a longest pause, and do not come together. */
    @Test void pausesDifferFromFailureToFailure() {
        PolicyFixture rig = new PolicyFixture();
        rig.settings.listPushed = false;
        rig.start(PolicyFixture.fleet(1));
        long least = Long.MAX_VALUE, most = 0;
        for (int i = 0; i < 50; i++) {
            rig.listBackends(ListUpdate.FAILED);
            long before = rig.actions.now;
            for (int watches = rig.actions.watchCount; rig.actions.watchCount == watches;) {
                rig.advance(10 * PolicyFixture.MS);
            }
            if (i > 1) {
                least = Math.min(least, rig.actions.now - before);
                most = Math.max(most, rig.actions.now - before);
            }
        }
        assertTrue(most - least > MAX_RETRY_PAUSE_MICROS * 0.8, least + " to " + most + " us");
    }

    @Test void aChangeArrivesInTimeWhateverHappenedBefore() {
        long pause = (long) (MAX_RETRY_PAUSE_MICROS * MAX_JITTER_FACTOR);
        long first = (long) (WatchTiming.nextRetryPauseMicros(PolicyFixture.SECOND / 4, Long.MAX_VALUE) * MAX_JITTER_FACTOR);
        long[] sums = {WATCH_TIMEOUT_MICROS + first, RECOVERY_TIMEOUT_MICROS + pause + pause, CONNECT_TIMEOUT_MICROS + pause + pause,
            pause + RECOVERY_TIMEOUT_MICROS + pause, first + MAX_STALE_REVISIONS_MICROS + pause};
        for (long sum : sums) {
            assertTrue(sum <= MAX_PROPAGATION_MICROS - LEFT, sum + " us");
        }
        assertEquals(750_000, first);
    }
}
