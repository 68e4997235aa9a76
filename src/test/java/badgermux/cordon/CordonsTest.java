package badgermux.cordon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import badgermux.decide.DispatchPolicy.Backend;
import badgermux.decide.DispatchPolicy.BackendState;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Tests how cordons and absences change the backends of a list. */
class CordonsTest {
    private static final long WARM_UP_MICROS = 100;

    private static Backend listed(BackendState state, long startedAtMicros) {
        return new Backend(1, 0, 0, 0, state, startedAtMicros);
    }

    @Test void cordonedBackendDrainsAndReturnedBackendIsCold() {
        Cordons cordons = new Cordons(WARM_UP_MICROS);
        Backend ready = listed(BackendState.READY, 7);
        assertSame(ready, cordons.applyTo("a", ready));
        cordons.cordon("a", 20);
        cordons.cordon("a", 30);
        assertEquals(listed(BackendState.DRAINING, 7), cordons.applyTo("a", ready));
        assertEquals(listed(BackendState.GONE, 0), cordons.applyTo("a", listed(BackendState.GONE, 0)));
        cordons.uncordon("a", 50);
        assertEquals(listed(BackendState.READY, 50), cordons.applyTo("a", ready));
        assertEquals(60, cordons.applyTo("a", listed(BackendState.READY, 60)).startedAtMicros());
        assertEquals(21, cordons.applyTo("a", listed(BackendState.READY, 21)).startedAtMicros(), "restarted while cordoned");
        assertEquals(50, cordons.applyTo("a", listed(BackendState.READY, 20)).startedAtMicros(),
            "the list does not show the restart yet");
        cordons.uncordon("a", 90);
        assertEquals(50, cordons.applyTo("a", ready).startedAtMicros(),
            "uncordoning a backend that is not cordoned changes nothing");
    }

    /**
     * For any order of calls: one uncordon undoes any number of cordons, a cordoned backend is never READY, and a returned
     * backend counts as started at its last return.
     */
    @Property void repeatedCordonNeedsOneUncordon(@ForAll @Size(max = 40) List<@IntRange(min = 0, max = 11) Integer> calls) {
        Cordons cordons = new Cordons(WARM_UP_MICROS);
        Map<Integer, Boolean> expectedCordoned = new HashMap<>();
        Map<Integer, Long> expectedStart = new HashMap<>();
        for (int i = 0; i < calls.size(); i++) {
            int id = calls.get(i) % 4;
            if (calls.get(i) < 6) {
                cordons.cordon("b" + id, i + 1);
                expectedCordoned.put(id, true);
            } else {
                cordons.uncordon("b" + id, i + 1);
                if (expectedCordoned.getOrDefault(id, false)) {
                    expectedStart.put(id, i + 1L);
                }
                expectedCordoned.put(id, false);
            }
            for (int b = 0; b < 4; b++) {
                Backend result = cordons.applyTo("b" + b, listed(BackendState.READY, 0));
                assertEquals(expectedCordoned.getOrDefault(b, false) ? BackendState.DRAINING : BackendState.READY,
                    result.state());
                assertEquals(expectedStart.getOrDefault(b, 0L), result.startedAtMicros());
            }
        }
    }
}
