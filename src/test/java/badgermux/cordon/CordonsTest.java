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

class CordonsTest {
    private static final long WARM_UP_MICROS = 100;

    private static Backend listed(BackendState state, long startedAt) {
        return new Backend(1, 0, 0, 0, state, startedAt);
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
        assertEquals(21, cordons.applyTo("a", listed(BackendState.READY, 21)).startedAtMicros(), "restarted while it was out");
        assertEquals(50, cordons.applyTo("a", listed(BackendState.READY, 20)).startedAtMicros(), "the list is late");
        cordons.uncordon("a", 90);
        assertEquals(50, cordons.applyTo("a", ready).startedAtMicros(), "it was not out");
    }

    /** Whatever comes: a set and not a count; nobody is READY while out; the last return is the start. */
    @Property void repeatedCordonNeedsOneUncordon(@ForAll @Size(max = 40) List<@IntRange(min = 0, max = 11) Integer> calls) {
        Cordons cordons = new Cordons(WARM_UP_MICROS);
        Map<Integer, Boolean> out = new HashMap<>();
        Map<Integer, Long> back = new HashMap<>();
        for (int i = 0; i < calls.size(); i++) {
            int id = calls.get(i) % 4;
            if (calls.get(i) < 6) {
                cordons.cordon("r" + id, i + 1);
                out.put(id, true);
            } else {
                cordons.uncordon("r" + id, i + 1);
                if (out.getOrDefault(id, false)) {
                    back.put(id, i + 1L);
                }
                out.put(id, false);
            }
            for (int r = 0; r < 4; r++) {
                Backend seen = cordons.applyTo("r" + r, listed(BackendState.READY, 0));
                assertEquals(out.getOrDefault(r, false) ? BackendState.DRAINING : BackendState.READY, seen.state());
                assertEquals(back.getOrDefault(r, 0L), seen.startedAtMicros());
            }
        }
    }
}
