package badgermux.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.decide.DispatchPolicy.Backend;
import badgermux.decide.DispatchPolicy.BackendState;
import badgermux.decide.DispatchPolicy.ListUpdate;
import org.junit.jupiter.api.Test;

/**
 * Groups are rebuilt only when their members change. The tests count how often the policy asks for a backend's tier, which
 * it does only while it builds groups.
 */
class BackendGroupingTest {
    private static final int BACKENDS = 60;

    /** Counts how often a backend is considered for a group. */
    private static final class CountingZoneLimits implements DispatchPolicy.ZoneLimits {
        private int tierLookups;

        @Override public int tierOf(int classIndex, int zone) {
            tierLookups++;
            return 0;
        }
    }

    private final CountingZoneLimits zoneLimits = new CountingZoneLimits();
    private final PolicyFixture fixture = new PolicyFixture();

    BackendGroupingTest() {
        fixture.policy = new DefaultDispatchPolicy(fixture.settings, 7, fixture.actions, zoneLimits);
        fixture.listBackends(ListUpdate.FULL, PolicyFixture.fleet(BACKENDS));
        fixture.request(PolicyFixture.RENDER);
    }

    /** Returns how often a tier is asked for during an update of the list and a request after it. */
    private int tierLookupsDuring(ListUpdate update, Backend... list) {
        int before = zoneLimits.tierLookups;
        fixture.listBackends(update, list);
        fixture.request(PolicyFixture.RENDER);
        return zoneLimits.tierLookups - before;
    }

    @Test void changeOfStateKeepsGroups() {
        assertEquals(0, tierLookupsDuring(ListUpdate.DELTA, PolicyFixture.backend(7, BackendState.DRAINING, 0)));
        assertEquals(0, tierLookupsDuring(ListUpdate.DELTA, PolicyFixture.backend(7, BackendState.GONE, 0)));
        assertEquals(0,
            tierLookupsDuring(ListUpdate.DELTA, PolicyFixture.backend(7, BackendState.READY, fixture.actions.now)));
        assertEquals(0, tierLookupsDuring(ListUpdate.FULL, PolicyFixture.fleet(BACKENDS)));
    }

    @Test void newBackendOrChangeOfKindOrZoneRebuildsGroups() {
        assertTrue(tierLookupsDuring(ListUpdate.DELTA,
            PolicyFixture.backend(BACKENDS + 1, BackendState.READY, 0)) > 0);
        assertTrue(tierLookupsDuring(ListUpdate.DELTA, new Backend(7, 0, 1, 3, BackendState.READY, 0)) > 0);
        assertTrue(tierLookupsDuring(ListUpdate.DELTA, new Backend(7, 1, 1, 3, BackendState.READY, 0)) > 0);
    }

    @Test void removalOfABackendThatLeftLongAgoRebuildsGroupsOnce() {
        assertEquals(0, tierLookupsDuring(ListUpdate.DELTA, PolicyFixture.backend(7, BackendState.GONE, 0)));
        fixture.advance(61 * PolicyFixture.SECOND);
        assertTrue(tierLookupsDuring(ListUpdate.DELTA, PolicyFixture.backend(8, BackendState.READY, 0)) > 0);
        assertEquals(0, tierLookupsDuring(ListUpdate.DELTA, PolicyFixture.backend(8, BackendState.READY, 0)));
    }

    @Test void removalOfALostZoneRebuildsGroupsOnce() {
        for (Backend backend : PolicyFixture.fleet(BACKENDS / 2)) {
            fixture.listBackends(ListUpdate.DELTA,
                new Backend(backend.id(), backend.zone(), 0, backend.cell(), BackendState.GONE, 0));
        }
        fixture.advance(61 * PolicyFixture.SECOND);
        int lookups = tierLookupsDuring(ListUpdate.DELTA, PolicyFixture.backend(BACKENDS, BackendState.READY, 0));
        assertEquals(BACKENDS / 2 * fixture.settings.classes.size(), lookups);
    }
}
