package badgermux.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.decide.DispatchPolicy.ListUpdate;
import badgermux.decide.DispatchPolicy.Backend;
import badgermux.decide.DispatchPolicy.BackendState;
import org.junit.jupiter.api.Test;

/** Groups are made anew only when who is in them changes: counted by how often the module asks for a worker's tier. */
class BackendGroupingTest {
    private static final int WORKERS = 60;

    /** Counts how often a worker is put into a group. */
    private static final class CountingZones implements DispatchPolicy.ZoneLimits {
        private int asked;

        @Override public int tierOf(int jobClass, int zone) {
            asked++;
            return 0;
        }
    }

    private final CountingZones zones = new CountingZones();
    private final PolicyFixture rig = new PolicyFixture();

    BackendGroupingTest() {
        rig.policy = new DefaultDispatchPolicy(rig.settings, 7, rig.actions, zones);
        rig.listBackends(ListUpdate.FULL, PolicyFixture.fleet(WORKERS));
        rig.request(PolicyFixture.RENDER);
    }

    /** How often a tier is asked for while this is told and a job is placed after it. */
    private int tierLookupsDuring(ListUpdate update, Backend... list) {
        int before = zones.asked;
        rig.listBackends(update, list);
        rig.request(PolicyFixture.RENDER);
        return zones.asked - before;
    }

    @Test void aStateThatChangesMakesNoGroupAnew() {
        assertEquals(0, tierLookupsDuring(ListUpdate.DELTA, PolicyFixture.backend(7, BackendState.DRAINING, 0)));
        assertEquals(0, tierLookupsDuring(ListUpdate.DELTA, PolicyFixture.backend(7, BackendState.GONE, 0)));
        assertEquals(0, tierLookupsDuring(ListUpdate.DELTA, PolicyFixture.backend(7, BackendState.READY, rig.actions.now)));
        assertEquals(0, tierLookupsDuring(ListUpdate.FULL, PolicyFixture.fleet(WORKERS)));
    }

    @Test void whoComesOrMovesMakesThemAnew() {
        assertTrue(tierLookupsDuring(ListUpdate.DELTA, PolicyFixture.backend(WORKERS + 1, BackendState.READY, 0)) > 0);
        assertTrue(tierLookupsDuring(ListUpdate.DELTA, new Backend(7, 0, 1, 3, BackendState.READY, 0)) > 0);
        assertTrue(tierLookupsDuring(ListUpdate.DELTA, new Backend(7, 1, 1, 3, BackendState.READY, 0)) > 0);
    }

    @Test void whoLeftLongAgoMakesThemAnewOnce() {
        assertEquals(0, tierLookupsDuring(ListUpdate.DELTA, PolicyFixture.backend(7, BackendState.GONE, 0)));
        rig.advance(61 * PolicyFixture.SECOND);
        assertTrue(tierLookupsDuring(ListUpdate.DELTA, PolicyFixture.backend(8, BackendState.READY, 0)) > 0);
        assertEquals(0, tierLookupsDuring(ListUpdate.DELTA, PolicyFixture.backend(8, BackendState.READY, 0)));
    }

    @Test void aLostZoneMakesThemAnewOnceForAllOfIt() {
        for (Backend worker : PolicyFixture.fleet(WORKERS / 2)) {
            rig.listBackends(ListUpdate.DELTA, new Backend(worker.id(), worker.zone(), 0, worker.cell(), BackendState.GONE, 0));
        }
        rig.advance(61 * PolicyFixture.SECOND);
        int asked = tierLookupsDuring(ListUpdate.DELTA, PolicyFixture.backend(WORKERS, BackendState.READY, 0));
        assertEquals(WORKERS / 2 * rig.settings.classes.size(), asked);
    }
}
