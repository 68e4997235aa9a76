package badgermux.decide;

import static badgermux.decide.PolicyFixture.MS;
import static badgermux.decide.PolicyFixture.PAY;
import static badgermux.decide.PolicyFixture.RENDER;
import static badgermux.decide.PolicyFixture.SAVE;
import static badgermux.decide.PolicyFixture.SECOND;
import static badgermux.decide.PolicyFixture.fleet;
import static badgermux.decide.PolicyFixture.backend;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.decide.DispatchPolicy.Effect;
import badgermux.decide.DispatchPolicy.ListUpdate;
import badgermux.decide.DispatchPolicy.Outcome;
import badgermux.decide.DispatchPolicy.DedupScope;
import badgermux.decide.DispatchPolicy.Backend;
import badgermux.decide.DispatchPolicy.BackendState;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The four rules, guard by guard. */
class RulesTest {
    private PolicyFixture rig = new PolicyFixture();

    // ---- Rule 1: one final answer in time

    @Test void heldJobIsRefusedBeforeItsClientGivesUp() {
        rig.start();
        long job = rig.request(RENDER, 250 * MS);
        rig.advance(100 * MS);
        assertEquals(List.of(), rig.actions.refused, "still time for a worker to appear");
        rig.advance(145 * MS);
        assertEquals(List.of(job), rig.actions.refused);
        rig.listBackends(ListUpdate.FULL, fleet(4));
        rig.advance(5 * SECOND);
        assertEquals(0, rig.sendCount(job), "nothing is sent after the final answer");
    }

    @Test void heldJobGoesOutAsSoonAsAWorkerAppears() {
        rig.start();
        long job = rig.request(PAY);
        rig.listBackends(ListUpdate.FULL, fleet(2));
        assertEquals(1, rig.sendCount(job));
    }

    @Test void timeOutAtTheDeadlineIsAnsweredOnce() {
        rig.start(fleet(4));
        long job = rig.request(PAY);
        rig.advance(5 * SECOND);
        rig.endAttempt(job, 0, Outcome.TIMED_OUT);
        rig.endAttempt(job, 0, Outcome.TIMED_OUT);
        assertEquals(List.of(job), rig.actions.failed);
        assertEquals(1, rig.actions.sends.size());
    }

    @Test void nothingIsSentOrAnsweredAfterTheClientLeft() {
        rig.start(fleet(4));
        long job = rig.request(RENDER);
        rig.policy.clientDisconnected(rig.actions.now, job);
        rig.endAttempt(job, 0, Outcome.RESET);
        rig.advance(10 * SECOND);
        assertEquals(1, rig.sendCount(job));
        assertEquals(List.of(), rig.actions.refused);
        assertEquals(List.of(), rig.actions.failed);
        assertEquals(List.of(job + "/0"), rig.actions.cancelled);
    }

    @Test void servedJobIsOverAndItsCopyWithdrawn() {
        rig.settings.reportMode = DispatchPolicy.ReportMode.NEVER;
        rig.start(fleet(8));
        long job = rig.request(RENDER);
        rig.advance(50 * MS);
        assertEquals(2, rig.sendCount(job), "unstarted for an eighth of the aim: a copy");
        rig.endAttempt(job, 1, Outcome.SERVED);
        assertEquals(List.of(job + "/0"), rig.actions.cancelled);
        rig.endAttempt(job, 0, Outcome.CANCELLED);
        rig.advance(10 * SECOND);
        assertEquals(2, rig.sendCount(job));
        assertEquals(List.of(), rig.actions.refused);
        assertEquals(List.of(), rig.actions.failed);
    }

    @Test void unknownLateAndRepeatedEventsAreHarmless() {
        rig.start(fleet(4));
        long job = rig.request(PAY);
        rig.endAttempt(job, 0, Outcome.SERVED);
        int actions = rig.actions.descriptions.size();
        rig.policy.attemptStarted(rig.actions.now, job, 0);
        rig.policy.attemptProgressed(rig.actions.now, 99, 3);
        rig.policy.responseStreaming(rig.actions.now, 99, 0);
        rig.policy.clientDisconnected(rig.actions.now, job);
        rig.policy.clientDisconnected(rig.actions.now, 99);
        rig.policy.attemptEnded(rig.actions.now, job, 0, 1, Outcome.RESET, true, null);
        rig.policy.attemptEnded(rig.actions.now, 99, 7, 55, Outcome.SERVED, true, PolicyFixture.reportOfFreeSlots(3));
        rig.policy.probeEnded(rig.actions.now, 55, true, PolicyFixture.reportOfFreeSlots(3));
        rig.policy.timerFired(rig.actions.now, 123_456);
        assertEquals(actions, rig.actions.descriptions.size(), () -> rig.actions.descriptions.toString());
    }

    // ---- Rule 2: no effect twice

    @ParameterizedTest @EnumSource(Outcome.class)
    void onceJobGoesAgainOnlyIfItNeverRan(Outcome outcome) {
        rig.start(fleet(8));
        long job = rig.request(PAY);
        rig.endAttempt(job, 0, outcome);
        boolean again = outcome.neverRan();
        assertEquals(again ? 2 : 1, rig.sendCount(job));
        assertEquals(again || outcome == Outcome.SERVED ? List.of() : List.of(job), rig.actions.failed);
        assertEquals(List.of(), rig.actions.refused);
    }

    @Test void onceJobThatWasOnlyTurnedAwayIsRefusedAndOneThatMayHaveRunFails() {
        rig.settings.maxAttempts = 2;
        rig.start(fleet(8));
        long away = rig.request(PAY);
        rig.endAttempt(away, 0, Outcome.REJECTED);
        rig.endAttempt(away, 1, Outcome.REJECTED);
        assertEquals(List.of(away), rig.actions.refused);
        long ran = rig.request(PAY);
        rig.endAttempt(ran, 0, Outcome.REJECTED);
        rig.endAttempt(ran, 1, Outcome.RESET);
        assertEquals(List.of(ran), rig.actions.failed);
    }

    /** Where workers also turn away what they had begun, 'full' is no proof: seen as a keyed job sent to another zone. */
    @Test void aRejectedJobThatMayHaveRunIsNeitherRepeatedNorRefused() {
        rig.settings.rejectedMayHaveRun = true;
        rig.start(fleet(16));
        long once = rig.request(PAY);
        rig.endAttempt(once, 0, Outcome.REJECTED);
        assertEquals(1, rig.sendCount(once));
        assertEquals(List.of(once), rig.actions.failed);
        long keyed = rig.request(SAVE);
        for (int i = 0; i < 4; i++) {
            rig.endAttempt(keyed, i, Outcome.REJECTED);
        }
        List<Long> cells = rig.actions.sends.stream().filter(x -> x.requestId() == keyed).map(x -> (x.backendId() - 1) / 2).toList();
        assertEquals(4, cells.size());
        assertEquals(1, Set.copyOf(cells).size(), "left its cell: " + cells);
        assertEquals(List.of(once, keyed), rig.actions.failed);
        assertEquals(List.of(), rig.actions.refused);
    }

    @Test void aRejectedKeyedJobIsNotSentAgainAfterItsWindowWhereItMayHaveRun() {
        aLateSaveIsWorthSomething();
        rig.settings.rejectedMayHaveRun = true;
        rig.start(fleet(16));
        long job = rig.request(SAVE);
        rig.policy.attemptStarted(rig.actions.now, job, 0);
        rig.advance(2 * SECOND);
        rig.policy.attemptProgressed(rig.actions.now, job, 0);
        rig.advance(999 * MS);
        rig.endAttempt(job, 0, Outcome.REJECTED);
        rig.advance(SECOND);
        assertEquals(1, rig.sendCount(job));
        assertEquals(List.of(job), rig.actions.failed);
    }

    @Test void aRefusalSaysWhenToComeBack() {
        rig.settings.maxRetryAfterMicros = 2 * SECOND;
        rig.start(fleet(4));
        rig.serve(RENDER, 400 * MS, null);
        rig.listBackends(ListUpdate.FULL);
        rig.request(RENDER);
        rig.advance(SECOND);
        assertEquals(List.of(400 * MS), rig.actions.retryAfters, "one mean run");
    }

    /** A job whose answer is worth nothing any more was tried again until shortly before its deadline. */
    @Test void aJobGivenUpIsAnsweredAtOnce() {
        rig.start(fleet(4));
        long job = rig.request(PAY);
        rig.advance(SECOND);
        rig.endAttempt(job, 0, Outcome.REJECTED);
        assertEquals(List.of(job), rig.actions.refused);
        assertEquals(1, rig.sendCount(job));
    }

    // ---- Where a class may run

    /** Seen as charges sent to other rooms as soon as those of their own were busy or the draw fell there. */
    @Test void everyAttemptStaysWhereItsClassMayRunCopiesToo() {
        rig.settings.reportMode = DispatchPolicy.ReportMode.NEVER;
        rig.settings.classes.add(new DispatchPolicy.RequestClass("bound", Effect.REPEATABLE, DedupScope.ALL, 300 * MS, 1.5, 5 * SECOND, 0,
            1, 0.5, null, Set.of(1), false));
        rig.start(fleet(16));
        for (int i = 0; i < 30; i++) {
            long job = rig.request(3);
            if (i % 2 == 0) {
                rig.endAttempt(job, 0, Outcome.REJECTED);
            }
            rig.advance(50 * MS);
        }
        assertTrue(rig.actions.sends.size() > 45, "attempts and copies: " + rig.actions.sends.size());
        assertEquals(Set.of(1L), rig.actions.sends.stream().map(x -> (x.backendId() - 1) / 4).collect(Collectors.toSet()));
    }

    @Test void aBoundJobIsHeldWhileNoWorkerOfItsZoneIsReadyThenRefused() {
        rig.settings.classes.add(new DispatchPolicy.RequestClass("bound", Effect.ONCE, DedupScope.ALL, 300 * MS, 1.5, 5 * SECOND, 0,
            1, 0, Set.of(0), Set.of(1), false));
        rig.start(fleet(4));
        long job = rig.request(3);
        rig.listBackends(ListUpdate.DELTA, new Backend(5, 1, 1, 2, BackendState.READY, 0));
        rig.advance(50 * MS);
        assertEquals(0, rig.sendCount(job), "the right zone, but the wrong kind");
        rig.advance(5 * SECOND);
        assertEquals(List.of(job), rig.actions.refused);
        assertEquals(0, rig.sendCount(job));
    }

    @Test void onceJobIsNeverCopied() {
        rig.start(fleet(8));
        long job = rig.request(PAY);
        rig.advance(4 * SECOND);
        assertEquals(1, rig.sendCount(job));
        assertEquals(List.of(), rig.actions.cancelled);
    }

    @ParameterizedTest @EnumSource(DedupScope.class)
    void keyedJobThatMayHaveRunStaysInItsScope(DedupScope scope) {
        rig.settings.classes.set(SAVE, PolicyFixture.requestClass("save", Effect.BY_KEY, scope, -1));
        rig.start(fleet(16));
        for (int i = 0; i < 40; i++) {
            long job = rig.request(SAVE);
            long first = rig.actions.lastSend().backendId();
            rig.endAttempt(job, 0, Outcome.ERROR);
            long second = rig.actions.lastSend().backendId();
            assertEquals(2, rig.sendCount(job));
            long size = scope == DedupScope.CELL ? 2 : scope == DedupScope.ZONE ? 4 : 16;
            assertEquals((first - 1) / size, (second - 1) / size, scope + ": " + first + " then " + second);
            rig.endAttempt(job, 1, Outcome.SERVED);
            rig.advance(SECOND);
        }
    }

    /** Else a job that is late is given up before its window counts. */
    private void aLateSaveIsWorthSomething() {
        rig.settings.classes.set(SAVE, new DispatchPolicy.RequestClass("save", Effect.BY_KEY, DedupScope.CELL, 300 * MS, 1.5, 5 * SECOND,
            3 * SECOND, 1, 0.5, -1, false));
    }

    @Test void keyedJobIsNotSentAgainAfterTheWindow() {
        aLateSaveIsWorthSomething();
        rig.start(fleet(16));
        long job = rig.request(SAVE);
        rig.policy.attemptStarted(rig.actions.now, job, 0);
        rig.policy.attemptProgressed(rig.actions.now, job, 0);
        rig.advance(2 * SECOND);
        rig.policy.attemptProgressed(rig.actions.now, job, 0);
        rig.advance(999 * MS);
        rig.endAttempt(job, 0, Outcome.RESET);
        rig.advance(SECOND);
        assertEquals(1, rig.sendCount(job));
        assertEquals(List.of(job), rig.actions.failed, "it may have run, so it is no refusal");
    }

    @Test void windowCountsFromTheFirstAttemptThatMayHaveRun() {
        rig.settings.reportMode = DispatchPolicy.ReportMode.NEVER;
        aLateSaveIsWorthSomething();
        rig.start(fleet(16));
        long job = rig.request(SAVE);
        rig.advance(SECOND);
        assertEquals(2, rig.sendCount(job), "a copy inside the cell");
        rig.advance(1_500 * MS);
        rig.endAttempt(job, 1, Outcome.REJECTED);
        rig.advance(499 * MS);
        rig.endAttempt(job, 0, Outcome.RESET);
        assertEquals(2, rig.sendCount(job));
        assertEquals(List.of(job), rig.actions.failed);
    }

    /** The attempt may wait for its connection for as long as one may take: by then the window was over. */
    @Test void aRepeatOfAKeyedJobLeavesTheWindowTimeForItsConnection() {
        aLateSaveIsWorthSomething();
        rig.settings.connectTimeoutMicros = 300 * MS;
        rig.settings.mayHedge = false;
        rig.start(fleet(8));
        long window = rig.settings.classes.get(SAVE).dedupWindowMicros();
        long early = rig.request(SAVE), late = rig.request(SAVE);
        rig.advance(window - 400 * MS);
        rig.endAttempt(early, 0, Outcome.RESET);
        assertEquals(2, rig.sendCount(early));
        rig.advance(200 * MS);
        rig.endAttempt(late, 0, Outcome.RESET);
        assertEquals(1, rig.sendCount(late), "its connection might come up outside the window");
        assertEquals(List.of(late), rig.actions.failed);
    }

    /** Moved to another worker when it did not start, a job ran twice where a cancel stops nothing. */
    @Test void neverTwoAttemptsAtOnceNorAMoveWhereThatIsForbidden() {
        rig.settings.mayHedge = false;
        rig.start(fleet(8));
        long job = rig.request(RENDER);
        rig.advance(200 * MS);
        assertEquals(1, rig.sendCount(job));
        assertEquals(List.of(), rig.actions.cancelled, "what waits there keeps its place");
        rig.endAttempt(job, 0, Outcome.RESET);
        assertEquals(2, rig.sendCount(job));
    }

    @Test void aStreamIsNeitherCopiedNorRepeatedOnceItHasBegun() {
        rig.settings.classes.add(new DispatchPolicy.RequestClass("stream", Effect.REPEATABLE, DedupScope.ALL, 300 * MS, 1.5, 5 * SECOND,
            0, 1, 0, -1, true));
        rig.start(fleet(8));
        long job = rig.request(3);
        rig.advance(SECOND);
        rig.policy.responseStreaming(rig.actions.now, job, 0);
        rig.endAttempt(job, 0, Outcome.RESET);
        rig.advance(SECOND);
        assertEquals(1, rig.sendCount(job));
    }

    @Test void aRepeatedOutcomeCountsOnce() {
        rig.settings.reportMode = DispatchPolicy.ReportMode.NEVER;
        rig.start(fleet(8));
        long job = rig.request(RENDER);
        rig.advance(50 * MS);
        assertEquals(2, rig.sendCount(job), "one is copied");
        rig.endAttempt(job, 0, Outcome.RESET);
        rig.advance(SECOND);
        rig.endAttempt(job, 0, Outcome.SERVED);
        assertEquals(1, rig.actions.logged.size(), "it was lost and not served: " + rig.actions.logged);
    }

    @Test void nothingIsCancelledOrProbedWhereThatIsForbidden() {
        rig.settings.mayCancel = false;
        rig.settings.reportMode = DispatchPolicy.ReportMode.ON_PROBE;
        rig.start(fleet(4));
        long job = rig.request(RENDER);
        rig.advance(SECOND);
        rig.policy.clientDisconnected(rig.actions.now, job);
        assertEquals(List.of(), rig.actions.cancelled);
        assertEquals(List.of(), rig.actions.probed);
    }

    @Test void attemptsStayWithinTheLimit() {
        rig.start(fleet(8));
        long job = rig.request(RENDER);
        for (int i = 0; i < 6; i++) {
            rig.endAttempt(job, i, Outcome.REJECTED);
        }
        assertEquals(4, rig.sendCount(job));
        assertEquals(List.of(job), rig.actions.refused);
    }

    // ---- Rule 3: drains

    @ParameterizedTest @EnumSource(value = BackendState.class, names = {"DRAINING", "GONE"})
    void nothingGoesToAWorkerThatDrainsOrIsGone(BackendState state) {
        rig.start(fleet(3));
        rig.listBackends(ListUpdate.DELTA, backend(2, state, 0));
        for (int i = 0; i < 50; i++) {
            rig.request(RENDER);
            rig.advance(100 * MS);
        }
        assertFalse(rig.actions.sends.stream().anyMatch(x -> x.backendId() == 2));
    }

    @Test void aWorkerAbsentFromAWholeListIsGoneAndTheListAfterARestartCounts() {
        rig.start(backend(1, BackendState.DRAINING, 0), backend(2, BackendState.READY, 0),
            backend(3, BackendState.READY, 0));
        rig.listBackends(ListUpdate.FULL, backend(1, BackendState.DRAINING, 0), backend(3, BackendState.READY, 0));
        for (int i = 0; i < 30; i++) {
            rig.request(RENDER);
        }
        assertEquals(Set.of(3L), rig.actions.sends.stream().map(RecordingActions.Send::backendId).collect(Collectors.toSet()));
    }

    /** The connection of a job that ended after the notice was left open. */
    @ParameterizedTest @EnumSource(Outcome.class)
    void aLaterOutcomeOfADrainingWorkerClosesItsConnectionToo(Outcome outcome) {
        rig.start(fleet(1));
        long job = rig.request(PAY);
        rig.listBackends(ListUpdate.DELTA, backend(1, BackendState.DRAINING, 0));
        assertEquals(List.of(1L), rig.actions.closedIdle, "at the notice");
        rig.endAttempt(job, 0, outcome);
        assertEquals(List.of(1L, 1L), rig.actions.closedIdle);
    }

    // ---- Rule 4: cold workers

    /** Two slots, a quarter of its capacity, twice that for a second, over two dispatchers. */
    private double coldWork(int pushes, long run) {
        rig.start(backend(1, BackendState.READY, 0), backend(2, BackendState.READY, 0));
        for (int i = 0; i < 5; i++) {
            rig.serve(RENDER, run, PolicyFixture.reportOfFreeSlots(2));
        }
        rig.advance(2 * SECOND);
        rig.listBackends(ListUpdate.DELTA, backend(3, BackendState.READY, rig.actions.now));
        rig.answerProbe(1, 0);
        rig.answerProbe(2, 0);
        rig.answerProbe(3, 2);
        for (int i = 0; i < pushes; i++) {
            long job = rig.request(RENDER);
            rig.endAttempt(job, 0, Outcome.SERVED);
        }
        return rig.actions.sends.stream().filter(x -> x.backendId() == 3).count() * run;
    }

    @Test void coldWorkerGetsNoMoreThanItsBudgetEndedWorkIncluded() {
        double work = coldWork(60, 50 * MS);
        assertTrue(work > 0, "small jobs may warm it up");
        assertTrue(work <= 2 * 2 * 0.25 * SECOND / 2, "sent " + work);
    }

    /** A worker that has started anew under its id took a window's work again from who had just sent it as much. */
    @Test void whatWasSentBeforeAStartWasToldCountsAgainstTheBudget() {
        rig.settings.dispatcherCount = 1;
        rig.start(backend(3, BackendState.READY, 0));
        for (int i = 0; i < 5; i++) {
            rig.serve(RENDER, 50 * MS, PolicyFixture.reportOfFreeSlots(2));
        }
        rig.advance(2 * SECOND);
        int before = rig.actions.sends.size();
        for (int i = 0; i < 70; i++) {
            if (i == 10) {
                rig.listBackends(ListUpdate.DELTA, backend(3, BackendState.READY, rig.actions.now - 1));
            }
            rig.endAttempt(rig.request(RENDER), 0, Outcome.SERVED);
        }
        assertEquals(10, rig.actions.sends.size() - before, "half of 2 x 2 x 0.25 slots for 1 s");
    }

    @Test void aJobLargerThanTheBudgetNeverGoesToAColdWorker() {
        assertEquals(0, coldWork(60, 700 * MS));
    }

    @Test void aNewWorkerWithoutAReportMayTakeTheBudgetOfItsKindsSlots() {
        rig.start(backend(1, BackendState.READY, 0), backend(2, BackendState.READY, 0));
        for (int i = 0; i < 5; i++) {
            rig.serve(RENDER, 200 * MS, PolicyFixture.reportOfFreeSlots(8));
        }
        rig.advance(2 * SECOND);
        rig.listBackends(ListUpdate.DELTA, backend(3, BackendState.READY, rig.actions.now));
        rig.answerProbe(1, 0);
        rig.answerProbe(2, 0);
        for (int i = 0; i < 40; i++) {
            rig.request(RENDER);
        }
        long sent = rig.actions.sends.stream().filter(x -> x.backendId() == 3).count();
        assertTrue(sent > 0, "one slot's budget would hold no job of 0.2 s");
        assertTrue(sent <= 5, "half of 2 x 8 x 0.25 slots for 1 s, over two dispatchers: " + sent);
    }

    @Test void theColdBudgetIsSplitOverTheDispatchers() {
        rig.settings.dispatcherCount = 8;
        double work = coldWork(60, 20 * MS);
        assertTrue(work > 0 && work <= 2 * 2 * 0.25 * SECOND / 8, "sent " + work);
    }

    /** At full size an even part of the budget held no job, and workers that came back stood idle until warm. */
    @Test void whereAnEvenPartHoldsNoJobSomeDispatchersSendOneEachByTurns() {
        long run = 100 * MS, sent = 0;
        for (int index = 0; index < 40; index++) {
            rig = new PolicyFixture();
            rig.settings.dispatcherCount = 40;
            rig.settings.dispatcherIndex = index;
            long ours = Math.round(coldWork(60, run)) / run;
            assertTrue(ours <= 1, "an even part is an eighth of a job, sent " + ours);
            sent += ours;
        }
        assertEquals(5, sent, "half of 2 x 2 x 0.25 slots for 1 s, over all dispatchers");
    }

    /** Where starts are not told no run time was ever known, and cold workers stood idle until warm. */
    @Test void runTimesAreLearntWhereStartsAreNotToldToo() {
        rig.settings.backendsReportStart = false;
        rig.start(backend(1, BackendState.READY, 0), backend(2, BackendState.READY, 0));
        for (int i = 0; i < 60; i++) {
            long job = rig.request(RENDER);
            rig.advance(50 * MS);
            rig.endAttempt(job, 0, Outcome.SERVED, PolicyFixture.reportOfFreeSlots(2));
            if (i == 30) {
                rig.listBackends(ListUpdate.DELTA, backend(3, BackendState.READY, rig.actions.now));
            }
        }
        long sent = rig.actions.sends.stream().filter(x -> x.backendId() == 3).count();
        assertTrue(sent > 0, "small jobs may warm it up");
        assertTrue(sent * 50 * MS <= 2 * 2 * 0.4 * SECOND, "over two windows: " + sent);
    }

    /** A class that only cold workers may run was never sent to one, as no run of it was ever seen. */
    @Test void whileRunTimesAreUnknownAColdWorkerGetsOneJobOfAllDispatchersInTwoWindows() {
        int sent = 0;
        for (int index = 0; index < 5; index++) {
            rig = new PolicyFixture();
            rig.settings.dispatcherCount = 5;
            rig.settings.dispatcherIndex = index;
            rig.start();
            rig.advance(3 * SECOND);
            rig.listBackends(ListUpdate.DELTA, backend(2, BackendState.READY, rig.actions.now));
            for (int i = 0; i < 190; i++) {
                rig.request(RENDER);
                rig.advance(10 * MS);
            }
            sent += rig.actions.sends.size();
        }
        assertEquals(1, sent);
    }

    /** A dispatcher of a request a second knew no run for its first ten seconds, though each report tells of runs. */
    @Test void whatWorkersTellOfTheirRunsCountsUntilAJobHasEnded() {
        rig.settings.dispatcherCount = 1;
        rig.start(backend(1, BackendState.READY, 0));
        rig.advance(3 * SECOND);
        rig.listBackends(ListUpdate.FULL, backend(1, BackendState.DRAINING, 0), backend(2, BackendState.READY, rig.actions.now));
        DispatchPolicy.LoadReport report = PolicyFixture.reportOfFreeSlots(2);
        report.recentRunMicros = 50 * MS;
        rig.policy.probeEnded(rig.actions.now, 1, true, report);
        for (int i = 0; i < 50; i++) {
            rig.request(RENDER);
        }
        long work = rig.actions.sends.size() * 50 * MS;
        assertTrue(work > 50 * MS && work <= 2 * 2 * 0.25 * SECOND, "sent " + rig.actions.sends.size());
    }

    /** A job larger than what all may send in a window was never sent at all. */
    @Test void aJobThatNoPartHoldsIsSentByOneOfAllInEachSecondWindow() {
        List<Long> times = new ArrayList<>();
        for (int index = 0; index < 5; index++) {
            rig = new PolicyFixture();
            rig.settings.dispatcherCount = 5;
            rig.settings.dispatcherIndex = index;
            rig.settings.coldCapacityShare = 0.05;
            rig.settings.warmUpMicros = 1_000 * SECOND;
            rig.start(backend(1, BackendState.READY, 0));
            rig.serve(RENDER, 2 * SECOND, PolicyFixture.reportOfFreeSlots(1));
            rig.advance(SECOND);
            rig.listBackends(ListUpdate.FULL, backend(2, BackendState.READY, rig.actions.now));
            for (int i = 0; i < 1_000; i++) {
                rig.request(RENDER);
                rig.advance(10 * MS);
            }
            for (int at = 0; at < rig.actions.descriptions.size(); at++) {
                if (rig.actions.descriptions.get(at).matches("send \\d+ 2")) {
                    times.add(rig.actions.times.get(at));
                }
            }
        }
        times.sort(null);
        assertTrue(times.size() >= 5, "one in two seconds: " + times);
        for (int i = 1; i < times.size(); i++) {
            assertTrue(times.get(i) - times.get(i - 1) >= rig.settings.overloadWindowMicros, "two in one window: " + times);
        }
    }

    @Test void afterOurOwnRestartColdWorkersGetNothingAtFirst() {
        rig.actions.now = 20 * SECOND;
        rig.start(backend(1, BackendState.READY, 0), backend(2, BackendState.READY, 0),
            backend(3, BackendState.READY, 19 * SECOND));
        for (int i = 0; i < 3; i++) {
            rig.serve(RENDER, 20 * MS, null);
        }
        rig.answerProbe(3, 8);
        for (int i = 0; i < 30; i++) {
            rig.endAttempt(rig.request(RENDER), 0, Outcome.SERVED);
        }
        assertFalse(rig.actions.sends.stream().anyMatch(x -> x.backendId() == 3));
    }

    @Test void aWarmWorkerTakesItsFullShareAgain() {
        rig.start(fleet(2));
        rig.serve(RENDER, 50 * MS, PolicyFixture.reportOfFreeSlots(2));
        rig.listBackends(ListUpdate.DELTA, backend(3, BackendState.READY, rig.actions.now));
        rig.advance(10 * SECOND);
        for (int i = 0; i < 12; i++) {
            rig.request(RENDER);
        }
        assertNotEquals(0, rig.actions.sends.stream().filter(x -> x.backendId() == 3).count());
    }
}
