package badgermux.cordon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import badgermux.decide.Dispatch.Worker;
import badgermux.decide.Dispatch.WorkerState;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class CordonsTest {
    private static final long COLD = 100;

    private static Worker listed(WorkerState state, long startedAt) {
        return new Worker(1, 0, 0, 0, state, startedAt);
    }

    @Test void oneThatIsOutDrainsAndOneThatIsBackIsCold() {
        Cordons cordons = new Cordons(COLD);
        Worker ready = listed(WorkerState.READY, 7);
        assertSame(ready, cordons.seen("a", ready));
        cordons.takeOut("a", 20);
        cordons.takeOut("a", 30);
        assertEquals(listed(WorkerState.DRAINING, 7), cordons.seen("a", ready));
        assertEquals(listed(WorkerState.GONE, 0), cordons.seen("a", listed(WorkerState.GONE, 0)));
        cordons.putBack("a", 50);
        assertEquals(listed(WorkerState.READY, 50), cordons.seen("a", ready));
        assertEquals(60, cordons.seen("a", listed(WorkerState.READY, 60)).startedAt());
        assertEquals(21, cordons.seen("a", listed(WorkerState.READY, 21)).startedAt(), "restarted while it was out");
        assertEquals(50, cordons.seen("a", listed(WorkerState.READY, 20)).startedAt(), "the list is late");
        cordons.putBack("a", 90);
        assertEquals(50, cordons.seen("a", ready).startedAt(), "it was not out");
    }

    /** Whatever comes: a set and not a count; nobody is READY while out; the last return is the start. */
    @Property void aSetAndNotACount(@ForAll @Size(max = 40) List<@IntRange(min = 0, max = 11) Integer> calls) {
        Cordons cordons = new Cordons(COLD);
        Map<Integer, Boolean> out = new HashMap<>();
        Map<Integer, Long> back = new HashMap<>();
        for (int i = 0; i < calls.size(); i++) {
            int id = calls.get(i) % 4;
            if (calls.get(i) < 6) {
                cordons.takeOut("r" + id, i + 1);
                out.put(id, true);
            } else {
                cordons.putBack("r" + id, i + 1);
                if (out.getOrDefault(id, false)) {
                    back.put(id, i + 1L);
                }
                out.put(id, false);
            }
            for (int r = 0; r < 4; r++) {
                Worker seen = cordons.seen("r" + r, listed(WorkerState.READY, 0));
                assertEquals(out.getOrDefault(r, false) ? WorkerState.DRAINING : WorkerState.READY, seen.state());
                assertEquals(back.getOrDefault(r, 0L), seen.startedAt());
            }
        }
    }
}
