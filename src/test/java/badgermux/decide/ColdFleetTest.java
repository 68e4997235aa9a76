package badgermux.decide;

import static badgermux.decide.PolicyFixture.MS;
import static badgermux.decide.PolicyFixture.SECOND;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.decide.DispatchPolicy.BackendState;
import badgermux.decide.DispatchPolicy.ListUpdate;
import badgermux.decide.DispatchPolicy.Outcome;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Many dispatchers without shared state, and a fleet of which a part is cold while the rest is full. */
final class ColdFleetTest {
    private static final int DISPATCHERS = 14;
    private static final int WARM_BACKENDS = 24;
    private static final int COLD_BACKENDS = 18;
    /** Slots of each backend. */
    private static final int SLOTS = 4;
    private static final long STEP_MICROS = 10 * MS;
    /** Run time of each request. */
    private static final long RUN_MICROS = SECOND;

    private record RecordedSend(long at, long backendId) { }

    private record RunningAttempt(long endsAt, long requestId, int number) { }

    /** A dispatcher, and the events that it has yet to get. */
    private static final class SimulatedDispatcher {
        final PolicyFixture fixture = new PolicyFixture();
        final List<RunningAttempt> running = new ArrayList<>();
        /** Probes that were answered. */
        int answeredProbes;
        /** Sends that were started. */
        int startedSends;

        SimulatedDispatcher(int index) {
            fixture.settings.dispatcherCount = DISPATCHERS;
            fixture.settings.dispatcherIndex = index;
            fixture.settings.mayProbe = true;
            fixture.settings.reportMode = DispatchPolicy.ReportMode.ON_PROBE;
            fixture.settings.coldCapacityShare = 0.15;
            fixture.settings.warmUpMicros = 23 * SECOND;
            fixture.settings.overloadMultiple = 3;
            fixture.settings.overloadWindowMicros = 2 * SECOND;
            fixture.actions.now = 100 * SECOND;
            fixture.policy = new DefaultDispatchPolicy(fixture.settings, 1_000 + index, fixture.actions);
            fixture.listBackends(ListUpdate.FULL, IntStream.rangeClosed(1, WARM_BACKENDS)
                .mapToObj(number -> backend(number, 0)).toArray(DispatchPolicy.Backend[]::new));
        }

        /** Lets time pass. Probes are answered, and sent requests start at once and run for {@link #RUN_MICROS}. */
        void step(List<RecordedSend> sends, double warmFree) {
            fixture.advance(STEP_MICROS);
            while (answeredProbes < fixture.actions.probed.size()) {
                long id = fixture.actions.probed.get(answeredProbes++);
                fixture.answerProbe(id, id % 2 == 0 ? SLOTS : warmFree);
            }
            while (startedSends < fixture.actions.sends.size()) {
                RecordingActions.Send sent = fixture.actions.sends.get(startedSends++);
                int number = (int) fixture.actions.sends.subList(0, startedSends).stream()
                    .filter(send -> send.requestId() == sent.requestId()).count() - 1;
                sends.add(new RecordedSend(fixture.actions.now, sent.backendId()));
                fixture.policy.attemptStarted(fixture.actions.now, sent.requestId(), number);
                running.add(new RunningAttempt(fixture.actions.now + RUN_MICROS, sent.requestId(), number));
            }
            for (RunningAttempt ended : running.stream()
                .filter(attempt -> attempt.endsAt() <= fixture.actions.now).toList()) {
                running.remove(ended);
                fixture.endAttempt(ended.requestId(), ended.number(), Outcome.SERVED);
            }
        }
    }

    /** Returns a backend. Cold ones have even ids between the odd ids of warm ones, so that groups contain both. */
    private static DispatchPolicy.Backend backend(int number, long startedAt) {
        return new DispatchPolicy.Backend(2L * number + (startedAt > 0 ? 0 : 1), 0, 0, 0, BackendState.READY, startedAt);
    }

    /**
     * If a request had to draw a cold backend during the two seconds of its dispatcher's turn, many turns would pass unused:
     * here the cold backends would get only 0.77 of the work that they can do, while requests queue at others. The limit of
     * their work holds over any window for all dispatchers together.
     */
    @Test void requestsThatWouldQueueUseTheTurnsAtColdBackendsWithinTheirLimit() {
        List<SimulatedDispatcher> fleet = IntStream.range(0, DISPATCHERS).mapToObj(SimulatedDispatcher::new).toList();
        List<RecordedSend> sends = new ArrayList<>();
        Random random = new Random(3);
        for (int i = 0; i < 300; i++) {
            for (SimulatedDispatcher each : fleet) {
                if (random.nextInt(20) == 0) {
                    each.fixture.request(PolicyFixture.RENDER);
                }
                each.step(sends, SLOTS);
            }
        }
        long startedAt = fleet.get(0).fixture.actions.now;
        fleet.forEach(each -> each.fixture.listBackends(ListUpdate.DELTA, IntStream.rangeClosed(1, COLD_BACKENDS)
            .mapToObj(number -> backend(number, startedAt)).toArray(DispatchPolicy.Backend[]::new)));
        sends.clear();
        for (int i = 0; i < 2_000; i++) {
            for (SimulatedDispatcher each : fleet) {
                if (random.nextInt(20) == 0) {
                    each.fixture.request(PolicyFixture.RENDER);
                }
                each.step(sends, 0);
            }
        }
        double capacity = 0;
        for (double age = 0; age < 20; age += 0.01) {
            capacity += 0.01 * COLD_BACKENDS * SLOTS * (0.15 + 0.85 * age / 23);
        }
        List<RecordedSend> toCold = sends.stream().filter(send -> send.backendId() % 2 == 0).toList();
        for (RecordedSend last : toCold) {
            long work = RUN_MICROS * toCold.stream().filter(send -> send.backendId() == last.backendId()
                && send.at() > last.at() - 2 * SECOND && send.at() <= last.at()).count();
            double limit = 3 * SLOTS * (0.15 + 0.85 * (last.at() - startedAt) / (23 * SECOND)) * 2 * SECOND;
            assertTrue(work <= limit, "sent " + work + " of " + limit + ", " + (last.at() - startedAt) / SECOND + " s old");
        }
        double used = toCold.size() * RUN_MICROS / 1e6 / capacity;
        assertTrue(used > 0.85, "used " + used + " of their capacity");
    }

    /** Six in ten backends are replaced at once. */
    @Test void nothingIsSentToReplacedBackendsAndTheNewOnesAreCold() {
        SimulatedDispatcher dispatcher = new SimulatedDispatcher(0);
        List<RecordedSend> sends = new ArrayList<>();
        Random random = new Random(5);
        for (int i = 0; i < 400; i++) {
            if (random.nextInt(10) == 0) {
                dispatcher.fixture.request(PolicyFixture.RENDER);
            }
            dispatcher.step(sends, SLOTS);
        }
        long startedAt = dispatcher.fixture.actions.now;
        // Warm backends have odd ids up to 49. The first nine stay; even ids are new.
        dispatcher.fixture.listBackends(ListUpdate.FULL, IntStream.rangeClosed(1, WARM_BACKENDS)
            .mapToObj(number -> backend(number, number <= 9 ? 0 : startedAt)).toArray(DispatchPolicy.Backend[]::new));
        sends.clear();
        for (int i = 0; i < 400; i++) {
            if (random.nextInt(10) == 0) {
                dispatcher.fixture.request(PolicyFixture.RENDER);
            }
            dispatcher.step(sends, 1);
        }
        assertTrue(sends.stream().noneMatch(send -> send.backendId() % 2 == 1 && send.backendId() > 19),
            "sent to gone backends: " + sends);
        for (RecordedSend last : sends) {
            long inWindow = sends.stream().filter(send -> send.backendId() == last.backendId()
                && send.at() > last.at() - 2 * SECOND && send.at() <= last.at()).count();
            assertTrue(last.backendId() % 2 == 1 || inWindow <= 1,
                "one of 14 dispatchers sends a cold backend one request in its turn");
        }
        assertTrue(sends.size() > 20, "the other backends are still used: " + sends.size());
    }
}
