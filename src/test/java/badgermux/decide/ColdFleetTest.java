package badgermux.decide;

import static badgermux.decide.Rig.MS;
import static badgermux.decide.Rig.SECOND;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.decide.Dispatch.ListUpdate;
import badgermux.decide.Dispatch.Outcome;
import badgermux.decide.Dispatch.WorkerState;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Many dispatchers that share nothing, in a fleet of which a part is back and cold while the rest is full. */
final class ColdFleetTest {
    private static final int DISPATCHERS = 14, WARM = 24, COLD = 18, SLOTS = 4;
    private static final long STEP = 10 * MS, RUN = SECOND;

    private record Push(long at, long worker) { }

    private record Out(long due, long job, int attempt) { }

    /** One of them, and what it still has to be told. */
    private static final class Instance {
        final Rig rig = new Rig();
        final List<Out> out = new ArrayList<>();
        int probes, sends;

        Instance(int index) {
            rig.settings.dispatchers = DISPATCHERS;
            rig.settings.index = index;
            rig.settings.probes = true;
            rig.settings.reports = Dispatch.ReportMode.ON_PROBE;
            rig.settings.coldShare = 0.15;
            rig.settings.coldFor = 23 * SECOND;
            rig.settings.fallMultiple = 3;
            rig.settings.fallWindow = 2 * SECOND;
            rig.did.now = 100 * SECOND;
            rig.module = new Dispatcher(rig.settings, 1_000 + index, rig.did);
            rig.list(ListUpdate.FULL, IntStream.rangeClosed(1, WARM)
                .mapToObj(id -> worker(id, 0)).toArray(Dispatch.Worker[]::new));
        }

        /** Lets time pass: what was asked is answered, what was sent runs for a second. */
        void step(List<Push> pushes, double warmFree) {
            rig.advance(STEP);
            while (probes < rig.did.probed.size()) {
                long id = rig.did.probed.get(probes++);
                rig.report(id, id % 2 == 0 ? SLOTS : warmFree);
            }
            while (sends < rig.did.sends.size()) {
                FakeActions.Send sent = rig.did.sends.get(sends++);
                int attempt = (int) rig.did.sends.subList(0, sends).stream().filter(x -> x.job() == sent.job()).count() - 1;
                pushes.add(new Push(rig.did.now, sent.worker()));
                rig.module.started(rig.did.now, sent.job(), attempt);
                out.add(new Out(rig.did.now + RUN, sent.job(), attempt));
            }
            for (Out done : out.stream().filter(x -> x.due() <= rig.did.now).toList()) {
                out.remove(done);
                rig.outcome(done.job(), done.attempt(), Outcome.SERVED);
            }
        }
    }

    /** Cold workers have even ids between the warm ones' odd ones: groups hold some of both. */
    private static Dispatch.Worker worker(int number, long startedAt) {
        return new Dispatch.Worker(2L * number + (startedAt > 0 ? 0 : 1), 0, 0, 0, WorkerState.READY, startedAt);
    }

    /**
     * Turns at cold workers passed unused: a job had to draw the worker in the two seconds of its dispatcher's turn. They
     * got 0.77 here of what they could do while others had queues. Their limit holds over any window, by all together.
     */
    @Test void jobsThatWouldQueueTakeTheTurnsOfColdWorkersAndNeverMore() {
        List<Instance> fleet = IntStream.range(0, DISPATCHERS).mapToObj(Instance::new).toList();
        List<Push> pushes = new ArrayList<>();
        Random random = new Random(3);
        for (int i = 0; i < 300; i++) {
            for (Instance each : fleet) {
                if (random.nextInt(20) == 0) {
                    each.rig.request(Rig.RENDER);
                }
                each.step(pushes, SLOTS);
            }
        }
        long born = fleet.get(0).rig.did.now;
        fleet.forEach(each -> each.rig.list(ListUpdate.DELTA, IntStream.rangeClosed(1, COLD)
            .mapToObj(id -> worker(id, born)).toArray(Dispatch.Worker[]::new)));
        pushes.clear();
        for (int i = 0; i < 2_000; i++) {
            for (Instance each : fleet) {
                if (random.nextInt(20) == 0) {
                    each.rig.request(Rig.RENDER);
                }
                each.step(pushes, 0);
            }
        }
        double could = 0;
        for (double age = 0; age < 20; age += 0.01) {
            could += 0.01 * COLD * SLOTS * (0.15 + 0.85 * age / 23);
        }
        List<Push> cold = pushes.stream().filter(x -> x.worker() % 2 == 0).toList();
        for (Push push : cold) {
            long work = RUN * cold.stream().filter(x -> x.worker() == push.worker() && x.at() > push.at() - 2 * SECOND
                && x.at() <= push.at()).count();
            double most = 3 * SLOTS * (0.15 + 0.85 * (push.at() - born) / (23 * SECOND)) * 2 * SECOND;
            assertTrue(work <= most, "sent " + work + " of " + most + ", " + (push.at() - born) / SECOND + " s old");
        }
        double used = cold.size() * RUN / 1e6 / could;
        assertTrue(used > 0.85, "used " + used + " of what they could do");
    }

    /** Six in ten runners are replaced at once: nothing goes to the gone, and the new ones count as cold. */
    @Test void whereMostAreReplacedNothingGoesToTheGoneAndTheNewAreCold() {
        Instance one = new Instance(0);
        List<Push> pushes = new ArrayList<>();
        Random random = new Random(5);
        for (int i = 0; i < 400; i++) {
            if (random.nextInt(10) == 0) {
                one.rig.request(Rig.RENDER);
            }
            one.step(pushes, SLOTS);
        }
        long born = one.rig.did.now;
        // Warm workers have odd ids up to 49: the first nine stay, and even ids from 2 on are new.
        one.rig.list(ListUpdate.FULL, IntStream.rangeClosed(1, WARM).mapToObj(id -> worker(id, id <= 9 ? 0 : born))
            .toArray(Dispatch.Worker[]::new));
        pushes.clear();
        for (int i = 0; i < 400; i++) {
            if (random.nextInt(10) == 0) {
                one.rig.request(Rig.RENDER);
            }
            one.step(pushes, 1);
        }
        assertTrue(pushes.stream().noneMatch(x -> x.worker() % 2 == 1 && x.worker() > 19), "sent to the gone: " + pushes);
        for (Push push : pushes) {
            long alike = pushes.stream().filter(x -> x.worker() == push.worker() && x.at() > push.at() - 2 * SECOND
                && x.at() <= push.at()).count();
            assertTrue(push.worker() % 2 == 1 || alike <= 1, "one of fourteen sends a cold worker one job by turns");
        }
        assertTrue(pushes.size() > 20, "and the others go on: " + pushes.size());
    }
}
