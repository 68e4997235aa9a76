package badgermux.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** When all that is open is answered after SIGTERM, in microseconds. */
class FinalAnswerDelayTest {
    @Test void delayFollowsTheCappedDeadline() {
        assertEquals(3_300_000, Frontend.finalAnswerDelayMicros(3_000_000));
        assertEquals(3_300_000, Frontend.finalAnswerDelayMicros(25_000_000));
        assertEquals(1_700_000, Frontend.finalAnswerDelayMicros(1_400_000));
    }

    @Property void delayLeavesAMarginBeforeTheKill(@ForAll @LongRange(min = 1, max = 4_000_000_000_000L) long longest) {
        long kill = Math.min(longest, 3_000_000) + 700_000;
        long last = Frontend.finalAnswerDelayMicros(longest);
        assertTrue(last > 0 && kill - last >= 350_000, last + " of " + kill);
        assertTrue(last <= Frontend.finalAnswerDelayMicros(longest + 1), "the longer the later");
    }
}
