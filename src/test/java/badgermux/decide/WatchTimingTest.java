package badgermux.decide;

import static badgermux.decide.WatchTiming.BEHIND;
import static badgermux.decide.WatchTiming.CONNECT_LIMIT;
import static badgermux.decide.WatchTiming.LONGEST_PAUSE;
import static badgermux.decide.WatchTiming.MOST_JITTER;
import static badgermux.decide.WatchTiming.RECOVERY_LIMIT;
import static badgermux.decide.WatchTiming.TOLD_WITHIN;
import static badgermux.decide.WatchTiming.WATCH_LIMIT;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.decide.Dispatch.ListUpdate;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class WatchTimingTest {
    /** What every sum leaves for the answer that comes in the end, and for a slow core. */
    private static final long LEFT = 750_000;

    /** The longest pause between the failures of the module, as it draws it, at any setting. */
    private static long longestPause(int askEveryMillis, int failures) {
        Rig rig = new Rig();
        rig.settings.listPushed = false;
        rig.settings.askEvery = askEveryMillis * Rig.MS;
        rig.start(Rig.fleet(1));
        long longest = 0;
        for (int i = 0; i < failures; i++) {
            rig.list(ListUpdate.FAILED);
            long before = rig.did.now;
            for (int watches = rig.did.watches; rig.did.watches == watches;) {
                rig.advance(10 * Rig.MS);
            }
            longest = Math.max(longest, rig.did.now - before);
        }
        return longest;
    }

    @Property(tries = 100) void noPauseIsLongerThanTheSumsAllow(@ForAll @IntRange(min = 100, max = 60_000) int askEveryMillis,
            @ForAll @IntRange(min = 1, max = 20) int failures) {
        long pause = longestPause(askEveryMillis, failures);
        assertTrue(pause <= LONGEST_PAUSE * MOST_JITTER + 10 * Rig.MS, pause + " us");
    }

    /** All watches break together: the calls after it are spread over a longest pause, and do not come together. */
    @Test void pausesDifferFromFailureToFailure() {
        Rig rig = new Rig();
        rig.settings.listPushed = false;
        rig.start(Rig.fleet(1));
        long least = Long.MAX_VALUE, most = 0;
        for (int i = 0; i < 50; i++) {
            rig.list(ListUpdate.FAILED);
            long before = rig.did.now;
            for (int watches = rig.did.watches; rig.did.watches == watches;) {
                rig.advance(10 * Rig.MS);
            }
            if (i > 1) {
                least = Math.min(least, rig.did.now - before);
                most = Math.max(most, rig.did.now - before);
            }
        }
        assertTrue(most - least > LONGEST_PAUSE * 0.8, least + " to " + most + " us");
    }

    @Test void aChangeArrivesInTimeWhateverHappenedBefore() {
        long pause = (long) (LONGEST_PAUSE * MOST_JITTER);
        long first = (long) (WatchTiming.grown(Rig.SECOND / 4, Long.MAX_VALUE) * MOST_JITTER);
        long[] sums = {WATCH_LIMIT + first, RECOVERY_LIMIT + pause + pause, CONNECT_LIMIT + pause + pause,
            pause + RECOVERY_LIMIT + pause, first + BEHIND + pause};
        for (long sum : sums) {
            assertTrue(sum <= TOLD_WITHIN - LEFT, sum + " us");
        }
        assertEquals(750_000, first);
    }
}
