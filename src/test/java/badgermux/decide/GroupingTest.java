package badgermux.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.decide.Dispatch.ListUpdate;
import badgermux.decide.Dispatch.Worker;
import badgermux.decide.Dispatch.WorkerState;
import org.junit.jupiter.api.Test;

/** Groups are made anew only when who is in them changes: counted by how often the module asks for a worker's tier. */
class GroupingTest {
    private static final int WORKERS = 60;

    /** Counts how often a worker is put into a group. */
    private static final class CountingZones implements Dispatch.Zones {
        private int asked;

        @Override public int tier(int jobClass, int zone) {
            asked++;
            return 0;
        }
    }

    private final CountingZones zones = new CountingZones();
    private final Rig rig = new Rig();

    GroupingTest() {
        rig.module = new Dispatcher(rig.settings, 7, rig.did, zones);
        rig.list(ListUpdate.FULL, Rig.fleet(WORKERS));
        rig.request(Rig.RENDER);
    }

    /** How often a tier is asked for while this is told and a job is placed after it. */
    private int askedFor(ListUpdate update, Worker... list) {
        int before = zones.asked;
        rig.list(update, list);
        rig.request(Rig.RENDER);
        return zones.asked - before;
    }

    @Test void aStateThatChangesMakesNoGroupAnew() {
        assertEquals(0, askedFor(ListUpdate.DELTA, Rig.worker(7, WorkerState.DRAINING, 0)));
        assertEquals(0, askedFor(ListUpdate.DELTA, Rig.worker(7, WorkerState.GONE, 0)));
        assertEquals(0, askedFor(ListUpdate.DELTA, Rig.worker(7, WorkerState.READY, rig.did.now)));
        assertEquals(0, askedFor(ListUpdate.FULL, Rig.fleet(WORKERS)));
    }

    @Test void whoComesOrMovesMakesThemAnew() {
        assertTrue(askedFor(ListUpdate.DELTA, Rig.worker(WORKERS + 1, WorkerState.READY, 0)) > 0);
        assertTrue(askedFor(ListUpdate.DELTA, new Worker(7, 0, 1, 3, WorkerState.READY, 0)) > 0);
        assertTrue(askedFor(ListUpdate.DELTA, new Worker(7, 1, 1, 3, WorkerState.READY, 0)) > 0);
    }

    @Test void whoLeftLongAgoMakesThemAnewOnce() {
        assertEquals(0, askedFor(ListUpdate.DELTA, Rig.worker(7, WorkerState.GONE, 0)));
        rig.advance(61 * Rig.SECOND);
        assertTrue(askedFor(ListUpdate.DELTA, Rig.worker(8, WorkerState.READY, 0)) > 0);
        assertEquals(0, askedFor(ListUpdate.DELTA, Rig.worker(8, WorkerState.READY, 0)));
    }

    @Test void aLostZoneMakesThemAnewOnceForAllOfIt() {
        for (Worker worker : Rig.fleet(WORKERS / 2)) {
            rig.list(ListUpdate.DELTA, new Worker(worker.id(), worker.zone(), 0, worker.cell(), WorkerState.GONE, 0));
        }
        rig.advance(61 * Rig.SECOND);
        int asked = askedFor(ListUpdate.DELTA, Rig.worker(WORKERS, WorkerState.READY, 0));
        assertEquals(WORKERS / 2 * rig.settings.classes.size(), asked);
    }
}
