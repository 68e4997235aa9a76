package badgermux.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** Tests how long after SIGTERM the final answers are given, in microseconds. */
class FinalAnswerDelayTest {
    @Test void delayFollowsTheCappedDeadline() {
        assertEquals(3_300_000, Frontend.finalAnswerDelayMicros(3_000_000));
        assertEquals(3_300_000, Frontend.finalAnswerDelayMicros(25_000_000));
        assertEquals(1_700_000, Frontend.finalAnswerDelayMicros(1_400_000));
    }

    @Property
    void delayLeavesAMarginBeforeTheKill(@ForAll @LongRange(min = 1, max = 4_000_000_000_000L) long longestDeadline) {
        long kill = Math.min(longestDeadline, 3_000_000) + 700_000;
        long delay = Frontend.finalAnswerDelayMicros(longestDeadline);
        assertTrue(delay > 0 && kill - delay >= 350_000, delay + " us, SIGKILL after " + kill + " us");
        assertTrue(delay <= Frontend.finalAnswerDelayMicros(longestDeadline + 1), "the delay must grow with the deadline");
    }
}
