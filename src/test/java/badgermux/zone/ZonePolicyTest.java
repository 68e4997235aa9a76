package badgermux.zone;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.decide.Dispatch.Job;
import badgermux.decide.Dispatch.ListUpdate;
import badgermux.decide.Dispatch.Outcome;
import badgermux.decide.Dispatch.Worker;
import badgermux.decide.Dispatch.WorkerState;
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
    private static final int NODES = 6;

    private long now = 50_000_000;
    private final ZoneSettings settings = settings();
    private ZonePolicy policy = start(settings);
    private int jobs;

    private static ZoneSettings settings() {
        ZoneSettings s = new ZoneSettings();
        s.zones = List.of("hanoi", "danang");
        s.dispatchers = 2;
        s.worths = new double[] {1, 2, 3};
        return s;
    }

    private ZonePolicy start(ZoneSettings s) {
        ZonePolicy made = new ZonePolicy(s);
        List<Worker> all = new ArrayList<>();
        for (int z = 0; z < 2; z++) {
            for (int i = 0; i < NODES; i++) {
                all.add(worker(z, i, WorkerState.READY));
            }
        }
        made.listed(now, ListUpdate.FULL, all);
        return made;
    }

    private static Worker worker(int zone, int i, WorkerState state) {
        return new Worker(10 * zone + i, zone, 0, 0, state, 0);
    }

    private static Job job(long id, int jobClass) {
        return new Job(id, jobClass, 0, 1, 0, 10_000_000);
    }

    private void each(int zone, Consumer<Long> what) {
        for (int i = 0; i < NODES; i++) {
            what.accept(10L * zone + i);
        }
    }

    private void probed(int zone, boolean answered) {
        each(zone, id -> policy.probed(now, id, answered, answered ? 4 : 0));
    }

    /** So many rounds, in which zones answer probes or not. */
    private void pass(double seconds, boolean hanoi, boolean danang) {
        for (long end = now + (long) (seconds * 1e6); now < end;) {
            now += 100_000;
            if (now % 500_000 == 0) {
                probed(0, hanoi);
                probed(1, danang);
            }
            policy.round(now);
        }
    }

    private boolean takes(int zone, int tier) {
        return policy.opens(now, job(1, 0), true, tier)
            && policy.admits(now, job(1, 0), true, 0, worker(zone, 0, WorkerState.READY), -4, tier);
    }

    @Test void aZoneGoesDarkByWhatIsSeenBeforeTheListSaysSo() {
        pass(5, true, true);
        assertEquals(Standing.WHOLE, policy.standing(0));
        pass(2.5, false, true);
        assertEquals(Standing.DARK, policy.standing(0));
        assertFalse(takes(0, 0));
        assertTrue(takes(1, 1));
        String line = policy.news();
        assertTrue(line.contains("zone hanoi is degraded") || line.contains("zone hanoi is dark"), line);
    }

    @Test void oneBadNodeOurOwnCutCableAndADiscoveryOutageDarkenNothing() {
        pass(5, true, true);
        for (int i = 0; i < 30; i++) {
            now += 100_000;
            each(0, id -> policy.alive(now, id));
            each(1, id -> policy.alive(now, id));
            policy.late(now, 3);
            policy.listed(now, ListUpdate.FAILED, List.of());
            policy.round(now);
        }
        assertEquals(Standing.WHOLE, policy.standing(0));
        pass(10, false, false);
        assertFalse(policy.standing(0) == Standing.DARK && policy.standing(1) == Standing.DARK);
    }

    @Test void aReturnGoesByStagesAndItsNodesCountAsCold() {
        pass(5, true, true);
        pass(4, false, true);
        assertEquals(Standing.DARK, policy.standing(0));
        long dark = now;
        while (policy.standing(0) == Standing.DARK) {
            pass(0.1, true, true);
        }
        assertTrue(now - dark < 4_000_000);
        assertEquals(Standing.RETURNING, policy.standing(0));
        Worker node = worker(0, 0, WorkerState.READY);
        assertTrue(policy.startedAt(node) >= dark - 4_000_000, "whatever the list says of its start");
        int last = -1;
        while (policy.standing(0) == Standing.RETURNING) {
            int stage = policy.views(now).get(0).stage();
            assertTrue(stage >= last && stage <= last + 1, "one stage after another");
            last = stage;
            pass(0.1, true, true);
        }
        assertEquals(Standing.WHOLE, policy.standing(0));
        assertTrue(now - dark >= 5 * settings.stage);
    }

    @Test void aSecondLossSoonAfterLengthensTheHold() {
        pass(5, true, true);
        long[] held = new long[3];
        for (int loss = 0; loss < 3; loss++) {
            while (policy.standing(0) != Standing.DARK) {
                pass(0.1, false, true);
            }
            long from = now;
            while (policy.standing(0) == Standing.DARK) {
                pass(0.1, true, true);
            }
            held[loss] = now - from;
            pass(2, true, true);
        }
        assertTrue(held[1] >= 1.8 * held[0] && held[2] >= 1.8 * held[1], held[0] + " " + held[1] + " " + held[2]);
        pass(200, true, true);
        while (policy.standing(0) != Standing.DARK) {
            pass(0.1, false, true);
        }
        long from = now;
        while (policy.standing(0) == Standing.DARK) {
            pass(0.1, true, true);
        }
        assertTrue(now - from <= 1.3 * held[0] + 200_000, "and it is forgotten");
    }

    /** Spill is never over its bound by more than one job, whatever comes and goes, and less worth stops first. */
    @Property(seed = "20261201", tries = 200)
    void spillStaysUnderItsBound(@ForAll Random random) {
        policy = start(settings);   // jqwik keeps one object for all tries
        pass(5, true, true);
        pass(4, false, true);
        Map<Long, Integer> out = new HashMap<>();
        Map<Integer, Double> most = new HashMap<>();
        for (int step = 0; step < 400; step++) {
            now += 20_000;
            long id = ++jobs + 100L;
            int kind = random.nextInt(3);
            Worker node = worker(1, random.nextInt(NODES), WorkerState.READY);
            if (policy.opens(now, job(id, kind), kind < 2, 1)
                    && policy.admits(now, job(id, kind), kind < 2, 0, node, -4, 1)) {
                policy.sent(now, job(id, kind), 0, node, 0.1);
                out.put(id, kind);
            }
            if (random.nextInt(5) == 0 && !out.isEmpty()) {
                long done = out.keySet().iterator().next();
                policy.ended(now, job(done, out.remove(done)), 0, node, random.nextBoolean() ? Outcome.SERVED
                    : Outcome.CANCELLED, 0.1);
            }
            if (step % 5 == 0) {
                policy.round(now);
                each(1, node2 -> policy.alive(now, node2));
            }
            ZonePolicy.View view = policy.views(now).get(1);
            assertTrue(view.spilled() <= view.bound() + 1, view.toString());
            most.merge(kind, view.spilled(), Math::max);
        }
    }

    /** A verdict does not turn back and forth: between two losses lies the hold at least. */
    @Property(seed = "20261201", tries = 100)
    void noVerdictTurnsFasterThanItsHold(@ForAll Random random) {
        policy = start(settings);
        pass(5, true, true);
        Standing before = policy.standing(0);
        long since = now;
        for (int step = 0; step < 300; step++) {
            pass(0.1, random.nextInt(3) > 0, true);
            if (policy.standing(0) != before) {
                if (before == Standing.DARK) {
                    assertTrue(now - since >= settings.hold, "held for " + (now - since));
                }
                before = policy.standing(0);
                since = now;
            }
        }
    }

    @Test void aListThatLeavesOutHalfIsNotBelievedWhereThatIsSet() {
        settings.guardsList = true;
        policy = start(settings);
        pass(5, true, true);
        Map<Long, Worker> before = new HashMap<>();
        each(0, id -> before.put(id, worker(0, (int) (long) id, WorkerState.READY)));
        each(1, id -> before.put(id, worker(1, (int) (id - 10), WorkerState.READY)));
        assertEquals(12, policy.guard(now, ListUpdate.FULL, List.of(), before).size());
        assertEquals(0, policy.guard(now, ListUpdate.DELTA, List.of(), before).size());
        List<Worker> most = new ArrayList<>(before.values());
        most.remove(0);
        assertEquals(11, policy.guard(now, ListUpdate.FULL, most, before).size(), "one that left is gone");
        pass(6, false, true);
        assertEquals(6, policy.guard(now, ListUpdate.FULL, List.of(), before).size(), "and so are those that are silent");
    }

    @Test void settingsThatMakeNoSenseAreNamed() {
        for (Consumer<ZoneSettings> wrong : List.<Consumer<ZoneSettings>>of(s -> s.openAt = 2, s -> s.closeAt = 0.5,
                s -> s.darkAt = 0.2, s -> s.spillShare = -1, s -> s.hold = 1, s -> s.stages = new double[] {0.5},
                s -> s.stages = new double[] {0.5, 0.2, 1}, s -> s.leastNodes = 0, s -> s.zones = List.of(),
                s -> s.tiers = new int[][] {{1, 1}}, s -> s.tiers = new int[][] {{0}})) {
            ZoneSettings s = settings();
            wrong.accept(s);
            assertThrows(IllegalArgumentException.class, s::checked);
        }
    }
}
