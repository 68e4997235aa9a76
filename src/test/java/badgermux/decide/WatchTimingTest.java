package badgermux.decide;

import static badgermux.decide.WatchTiming.CONNECT_TIMEOUT_MICROS;
import static badgermux.decide.WatchTiming.MAX_JITTER_FACTOR;
import static badgermux.decide.WatchTiming.MAX_PROPAGATION_MICROS;
import static badgermux.decide.WatchTiming.MAX_RETRY_PAUSE_MICROS;
import static badgermux.decide.WatchTiming.MAX_STALE_REVISIONS_MICROS;
import static badgermux.decide.WatchTiming.RECOVERY_TIMEOUT_MICROS;
import static badgermux.decide.WatchTiming.WATCH_TIMEOUT_MICROS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.decide.DispatchPolicy.ListUpdate;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** The pauses between failed calls to discovery, and the sums in the documentation of {@link WatchTiming}. */
class WatchTimingTest {
    /** What every sum has to leave for the answer itself and for a slow processor. */
    private static final long RESERVE_MICROS = 750_000;

    /** Returns the longest pause that the policy makes after a number of successive failures, with its jitter. */
    private static long longestPause(int maxWatchIntervalMillis, int failures) {
        PolicyFixture fixture = new PolicyFixture();
        fixture.settings.listPushed = false;
        fixture.settings.maxWatchIntervalMicros = maxWatchIntervalMillis * PolicyFixture.MS;
        fixture.start(PolicyFixture.fleet(1));
        long longest = 0;
        for (int i = 0; i < failures; i++) {
            fixture.listBackends(ListUpdate.FAILED);
            long failedAt = fixture.actions.now;
            for (int watches = fixture.actions.watchCount; fixture.actions.watchCount == watches;) {
                fixture.advance(10 * PolicyFixture.MS);
            }
            longest = Math.max(longest, fixture.actions.now - failedAt);
        }
        return longest;
    }

    @Property(tries = 100)
    void pausesStayWithinTheirLimit(@ForAll @IntRange(min = 100, max = 60_000) int maxWatchIntervalMillis,
            @ForAll @IntRange(min = 1, max = 20) int failures) {
        long pause = longestPause(maxWatchIntervalMillis, failures);
        assertTrue(pause <= MAX_RETRY_PAUSE_MICROS * MAX_JITTER_FACTOR + 10 * PolicyFixture.MS, pause + " us");
    }

    /** When the watches of all dispatchers fail together, jitter keeps their next calls from coming together. */
    @Test void jitterSpreadsThePauses() {
        PolicyFixture fixture = new PolicyFixture();
        fixture.settings.listPushed = false;
        fixture.start(PolicyFixture.fleet(1));
        long shortest = Long.MAX_VALUE, longest = 0;
        for (int i = 0; i < 50; i++) {
            fixture.listBackends(ListUpdate.FAILED);
            long failedAt = fixture.actions.now;
            for (int watches = fixture.actions.watchCount; fixture.actions.watchCount == watches;) {
                fixture.advance(10 * PolicyFixture.MS);
            }
            if (i > 1) {
                shortest = Math.min(shortest, fixture.actions.now - failedAt);
                longest = Math.max(longest, fixture.actions.now - failedAt);
            }
        }
        assertTrue(longest - shortest > MAX_RETRY_PAUSE_MICROS * 0.8, shortest + " to " + longest + " us");
    }

    @Test void worstCaseSumsStayWithinThePropagationLimit() {
        long pause = (long) (MAX_RETRY_PAUSE_MICROS * MAX_JITTER_FACTOR);
        long first = (long) (WatchTiming.nextRetryPauseMicros(PolicyFixture.SECOND / 4, Long.MAX_VALUE) * MAX_JITTER_FACTOR);
        long[] sums = {WATCH_TIMEOUT_MICROS + first, RECOVERY_TIMEOUT_MICROS + pause + pause,
            CONNECT_TIMEOUT_MICROS + pause + pause, pause + RECOVERY_TIMEOUT_MICROS + pause, first + MAX_STALE_REVISIONS_MICROS + pause};
        for (long sum : sums) {
            assertTrue(sum <= MAX_PROPAGATION_MICROS - RESERVE_MICROS, sum + " us");
        }
        assertEquals(750_000, first);
    }
}
