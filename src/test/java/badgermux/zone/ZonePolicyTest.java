package badgermux.zone;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.decide.DispatchPolicy.Request;
import badgermux.decide.DispatchPolicy.ListUpdate;
import badgermux.decide.DispatchPolicy.Outcome;
import badgermux.decide.DispatchPolicy.Backend;
import badgermux.decide.DispatchPolicy.BackendState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Verdicts and limits of zones, told of events one by one. Node 10z+i stands in zone z. */
class ZonePolicyTest {
    private static final int BACKENDS_PER_ZONE = 6;

    private long now = 50_000_000;
    private final ZoneSettings settings = settings();
    private ZonePolicy policy = startPolicy(settings);
    private int lastRequestNumber;

    private static ZoneSettings settings() {
        ZoneSettings s = new ZoneSettings();
        s.zoneNames = List.of("hanoi", "danang");
        s.dispatcherCount = 2;
        s.classWorths = new double[] {1, 2, 3};
        return s;
    }

    private ZonePolicy startPolicy(ZoneSettings s) {
        ZonePolicy made = new ZonePolicy(s);
        List<Backend> all = new ArrayList<>();
        for (int z = 0; z < 2; z++) {
            for (int i = 0; i < BACKENDS_PER_ZONE; i++) {
                all.add(backend(z, i, BackendState.READY));
            }
        }
        made.backendsListed(now, ListUpdate.FULL, all);
        return made;
    }

    private static Backend backend(int zone, int i, BackendState state) {
        return new Backend(10 * zone + i, zone, 0, 0, state, 0);
    }

    private static Request request(long id, int jobClass) {
        return new Request(id, jobClass, 0, 1, 0, 10_000_000);
    }

    private void forEachBackend(int zone, Consumer<Long> what) {
        for (int i = 0; i < BACKENDS_PER_ZONE; i++) {
            what.accept(10L * zone + i);
        }
    }

    private void probeZone(int zone, boolean answered) {
        forEachBackend(zone, id -> policy.probeEnded(now, id, answered, answered ? 4 : 0));
    }

    /** So many rounds, in which zones answer probes or not. */
    private void advance(double seconds, boolean hanoi, boolean danang) {
        for (long end = now + (long) (seconds * 1e6); now < end;) {
            now += 100_000;
            if (now % 500_000 == 0) {
                probeZone(0, hanoi);
                probeZone(1, danang);
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
        long dark = now;
        while (policy.health(0) == ZoneHealth.DARK) {
            advance(0.1, true, true);
        }
        assertTrue(now - dark < 4_000_000);
        assertEquals(ZoneHealth.RETURNING, policy.health(0));
        Backend node = backend(0, 0, BackendState.READY);
        assertTrue(policy.believedStartMicros(node) >= dark - 4_000_000, "whatever the list says of its start");
        int last = -1;
        while (policy.health(0) == ZoneHealth.RETURNING) {
            int stage = policy.statuses(now).get(0).returnStage();
            assertTrue(stage >= last && stage <= last + 1, "one stage after another");
            last = stage;
            advance(0.1, true, true);
        }
        assertEquals(ZoneHealth.WHOLE, policy.health(0));
        assertTrue(now - dark >= 5 * settings.minStageMicros);
    }

    @Test void repeatedLossDoublesHoldUntilForgotten() {
        advance(5, true, true);
        long[] held = new long[3];
        for (int loss = 0; loss < 3; loss++) {
            while (policy.health(0) != ZoneHealth.DARK) {
                advance(0.1, false, true);
            }
            long from = now;
            while (policy.health(0) == ZoneHealth.DARK) {
                advance(0.1, true, true);
            }
            held[loss] = now - from;
            advance(2, true, true);
        }
        assertTrue(held[1] >= 1.8 * held[0] && held[2] >= 1.8 * held[1], held[0] + " " + held[1] + " " + held[2]);
        advance(200, true, true);
        while (policy.health(0) != ZoneHealth.DARK) {
            advance(0.1, false, true);
        }
        long from = now;
        while (policy.health(0) == ZoneHealth.DARK) {
            advance(0.1, true, true);
        }
        assertTrue(now - from <= 1.3 * held[0] + 200_000, "and it is forgotten");
    }

    /** Spill is never over its bound by more than one job, whatever comes and goes, and less worth stops first. */
    @Property(seed = "20261201", tries = 200)
    void spillStaysUnderItsBound(@ForAll Random random) {
        policy = startPolicy(settings);   // jqwik keeps one object for all tries
        advance(5, true, true);
        advance(4, false, true);
        Map<Long, Integer> out = new HashMap<>();
        Map<Integer, Double> most = new HashMap<>();
        for (int step = 0; step < 400; step++) {
            now += 20_000;
            long id = ++lastRequestNumber + 100L;
            int kind = random.nextInt(3);
            Backend node = backend(1, random.nextInt(BACKENDS_PER_ZONE), BackendState.READY);
            if (policy.isTierOpen(now, request(id, kind), kind < 2, 1)
                    && policy.admits(now, request(id, kind), kind < 2, 0, node, -4, 1)) {
                policy.attemptSent(now, request(id, kind), 0, node, 0.1);
                out.put(id, kind);
            }
            if (random.nextInt(5) == 0 && !out.isEmpty()) {
                long done = out.keySet().iterator().next();
                policy.attemptEnded(now, request(done, out.remove(done)), 0, node, random.nextBoolean() ? Outcome.SERVED
                    : Outcome.CANCELLED, 0.1);
            }
            if (step % 5 == 0) {
                policy.runPeriodicCheck(now);
                forEachBackend(1, node2 -> policy.backendResponded(now, node2));
            }
            ZonePolicy.Status view = policy.statuses(now).get(1);
            assertTrue(view.spilledSlots() <= view.spillBound() + 1, view.toString());
            most.merge(kind, view.spilledSlots(), Math::max);
        }
    }

    /** A verdict does not turn back and forth: between two losses lies the hold at least. */
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
                    assertTrue(now - since >= settings.initialHoldMicros, "held for " + (now - since));
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
        List<Backend> most = new ArrayList<>(before.values());
        most.remove(0);
        assertEquals(11, policy.keepUnlistedBackends(now, ListUpdate.FULL, most, before).size(), "one that left is gone");
        advance(6, false, true);
        assertEquals(6, policy.keepUnlistedBackends(now, ListUpdate.FULL, List.of(), before).size(), "and so are those that are silent");
    }

    @Test void invalidSettingsAreRejected() {
        for (Consumer<ZoneSettings> wrong : List.<Consumer<ZoneSettings>>of(s -> s.nextTierOpenShare = 2, s -> s.nextTierCloseShare = 0.5,
                s -> s.darkShare = 0.2, s -> s.maxSpillShare = -1, s -> s.initialHoldMicros = 1, s -> s.returnStageShares = new double[] {0.5},
                s -> s.returnStageShares = new double[] {0.5, 0.2, 1}, s -> s.minSilentBackends = 0, s -> s.zoneNames = List.of(),
                s -> s.tiersByClass = new int[][] {{1, 1}}, s -> s.tiersByClass = new int[][] {{0}})) {
            ZoneSettings s = settings();
            wrong.accept(s);
            assertThrows(IllegalArgumentException.class, s::validated);
        }
    }
}
