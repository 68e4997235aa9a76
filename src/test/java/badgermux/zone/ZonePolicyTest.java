package badgermux.zone;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.decide.DispatchPolicy.Backend;
import badgermux.decide.DispatchPolicy.BackendState;
import badgermux.decide.DispatchPolicy.ListUpdate;
import badgermux.decide.DispatchPolicy.Outcome;
import badgermux.decide.DispatchPolicy.Request;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Tests the health of zones and the limits on them, event by event. Backend 10z+i is in zone z. */
class ZonePolicyTest {
    private static final int BACKENDS_PER_ZONE = 6;

    private long now = 50_000_000;
    private final ZoneSettings settings = settings();
    private ZonePolicy policy = startPolicy(settings);
    private int lastRequestNumber;

    private static ZoneSettings settings() {
        ZoneSettings settings = new ZoneSettings();
        settings.zoneNames = List.of("hanoi", "danang");
        settings.dispatcherCount = 2;
        settings.classWorths = new double[] {1, 2, 3};
        return settings;
    }

    private ZonePolicy startPolicy(ZoneSettings zoneSettings) {
        ZonePolicy started = new ZonePolicy(zoneSettings);
        List<Backend> list = new ArrayList<>();
        for (int zone = 0; zone < 2; zone++) {
            for (int i = 0; i < BACKENDS_PER_ZONE; i++) {
                list.add(backend(zone, i, BackendState.READY));
            }
        }
        started.backendsListed(now, ListUpdate.FULL, list);
        return started;
    }

    private static Backend backend(int zone, int i, BackendState state) {
        return new Backend(10 * zone + i, zone, 0, 0, state, 0);
    }

    private static Request request(long id, int classIndex) {
        return new Request(id, classIndex, 0, 1, 0, 10_000_000);
    }

    private void forEachBackend(int zone, Consumer<Long> action) {
        for (int i = 0; i < BACKENDS_PER_ZONE; i++) {
            action.accept(10L * zone + i);
        }
    }

    private void probeZone(int zone, boolean answered) {
        forEachBackend(zone, id -> policy.probeEnded(now, id, answered, answered ? 4 : 0));
    }

    /** Advances the time in steps of 0.1 s; all backends of a zone answer a probe every 0.5 s, or none does. */
    private void advance(double seconds, boolean hanoiAnswers, boolean danangAnswers) {
        for (long end = now + (long) (seconds * 1e6); now < end;) {
            now += 100_000;
            if (now % 500_000 == 0) {
                probeZone(0, hanoiAnswers);
                probeZone(1, danangAnswers);
            }
            policy.runPeriodicCheck(now);
        }
    }

    private boolean isAdmitted(int zone, int tier) {
        return policy.isTierOpen(now, request(1, 0), true, tier)
            && policy.admits(now, request(1, 0), true, 0, backend(zone, 0, BackendState.READY), -4, tier);
    }

    @Test void zoneGoesDarkOnProbeFailuresBeforeListUpdate() {
        advance(5, true, true);
        assertEquals(ZoneHealth.WHOLE, policy.health(0));
        advance(2.5, false, true);
        assertEquals(ZoneHealth.DARK, policy.health(0));
        assertFalse(isAdmitted(0, 0));
        assertTrue(isAdmitted(1, 1));
        String line = policy.pollLogLine();
        assertTrue(line.contains("zone hanoi is degraded") || line.contains("zone hanoi is dark"), line);
    }

    @Test void singleFailureOwnOutageAndDiscoveryOutageDarkenNoZone() {
        advance(5, true, true);
        for (int i = 0; i < 30; i++) {
            now += 100_000;
            forEachBackend(0, id -> policy.backendResponded(now, id));
            forEachBackend(1, id -> policy.backendResponded(now, id));
            policy.startOverdue(now, 3);
            policy.backendsListed(now, ListUpdate.FAILED, List.of());
            policy.runPeriodicCheck(now);
        }
        assertEquals(ZoneHealth.WHOLE, policy.health(0));
        advance(10, false, false);
        assertFalse(policy.health(0) == ZoneHealth.DARK && policy.health(1) == ZoneHealth.DARK);
    }

    @Test void zoneReturnsInStagesWithColdBackends() {
        advance(5, true, true);
        advance(4, false, true);
        assertEquals(ZoneHealth.DARK, policy.health(0));
        long darkAt = now;
        while (policy.health(0) == ZoneHealth.DARK) {
            advance(0.1, true, true);
        }
        assertTrue(now - darkAt < 4_000_000);
        assertEquals(ZoneHealth.RETURNING, policy.health(0));
        Backend backend = backend(0, 0, BackendState.READY);
        assertTrue(policy.believedStartMicros(backend) >= darkAt - 4_000_000,
            "a returned backend is cold despite its listed start");
        int lastStage = -1;
        while (policy.health(0) == ZoneHealth.RETURNING) {
            int stage = policy.statuses(now).get(0).returnStage();
            assertTrue(stage >= lastStage && stage <= lastStage + 1, "stages advance one at a time");
            lastStage = stage;
            advance(0.1, true, true);
        }
        assertEquals(ZoneHealth.WHOLE, policy.health(0));
        assertTrue(now - darkAt >= 5 * settings.minStageMicros);
    }

    @Test void repeatedLossDoublesHoldUntilForgotten() {
        advance(5, true, true);
        long[] holds = new long[3];
        for (int loss = 0; loss < 3; loss++) {
            while (policy.health(0) != ZoneHealth.DARK) {
                advance(0.1, false, true);
            }
            long darkAt = now;
            while (policy.health(0) == ZoneHealth.DARK) {
                advance(0.1, true, true);
            }
            holds[loss] = now - darkAt;
            advance(2, true, true);
        }
        assertTrue(holds[1] >= 1.8 * holds[0] && holds[2] >= 1.8 * holds[1], holds[0] + " " + holds[1] + " " + holds[2]);
        advance(200, true, true);
        while (policy.health(0) != ZoneHealth.DARK) {
            advance(0.1, false, true);
        }
        long darkAt = now;
        while (policy.health(0) == ZoneHealth.DARK) {
            advance(0.1, true, true);
        }
        assertTrue(now - darkAt <= 1.3 * holds[0] + 200_000, "old losses are forgotten");
    }

    /** Spill exceeds its bound by at most one request, whatever requests start and end. */
    @Property(seed = "20261201", tries = 200)
    void spillStaysUnderItsBound(@ForAll Random random) {
        policy = startPolicy(settings);   // jqwik runs all tries on one instance
        advance(5, true, true);
        advance(4, false, true);
        Map<Long, Integer> classByOpenRequest = new HashMap<>();
        Map<Integer, Double> maxSpilledByClass = new HashMap<>();
        for (int step = 0; step < 400; step++) {
            now += 20_000;
            long id = ++lastRequestNumber + 100L;
            int classIndex = random.nextInt(3);
            Backend backend = backend(1, random.nextInt(BACKENDS_PER_ZONE), BackendState.READY);
            if (policy.isTierOpen(now, request(id, classIndex), classIndex < 2, 1)
                    && policy.admits(now, request(id, classIndex), classIndex < 2, 0, backend, -4, 1)) {
                policy.attemptSent(now, request(id, classIndex), 0, backend, 0.1);
                classByOpenRequest.put(id, classIndex);
            }
            if (random.nextInt(5) == 0 && !classByOpenRequest.isEmpty()) {
                long endedId = classByOpenRequest.keySet().iterator().next();
                policy.attemptEnded(now, request(endedId, classByOpenRequest.remove(endedId)), 0, backend,
                    random.nextBoolean() ? Outcome.SERVED : Outcome.CANCELLED, 0.1);
            }
            if (step % 5 == 0) {
                policy.runPeriodicCheck(now);
                forEachBackend(1, backendId -> policy.backendResponded(now, backendId));
            }
            ZonePolicy.Status status = policy.statuses(now).get(1);
            assertTrue(status.spilledSlots() <= status.spillBound() + 1, status.toString());
            maxSpilledByClass.merge(classIndex, status.spilledSlots(), Math::max);
        }
    }

    /** A zone's health does not oscillate: a dark zone stays dark for at least the initial hold. */
    @Property(seed = "20261201", tries = 100)
    void darkZoneStaysDarkForItsHold(@ForAll Random random) {
        policy = startPolicy(settings);
        advance(5, true, true);
        ZoneHealth before = policy.health(0);
        long since = now;
        for (int step = 0; step < 300; step++) {
            advance(0.1, random.nextInt(3) > 0, true);
            if (policy.health(0) != before) {
                if (before == ZoneHealth.DARK) {
                    assertTrue(now - since >= settings.initialHoldMicros, "dark for only " + (now - since));
                }
                before = policy.health(0);
                since = now;
            }
        }
    }

    @Test void listMissingHalfKeepsAnsweringBackendsIfEnabled() {
        settings.keepsUnlistedBackends = true;
        policy = startPolicy(settings);
        advance(5, true, true);
        Map<Long, Backend> before = new HashMap<>();
        forEachBackend(0, id -> before.put(id, backend(0, (int) (long) id, BackendState.READY)));
        forEachBackend(1, id -> before.put(id, backend(1, (int) (id - 10), BackendState.READY)));
        assertEquals(12, policy.keepUnlistedBackends(now, ListUpdate.FULL, List.of(), before).size());
        assertEquals(0, policy.keepUnlistedBackends(now, ListUpdate.DELTA, List.of(), before).size());
        List<Backend> allButOne = new ArrayList<>(before.values());
        allButOne.remove(0);
        assertEquals(11, policy.keepUnlistedBackends(now, ListUpdate.FULL, allButOne, before).size(),
            "a single unlisted backend is removed");
        advance(6, false, true);
        assertEquals(6, policy.keepUnlistedBackends(now, ListUpdate.FULL, List.of(), before).size(),
            "silent backends are removed");
    }

    @Test void invalidSettingsAreRejected() {
        for (Consumer<ZoneSettings> change : List.<Consumer<ZoneSettings>>of(s -> s.nextTierOpenShare = 2,
                s -> s.nextTierCloseShare = 0.5, s -> s.darkShare = 0.2, s -> s.maxSpillShare = -1,
                s -> s.initialHoldMicros = 1, s -> s.returnStageShares = new double[] {0.5},
                s -> s.returnStageShares = new double[] {0.5, 0.2, 1}, s -> s.minSilentBackends = 0,
                s -> s.zoneNames = List.of(), s -> s.tiersByClass = new int[][] {{1, 1}},
                s -> s.tiersByClass = new int[][] {{0}})) {
            ZoneSettings invalid = settings();
            change.accept(invalid);
            assertThrows(IllegalArgumentException.class, invalid::validated);
        }
    }
}
