package badgermux.decide;

import static badgermux.decide.PolicyFixture.MS;
import static badgermux.decide.PolicyFixture.SECOND;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.decide.DispatchPolicy.ListUpdate;
import badgermux.decide.DispatchPolicy.Outcome;
import badgermux.decide.DispatchPolicy.BackendState;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Many dispatchers that share nothing, in a fleet of which a part is back and cold while the rest is full. */
final class ColdFleetTest {
    private static final int DISPATCHERS = 14, WARM = 24, COLD = 18, SLOTS = 4;
    private static final long STEP_MICROS = 10 * MS, RUN_MICROS = SECOND;

    private record RecordedSend(long at, long worker) { }

    private record RunningAttempt(long due, long job, int attempt) { }

    /** One of them, and what it still has to be told. */
    private static final class SimulatedDispatcher {
        final PolicyFixture rig = new PolicyFixture();
        final List<RunningAttempt> out = new ArrayList<>();
        int probes, sends;

        SimulatedDispatcher(int index) {
            rig.settings.dispatcherCount = DISPATCHERS;
            rig.settings.dispatcherIndex = index;
            rig.settings.mayProbe = true;
            rig.settings.reportMode = DispatchPolicy.ReportMode.ON_PROBE;
            rig.settings.coldCapacityShare = 0.15;
            rig.settings.warmUpMicros = 23 * SECOND;
            rig.settings.overloadMultiple = 3;
            rig.settings.overloadWindowMicros = 2 * SECOND;
            rig.actions.now = 100 * SECOND;
            rig.policy = new DefaultDispatchPolicy(rig.settings, 1_000 + index, rig.actions);
            rig.listBackends(ListUpdate.FULL, IntStream.rangeClosed(1, WARM)
                .mapToObj(id -> worker(id, 0)).toArray(DispatchPolicy.Backend[]::new));
        }

        /** Lets time pass: what was asked is answered, what was sent runs for a second. */
        void step(List<RecordedSend> pushes, double warmFree) {
            rig.advance(STEP_MICROS);
            while (probes < rig.actions.probed.size()) {
                long id = rig.actions.probed.get(probes++);
                rig.answerProbe(id, id % 2 == 0 ? SLOTS : warmFree);
            }
            while (sends < rig.actions.sends.size()) {
                RecordingActions.Send sent = rig.actions.sends.get(sends++);
                int attempt = (int) rig.actions.sends.subList(0, sends).stream().filter(x -> x.requestId() == sent.requestId()).count() - 1;
                pushes.add(new RecordedSend(rig.actions.now, sent.backendId()));
                rig.policy.attemptStarted(rig.actions.now, sent.requestId(), attempt);
                out.add(new RunningAttempt(rig.actions.now + RUN_MICROS, sent.requestId(), attempt));
            }
            for (RunningAttempt done : out.stream().filter(x -> x.due() <= rig.actions.now).toList()) {
                out.remove(done);
                rig.endAttempt(done.job(), done.attempt(), Outcome.SERVED);
            }
        }
    }

    /** Cold workers have even ids between the warm ones' odd ones: groups hold some of both. */
    private static DispatchPolicy.Backend worker(int number, long startedAt) {
        return new DispatchPolicy.Backend(2L * number + (startedAt > 0 ? 0 : 1), 0, 0, 0, BackendState.READY, startedAt);
    }

    /**
     * Turns at cold workers passed unused: a job had to draw the worker in the two seconds of its dispatcher's turn. They
     * got 0.77 here of what they could do while others had queues. Their limit holds over any window, by all together.
     */
    @Test void jobsThatWouldQueueTakeTheTurnsOfColdWorkersAndNeverMore() {
        List<SimulatedDispatcher> fleet = IntStream.range(0, DISPATCHERS).mapToObj(SimulatedDispatcher::new).toList();
        List<RecordedSend> pushes = new ArrayList<>();
        Random random = new Random(3);
        for (int i = 0; i < 300; i++) {
            for (SimulatedDispatcher each : fleet) {
                if (random.nextInt(20) == 0) {
                    each.rig.request(PolicyFixture.RENDER);
                }
                each.step(pushes, SLOTS);
            }
        }
        long born = fleet.get(0).rig.actions.now;
        fleet.forEach(each -> each.rig.listBackends(ListUpdate.DELTA, IntStream.rangeClosed(1, COLD)
            .mapToObj(id -> worker(id, born)).toArray(DispatchPolicy.Backend[]::new)));
        pushes.clear();
        for (int i = 0; i < 2_000; i++) {
            for (SimulatedDispatcher each : fleet) {
                if (random.nextInt(20) == 0) {
                    each.rig.request(PolicyFixture.RENDER);
                }
                each.step(pushes, 0);
            }
        }
        double could = 0;
        for (double age = 0; age < 20; age += 0.01) {
            could += 0.01 * COLD * SLOTS * (0.15 + 0.85 * age / 23);
        }
        List<RecordedSend> cold = pushes.stream().filter(x -> x.worker() % 2 == 0).toList();
        for (RecordedSend push : cold) {
            long work = RUN_MICROS * cold.stream().filter(x -> x.worker() == push.worker() && x.at() > push.at() - 2 * SECOND
                && x.at() <= push.at()).count();
            double most = 3 * SLOTS * (0.15 + 0.85 * (push.at() - born) / (23 * SECOND)) * 2 * SECOND;
            assertTrue(work <= most, "sent " + work + " of " + most + ", " + (push.at() - born) / SECOND + " s old");
        }
        double used = cold.size() * RUN_MICROS / 1e6 / could;
        assertTrue(used > 0.85, "used " + used + " of what they could do");
    }

    /** Six in ten runners are replaced at once: nothing goes to the gone, and the new ones count as cold. */
    @Test void whereMostAreReplacedNothingGoesToTheGoneAndTheNewAreCold() {
        SimulatedDispatcher one = new SimulatedDispatcher(0);
        List<RecordedSend> pushes = new ArrayList<>();
        Random random = new Random(5);
        for (int i = 0; i < 400; i++) {
            if (random.nextInt(10) == 0) {
                one.rig.request(PolicyFixture.RENDER);
            }
            one.step(pushes, SLOTS);
        }
        long born = one.rig.actions.now;
        // Warm workers have odd ids up to 49: the first nine stay, and even ids from 2 on are new.
        one.rig.listBackends(ListUpdate.FULL, IntStream.rangeClosed(1, WARM).mapToObj(id -> worker(id, id <= 9 ? 0 : born))
            .toArray(DispatchPolicy.Backend[]::new));
        pushes.clear();
        for (int i = 0; i < 400; i++) {
            if (random.nextInt(10) == 0) {
                one.rig.request(PolicyFixture.RENDER);
            }
            one.step(pushes, 1);
        }
        assertTrue(pushes.stream().noneMatch(x -> x.worker() % 2 == 1 && x.worker() > 19), "sent to the gone: " + pushes);
        for (RecordedSend push : pushes) {
            long alike = pushes.stream().filter(x -> x.worker() == push.worker() && x.at() > push.at() - 2 * SECOND
                && x.at() <= push.at()).count();
            assertTrue(push.worker() % 2 == 1 || alike <= 1, "one of fourteen sends a cold worker one job by turns");
        }
        assertTrue(pushes.size() > 20, "and the others go on: " + pushes.size());
    }
}
