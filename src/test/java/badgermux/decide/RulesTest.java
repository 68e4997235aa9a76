package badgermux.decide;

import static badgermux.decide.PolicyFixture.MS;
import static badgermux.decide.PolicyFixture.PAY;
import static badgermux.decide.PolicyFixture.RENDER;
import static badgermux.decide.PolicyFixture.SAVE;
import static badgermux.decide.PolicyFixture.SECOND;
import static badgermux.decide.PolicyFixture.backend;
import static badgermux.decide.PolicyFixture.fleet;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.decide.DispatchPolicy.Backend;
import badgermux.decide.DispatchPolicy.BackendState;
import badgermux.decide.DispatchPolicy.DedupScope;
import badgermux.decide.DispatchPolicy.Effect;
import badgermux.decide.DispatchPolicy.ListUpdate;
import badgermux.decide.DispatchPolicy.LoadReport;
import badgermux.decide.DispatchPolicy.Outcome;
import badgermux.decide.DispatchPolicy.ReportMode;
import badgermux.decide.DispatchPolicy.RequestClass;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests the four rules that the policy must keep, each in the conditions that could lead the policy to break it. */
class RulesTest {
    private PolicyFixture fixture = new PolicyFixture();

    // ---- Rule 1: one final answer in time

    @Test void heldRequestIsRefusedBeforeItsClientGivesUp() {
        fixture.start();
        long request = fixture.request(RENDER, 250 * MS);
        fixture.advance(100 * MS);
        assertEquals(List.of(), fixture.actions.refused, "a backend may still appear in time");
        fixture.advance(145 * MS);
        assertEquals(List.of(request), fixture.actions.refused);
        fixture.listBackends(ListUpdate.FULL, fleet(4));
        fixture.advance(5 * SECOND);
        assertEquals(0, fixture.sendCount(request), "nothing is sent after the final answer");
    }

    @Test void heldRequestIsSentAsSoonAsABackendAppears() {
        fixture.start();
        long request = fixture.request(PAY);
        fixture.listBackends(ListUpdate.FULL, fleet(2));
        assertEquals(1, fixture.sendCount(request));
    }

    @Test void timeoutAtTheDeadlineIsAnsweredOnce() {
        fixture.start(fleet(4));
        long request = fixture.request(PAY);
        fixture.advance(5 * SECOND);
        fixture.endAttempt(request, 0, Outcome.TIMED_OUT);
        fixture.endAttempt(request, 0, Outcome.TIMED_OUT);
        assertEquals(List.of(request), fixture.actions.failed);
        assertEquals(1, fixture.actions.sends.size());
    }

    @Test void nothingIsSentOrAnsweredAfterTheClientDisconnected() {
        fixture.start(fleet(4));
        long request = fixture.request(RENDER);
        fixture.policy.clientDisconnected(fixture.actions.now, request);
        fixture.endAttempt(request, 0, Outcome.RESET);
        fixture.advance(10 * SECOND);
        assertEquals(1, fixture.sendCount(request));
        assertEquals(List.of(), fixture.actions.refused);
        assertEquals(List.of(), fixture.actions.failed);
        assertEquals(List.of(request + "/0"), fixture.actions.cancelled);
    }

    @Test void otherAttemptIsCancelledWhenARequestIsServed() {
        fixture.settings.reportMode = ReportMode.NEVER;
        fixture.start(fleet(8));
        long request = fixture.request(RENDER);
        fixture.advance(50 * MS);
        assertEquals(2, fixture.sendCount(request), "hedged after an eighth of the target time without a start");
        fixture.endAttempt(request, 1, Outcome.SERVED);
        assertEquals(List.of(request + "/0"), fixture.actions.cancelled);
        fixture.endAttempt(request, 0, Outcome.CANCELLED);
        fixture.advance(10 * SECOND);
        assertEquals(2, fixture.sendCount(request));
        assertEquals(List.of(), fixture.actions.refused);
        assertEquals(List.of(), fixture.actions.failed);
    }

    @Test void unknownLateAndRepeatedEventsAreIgnored() {
        fixture.start(fleet(4));
        long request = fixture.request(PAY);
        fixture.endAttempt(request, 0, Outcome.SERVED);
        int actionCount = fixture.actions.descriptions.size();
        fixture.policy.attemptStarted(fixture.actions.now, request, 0);
        fixture.policy.attemptProgressed(fixture.actions.now, 99, 3);
        fixture.policy.responseStreaming(fixture.actions.now, 99, 0);
        fixture.policy.clientDisconnected(fixture.actions.now, request);
        fixture.policy.clientDisconnected(fixture.actions.now, 99);
        fixture.policy.attemptEnded(fixture.actions.now, request, 0, 1, Outcome.RESET, true, null);
        fixture.policy.attemptEnded(fixture.actions.now, 99, 7, 55, Outcome.SERVED, true, PolicyFixture.reportOfFreeSlots(3));
        fixture.policy.probeEnded(fixture.actions.now, 55, true, PolicyFixture.reportOfFreeSlots(3));
        fixture.policy.timerFired(fixture.actions.now, 123_456);
        assertEquals(actionCount, fixture.actions.descriptions.size(), () -> fixture.actions.descriptions.toString());
    }

    // ---- Rule 2: no effect twice

    @ParameterizedTest @EnumSource(Outcome.class)
    void onceRequestIsRetriedOnlyIfItNeverRan(Outcome outcome) {
        fixture.start(fleet(8));
        long request = fixture.request(PAY);
        fixture.endAttempt(request, 0, outcome);
        boolean isRetried = outcome.neverRan();
        assertEquals(isRetried ? 2 : 1, fixture.sendCount(request));
        assertEquals(isRetried || outcome == Outcome.SERVED ? List.of() : List.of(request), fixture.actions.failed);
        assertEquals(List.of(), fixture.actions.refused);
    }

    @Test void onceRequestIsRefusedIfOnlyRejectedAndFailsIfItMayHaveRun() {
        fixture.settings.maxAttempts = 2;
        fixture.start(fleet(8));
        long rejected = fixture.request(PAY);
        fixture.endAttempt(rejected, 0, Outcome.REJECTED);
        fixture.endAttempt(rejected, 1, Outcome.REJECTED);
        assertEquals(List.of(rejected), fixture.actions.refused);
        long mayHaveRun = fixture.request(PAY);
        fixture.endAttempt(mayHaveRun, 0, Outcome.REJECTED);
        fixture.endAttempt(mayHaveRun, 1, Outcome.RESET);
        assertEquals(List.of(mayHaveRun), fixture.actions.failed);
    }

    /** Where backends also reject work that they have begun, a keyed request must not go on to another zone. */
    @Test void rejectedRequestThatMayHaveRunIsNeitherRetriedElsewhereNorRefused() {
        fixture.settings.rejectedMayHaveRun = true;
        fixture.start(fleet(16));
        long once = fixture.request(PAY);
        fixture.endAttempt(once, 0, Outcome.REJECTED);
        assertEquals(1, fixture.sendCount(once));
        assertEquals(List.of(once), fixture.actions.failed);
        long keyed = fixture.request(SAVE);
        for (int i = 0; i < 4; i++) {
            fixture.endAttempt(keyed, i, Outcome.REJECTED);
        }
        List<Long> cells = fixture.actions.sends.stream().filter(send -> send.requestId() == keyed)
            .map(send -> (send.backendId() - 1) / 2).toList();
        assertEquals(4, cells.size());
        assertEquals(1, Set.copyOf(cells).size(), "left its cell: " + cells);
        assertEquals(List.of(once, keyed), fixture.actions.failed);
        assertEquals(List.of(), fixture.actions.refused);
    }

    @Test void rejectedKeyedRequestThatMayHaveRunIsNotRetriedAfterItsWindow() {
        makeLateSavesEarnHalf();
        fixture.settings.rejectedMayHaveRun = true;
        fixture.start(fleet(16));
        long request = fixture.request(SAVE);
        fixture.policy.attemptStarted(fixture.actions.now, request, 0);
        fixture.advance(2 * SECOND);
        fixture.policy.attemptProgressed(fixture.actions.now, request, 0);
        fixture.advance(999 * MS);
        fixture.endAttempt(request, 0, Outcome.REJECTED);
        fixture.advance(SECOND);
        assertEquals(1, fixture.sendCount(request));
        assertEquals(List.of(request), fixture.actions.failed);
    }

    @Test void refusalSaysWhenToComeBack() {
        fixture.settings.maxRetryAfterMicros = 2 * SECOND;
        fixture.start(fleet(4));
        fixture.serve(RENDER, 400 * MS, null);
        fixture.listBackends(ListUpdate.FULL);
        fixture.request(RENDER);
        fixture.advance(SECOND);
        assertEquals(List.of(400 * MS), fixture.actions.retryAfters, "one mean run");
    }

    /** A request whose answer can no longer earn anything must not be retried until shortly before its deadline. */
    @Test void requestThatCannotSucceedIsAnsweredAtOnce() {
        fixture.start(fleet(4));
        long request = fixture.request(PAY);
        fixture.advance(SECOND);
        fixture.endAttempt(request, 0, Outcome.REJECTED);
        assertEquals(List.of(request), fixture.actions.refused);
        assertEquals(1, fixture.sendCount(request));
    }

    // ---- Where a class may run, and further cases of rule 2

    /** This holds also if all allowed backends are busy or the random draw falls on other ones, and for hedged attempts. */
    @Test void everyAttemptStaysWhereItsClassMayRun() {
        fixture.settings.reportMode = ReportMode.NEVER;
        fixture.settings.classes.add(new RequestClass("bound", Effect.REPEATABLE, DedupScope.ALL, 300 * MS, 1.5, 5 * SECOND, 0,
            1, 0.5, null, Set.of(1), false));
        fixture.start(fleet(16));
        for (int i = 0; i < 30; i++) {
            long request = fixture.request(3);   // the class added above
            if (i % 2 == 0) {
                fixture.endAttempt(request, 0, Outcome.REJECTED);
            }
            fixture.advance(50 * MS);
        }
        assertTrue(fixture.actions.sends.size() > 45, "attempts, with hedged ones: " + fixture.actions.sends.size());
        assertEquals(Set.of(1L), fixture.actions.sends.stream().map(send -> (send.backendId() - 1) / 4)
            .collect(Collectors.toSet()));
    }

    @Test void requestBoundToAZoneIsHeldAndThenRefusedWithoutABackendThere() {
        fixture.settings.classes.add(new RequestClass("bound", Effect.ONCE, DedupScope.ALL, 300 * MS, 1.5, 5 * SECOND, 0,
            1, 0, Set.of(0), Set.of(1), false));
        fixture.start(fleet(4));
        long request = fixture.request(3);   // the class added above
        fixture.listBackends(ListUpdate.DELTA, new Backend(5, 1, 1, 2, BackendState.READY, 0));
        fixture.advance(50 * MS);
        assertEquals(0, fixture.sendCount(request), "the backend is in the right zone, but of the wrong kind");
        fixture.advance(5 * SECOND);
        assertEquals(List.of(request), fixture.actions.refused);
        assertEquals(0, fixture.sendCount(request));
    }

    @Test void onceRequestIsNeverHedged() {
        fixture.start(fleet(8));
        long request = fixture.request(PAY);
        fixture.advance(4 * SECOND);
        assertEquals(1, fixture.sendCount(request));
        assertEquals(List.of(), fixture.actions.cancelled);
    }

    @ParameterizedTest @EnumSource(DedupScope.class)
    void keyedRequestThatMayHaveRunStaysInItsScope(DedupScope scope) {
        fixture.settings.classes.set(SAVE, PolicyFixture.requestClass("save", Effect.BY_KEY, scope, -1));
        fixture.start(fleet(16));
        for (int i = 0; i < 40; i++) {
            long request = fixture.request(SAVE);
            long first = fixture.actions.lastSend().backendId();
            fixture.endAttempt(request, 0, Outcome.ERROR);
            long second = fixture.actions.lastSend().backendId();
            assertEquals(2, fixture.sendCount(request));
            long size = scope == DedupScope.CELL ? 2 : scope == DedupScope.ZONE ? 4 : 16;
            assertEquals((first - 1) / size, (second - 1) / size, scope + ": " + first + " then " + second);
            fixture.endAttempt(request, 1, Outcome.SERVED);
            fixture.advance(SECOND);
        }
    }

    /** Gives late saves half their worth: the policy gives up a late request that earns nothing before its window matters. */
    private void makeLateSavesEarnHalf() {
        fixture.settings.classes.set(SAVE, new RequestClass("save", Effect.BY_KEY, DedupScope.CELL, 300 * MS, 1.5, 5 * SECOND,
            3 * SECOND, 1, 0.5, -1, false));
    }

    @Test void keyedRequestIsNotRetriedAfterItsWindow() {
        makeLateSavesEarnHalf();
        fixture.start(fleet(16));
        long request = fixture.request(SAVE);
        fixture.policy.attemptStarted(fixture.actions.now, request, 0);
        fixture.policy.attemptProgressed(fixture.actions.now, request, 0);
        fixture.advance(2 * SECOND);
        fixture.policy.attemptProgressed(fixture.actions.now, request, 0);
        fixture.advance(999 * MS);
        fixture.endAttempt(request, 0, Outcome.RESET);
        fixture.advance(SECOND);
        assertEquals(1, fixture.sendCount(request));
        assertEquals(List.of(request), fixture.actions.failed, "it may have run, so it is not refused");
    }

    @Test void windowCountsFromTheFirstAttemptThatMayHaveRun() {
        fixture.settings.reportMode = ReportMode.NEVER;
        makeLateSavesEarnHalf();
        fixture.start(fleet(16));
        long request = fixture.request(SAVE);
        fixture.advance(SECOND);
        assertEquals(2, fixture.sendCount(request), "hedged inside the cell");
        fixture.advance(1_500 * MS);
        fixture.endAttempt(request, 1, Outcome.REJECTED);
        fixture.advance(499 * MS);
        fixture.endAttempt(request, 0, Outcome.RESET);
        assertEquals(2, fixture.sendCount(request));
        assertEquals(List.of(request), fixture.actions.failed);
    }

    /** An attempt may wait for its connection as long as the connect timeout, and the window may end meanwhile. */
    @Test void retryOfAKeyedRequestLeavesTimeForItsConnection() {
        makeLateSavesEarnHalf();
        fixture.settings.connectTimeoutMicros = 300 * MS;
        fixture.settings.mayHedge = false;
        fixture.start(fleet(8));
        long windowMicros = fixture.settings.classes.get(SAVE).dedupWindowMicros();
        long early = fixture.request(SAVE), late = fixture.request(SAVE);
        fixture.advance(windowMicros - 400 * MS);
        fixture.endAttempt(early, 0, Outcome.RESET);
        assertEquals(2, fixture.sendCount(early));
        fixture.advance(200 * MS);
        fixture.endAttempt(late, 0, Outcome.RESET);
        assertEquals(1, fixture.sendCount(late), "its connection might open after the window");
        assertEquals(List.of(late), fixture.actions.failed);
    }

    /** Where a cancelled attempt runs all the same, a request moved to another backend for not starting would run twice. */
    @Test void requestIsNeitherHedgedNorMovedWhereThatIsForbidden() {
        fixture.settings.mayHedge = false;
        fixture.start(fleet(8));
        long request = fixture.request(RENDER);
        fixture.advance(200 * MS);
        assertEquals(1, fixture.sendCount(request));
        assertEquals(List.of(), fixture.actions.cancelled, "it keeps its place in the queue");
        fixture.endAttempt(request, 0, Outcome.RESET);
        assertEquals(2, fixture.sendCount(request));
    }

    @Test void streamThatHasBegunIsNeitherHedgedNorRetried() {
        fixture.settings.classes.add(new RequestClass("stream", Effect.REPEATABLE, DedupScope.ALL, 300 * MS, 1.5, 5 * SECOND,
            0, 1, 0, -1, true));
        fixture.start(fleet(8));
        long request = fixture.request(3);   // the class added above
        fixture.advance(SECOND);
        fixture.policy.responseStreaming(fixture.actions.now, request, 0);
        fixture.endAttempt(request, 0, Outcome.RESET);
        fixture.advance(SECOND);
        assertEquals(1, fixture.sendCount(request));
    }

    @Test void repeatedOutcomeCountsOnce() {
        fixture.settings.reportMode = ReportMode.NEVER;
        fixture.start(fleet(8));
        long request = fixture.request(RENDER);
        fixture.advance(50 * MS);
        assertEquals(2, fixture.sendCount(request), "hedged");
        fixture.endAttempt(request, 0, Outcome.RESET);
        fixture.advance(SECOND);
        fixture.endAttempt(request, 0, Outcome.SERVED);
        assertEquals(1, fixture.actions.logged.size(), "it was reset and not served: " + fixture.actions.logged);
    }

    @Test void nothingIsCancelledOrProbedWhereThatIsForbidden() {
        fixture.settings.mayCancel = false;
        fixture.settings.reportMode = ReportMode.ON_PROBE;
        fixture.start(fleet(4));
        long request = fixture.request(RENDER);
        fixture.advance(SECOND);
        fixture.policy.clientDisconnected(fixture.actions.now, request);
        assertEquals(List.of(), fixture.actions.cancelled);
        assertEquals(List.of(), fixture.actions.probed);
    }

    @Test void attemptsStayWithinTheirLimit() {
        fixture.start(fleet(8));
        long request = fixture.request(RENDER);
        for (int i = 0; i < 6; i++) {
            fixture.endAttempt(request, i, Outcome.REJECTED);
        }
        assertEquals(4, fixture.sendCount(request));
        assertEquals(List.of(request), fixture.actions.refused);
    }

    // ---- Rule 3: draining backends

    @ParameterizedTest @EnumSource(value = BackendState.class, names = {"DRAINING", "GONE"})
    void nothingIsSentToABackendThatDrainsOrIsGone(BackendState state) {
        fixture.start(fleet(3));
        fixture.listBackends(ListUpdate.DELTA, backend(2, state, 0));
        for (int i = 0; i < 50; i++) {
            fixture.request(RENDER);
            fixture.advance(100 * MS);
        }
        assertFalse(fixture.actions.sends.stream().anyMatch(send -> send.backendId() == 2));
    }

    @Test void backendMissingFromAFullListIsGoneAndACachedListCounts() {
        fixture.start(backend(1, BackendState.DRAINING, 0), backend(2, BackendState.READY, 0),
            backend(3, BackendState.READY, 0));
        fixture.listBackends(ListUpdate.FULL, backend(1, BackendState.DRAINING, 0), backend(3, BackendState.READY, 0));
        for (int i = 0; i < 30; i++) {
            fixture.request(RENDER);
        }
        assertEquals(Set.of(3L),
            fixture.actions.sends.stream().map(RecordingActions.Send::backendId).collect(Collectors.toSet()));
    }

    /** The connection of an attempt that ends after the drain notice becomes idle only then. */
    @ParameterizedTest @EnumSource(Outcome.class)
    void connectionIsClosedWhenAnAttemptEndsAtADrainingBackend(Outcome outcome) {
        fixture.start(fleet(1));
        long request = fixture.request(PAY);
        fixture.listBackends(ListUpdate.DELTA, backend(1, BackendState.DRAINING, 0));
        assertEquals(List.of(1L), fixture.actions.closedIdle, "at the drain notice");
        fixture.endAttempt(request, 0, outcome);
        assertEquals(List.of(1L, 1L), fixture.actions.closedIdle);
    }

    // ---- Rule 4: cold backends

    /**
     * Returns the work, in microseconds of run time, sent to a cold backend of 2 slots. It has a quarter of its capacity, and
     * may get twice that for 1 s from all dispatchers together: 2 x 2 slots x 0.25, for 1 s.
     */
    private double workSentToAColdBackend(int requests, long runMicros) {
        fixture.start(backend(1, BackendState.READY, 0), backend(2, BackendState.READY, 0));
        for (int i = 0; i < 5; i++) {
            fixture.serve(RENDER, runMicros, PolicyFixture.reportOfFreeSlots(2));
        }
        fixture.advance(2 * SECOND);
        fixture.listBackends(ListUpdate.DELTA, backend(3, BackendState.READY, fixture.actions.now));
        fixture.answerProbe(1, 0);
        fixture.answerProbe(2, 0);
        fixture.answerProbe(3, 2);
        for (int i = 0; i < requests; i++) {
            long request = fixture.request(RENDER);
            fixture.endAttempt(request, 0, Outcome.SERVED);
        }
        return fixture.actions.sends.stream().filter(send -> send.backendId() == 3).count() * runMicros;
    }

    @Test void coldBackendGetsNoMoreThanItsBudgetIncludingEndedWork() {
        double work = workSentToAColdBackend(60, 50 * MS);
        assertTrue(work > 0, "small requests may warm it up");
        assertTrue(work <= 2 * 2 * 0.25 * SECOND / 2, "sent " + work);
    }

    /** A backend restarts under the same id: a dispatcher that has just sent it the work of one window must not do so again. */
    @Test void sendsBeforeARestartBecameKnownCountAgainstTheBudget() {
        fixture.settings.dispatcherCount = 1;
        fixture.start(backend(3, BackendState.READY, 0));
        for (int i = 0; i < 5; i++) {
            fixture.serve(RENDER, 50 * MS, PolicyFixture.reportOfFreeSlots(2));
        }
        fixture.advance(2 * SECOND);
        int sentBefore = fixture.actions.sends.size();
        for (int i = 0; i < 70; i++) {
            if (i == 10) {
                fixture.listBackends(ListUpdate.DELTA, backend(3, BackendState.READY, fixture.actions.now - 1));
            }
            fixture.endAttempt(fixture.request(RENDER), 0, Outcome.SERVED);
        }
        assertEquals(10, fixture.actions.sends.size() - sentBefore, "half of 2 x 2 x 0.25 slots for 1 s");
    }

    @Test void requestLargerThanTheBudgetIsNeverSentToAColdBackend() {
        assertEquals(0, workSentToAColdBackend(60, 700 * MS));
    }

    @Test void coldBackendWithoutAReportGetsTheBudgetOfItsKind() {
        fixture.start(backend(1, BackendState.READY, 0), backend(2, BackendState.READY, 0));
        for (int i = 0; i < 5; i++) {
            fixture.serve(RENDER, 200 * MS, PolicyFixture.reportOfFreeSlots(8));
        }
        fixture.advance(2 * SECOND);
        fixture.listBackends(ListUpdate.DELTA, backend(3, BackendState.READY, fixture.actions.now));
        fixture.answerProbe(1, 0);
        fixture.answerProbe(2, 0);
        for (int i = 0; i < 40; i++) {
            fixture.request(RENDER);
        }
        long sent = fixture.actions.sends.stream().filter(send -> send.backendId() == 3).count();
        assertTrue(sent > 0, "the budget of one slot would not hold a request of 0.2 s");
        assertTrue(sent <= 5, "half of 2 x 8 x 0.25 slots for 1 s, over two dispatchers: " + sent);
    }

    @Test void coldBudgetIsDividedAmongTheDispatchers() {
        fixture.settings.dispatcherCount = 8;
        double work = workSentToAColdBackend(60, 20 * MS);
        assertTrue(work > 0 && work <= 2 * 2 * 0.25 * SECOND / 8, "sent " + work);
    }

    /** With many dispatchers an even share of the budget holds no request, and cold backends would be idle until warm. */
    @Test void someDispatchersSendOneRequestEachWhereAnEvenShareHoldsNone() {
        long runMicros = 100 * MS, sent = 0;
        for (int index = 0; index < 40; index++) {
            fixture = new PolicyFixture();
            fixture.settings.dispatcherCount = 40;
            fixture.settings.dispatcherIndex = index;
            long sentByThisDispatcher = Math.round(workSentToAColdBackend(60, runMicros)) / runMicros;
            assertTrue(sentByThisDispatcher <= 1, "an even share is an eighth of a request, sent " + sentByThisDispatcher);
            sent += sentByThisDispatcher;
        }
        assertEquals(5, sent, "half of 2 x 2 x 0.25 slots for 1 s, over all dispatchers");
    }

    /** Backends do not report the start. If run times were not known either, cold backends would be idle until warm. */
    @Test void runTimesAreLearnedThoughStartsAreNotReported() {
        fixture.settings.backendsReportStart = false;
        fixture.start(backend(1, BackendState.READY, 0), backend(2, BackendState.READY, 0));
        for (int i = 0; i < 60; i++) {
            long request = fixture.request(RENDER);
            fixture.advance(50 * MS);
            fixture.endAttempt(request, 0, Outcome.SERVED, PolicyFixture.reportOfFreeSlots(2));
            if (i == 30) {
                fixture.listBackends(ListUpdate.DELTA, backend(3, BackendState.READY, fixture.actions.now));
            }
        }
        long sent = fixture.actions.sends.stream().filter(send -> send.backendId() == 3).count();
        assertTrue(sent > 0, "small requests may warm it up");
        assertTrue(sent * 50 * MS <= 2 * 2 * 0.4 * SECOND, "over two windows: " + sent);
    }

    /** Otherwise a class that only cold backends may run would never be sent, as none of its run times is known. */
    @Test void coldBackendGetsOneRequestInTwoWindowsWhileRunTimesAreUnknown() {
        int sent = 0;
        for (int index = 0; index < 5; index++) {
            fixture = new PolicyFixture();
            fixture.settings.dispatcherCount = 5;
            fixture.settings.dispatcherIndex = index;
            fixture.start();
            fixture.advance(3 * SECOND);
            fixture.listBackends(ListUpdate.DELTA, backend(2, BackendState.READY, fixture.actions.now));
            for (int i = 0; i < 190; i++) {
                fixture.request(RENDER);
                fixture.advance(10 * MS);
            }
            sent += fixture.actions.sends.size();
        }
        assertEquals(1, sent);
    }

    /** Otherwise a dispatcher with a request per second would know no run time for its first 10 s, though reports have them. */
    @Test void reportedRunTimesCountUntilARequestHasEnded() {
        fixture.settings.dispatcherCount = 1;
        fixture.start(backend(1, BackendState.READY, 0));
        fixture.advance(3 * SECOND);
        fixture.listBackends(ListUpdate.FULL, backend(1, BackendState.DRAINING, 0),
            backend(2, BackendState.READY, fixture.actions.now));
        LoadReport report = PolicyFixture.reportOfFreeSlots(2);
        report.recentRunMicros = 50 * MS;
        fixture.policy.probeEnded(fixture.actions.now, 1, true, report);
        for (int i = 0; i < 50; i++) {
            fixture.request(RENDER);
        }
        long work = fixture.actions.sends.size() * 50 * MS;
        assertTrue(work > 50 * MS && work <= 2 * 2 * 0.25 * SECOND, "sent " + fixture.actions.sends.size());
    }

    /** A request larger than what all may send in a window would never be sent otherwise. */
    @Test void requestLargerThanAnyShareIsSentByOneDispatcherInEverySecondWindow() {
        List<Long> times = new ArrayList<>();
        for (int index = 0; index < 5; index++) {
            fixture = new PolicyFixture();
            fixture.settings.dispatcherCount = 5;
            fixture.settings.dispatcherIndex = index;
            fixture.settings.coldCapacityShare = 0.05;
            fixture.settings.warmUpMicros = 1_000 * SECOND;
            fixture.start(backend(1, BackendState.READY, 0));
            fixture.serve(RENDER, 2 * SECOND, PolicyFixture.reportOfFreeSlots(1));
            fixture.advance(SECOND);
            fixture.listBackends(ListUpdate.FULL, backend(2, BackendState.READY, fixture.actions.now));
            for (int i = 0; i < 1_000; i++) {
                fixture.request(RENDER);
                fixture.advance(10 * MS);
            }
            for (int actionIndex = 0; actionIndex < fixture.actions.descriptions.size(); actionIndex++) {
                if (fixture.actions.descriptions.get(actionIndex).matches("send \\d+ 2")) {
                    times.add(fixture.actions.times.get(actionIndex));
                }
            }
        }
        times.sort(null);
        assertTrue(times.size() >= 5, "one in two windows: " + times);
        for (int i = 1; i < times.size(); i++) {
            assertTrue(times.get(i) - times.get(i - 1) >= fixture.settings.overloadWindowMicros,
                "two in one window: " + times);
        }
    }

    @Test void coldBackendsGetNothingSoonAfterTheDispatchersStart() {
        fixture.actions.now = 20 * SECOND;
        fixture.start(backend(1, BackendState.READY, 0), backend(2, BackendState.READY, 0),
            backend(3, BackendState.READY, 19 * SECOND));
        for (int i = 0; i < 3; i++) {
            fixture.serve(RENDER, 20 * MS, null);
        }
        fixture.answerProbe(3, 8);
        for (int i = 0; i < 30; i++) {
            fixture.endAttempt(fixture.request(RENDER), 0, Outcome.SERVED);
        }
        assertFalse(fixture.actions.sends.stream().anyMatch(send -> send.backendId() == 3));
    }

    @Test void warmBackendGetsItsFullShareAgain() {
        fixture.start(fleet(2));
        fixture.serve(RENDER, 50 * MS, PolicyFixture.reportOfFreeSlots(2));
        fixture.listBackends(ListUpdate.DELTA, backend(3, BackendState.READY, fixture.actions.now));
        fixture.advance(10 * SECOND);
        for (int i = 0; i < 12; i++) {
            fixture.request(RENDER);
        }
        assertNotEquals(0, fixture.actions.sends.stream().filter(send -> send.backendId() == 3).count());
    }
}
