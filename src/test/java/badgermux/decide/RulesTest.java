package badgermux.decide;

import static badgermux.decide.Rig.MS;
import static badgermux.decide.Rig.PAY;
import static badgermux.decide.Rig.RENDER;
import static badgermux.decide.Rig.SAVE;
import static badgermux.decide.Rig.SECOND;
import static badgermux.decide.Rig.fleet;
import static badgermux.decide.Rig.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.decide.Dispatch.Effect;
import badgermux.decide.Dispatch.ListUpdate;
import badgermux.decide.Dispatch.Outcome;
import badgermux.decide.Dispatch.Scope;
import badgermux.decide.Dispatch.Worker;
import badgermux.decide.Dispatch.WorkerState;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The four rules, guard by guard. */
class RulesTest {
    private Rig rig = new Rig();

    // ---- Rule 1: one final answer in time

    @Test void heldJobIsRefusedBeforeItsClientGivesUp() {
        rig.start();
        long job = rig.request(RENDER, 250 * MS);
        rig.advance(100 * MS);
        assertEquals(List.of(), rig.did.refused, "still time for a worker to appear");
        rig.advance(145 * MS);
        assertEquals(List.of(job), rig.did.refused);
        rig.list(ListUpdate.FULL, fleet(4));
        rig.advance(5 * SECOND);
        assertEquals(0, rig.sendsOf(job), "nothing is sent after the final answer");
    }

    @Test void heldJobGoesOutAsSoonAsAWorkerAppears() {
        rig.start();
        long job = rig.request(PAY);
        rig.list(ListUpdate.FULL, fleet(2));
        assertEquals(1, rig.sendsOf(job));
    }

    @Test void timeOutAtTheDeadlineIsAnsweredOnce() {
        rig.start(fleet(4));
        long job = rig.request(PAY);
        rig.advance(5 * SECOND);
        rig.outcome(job, 0, Outcome.TIMED_OUT);
        rig.outcome(job, 0, Outcome.TIMED_OUT);
        assertEquals(List.of(job), rig.did.failed);
        assertEquals(1, rig.did.sends.size());
    }

    @Test void nothingIsSentOrAnsweredAfterTheClientLeft() {
        rig.start(fleet(4));
        long job = rig.request(RENDER);
        rig.module.clientGone(rig.did.now, job);
        rig.outcome(job, 0, Outcome.RESET);
        rig.advance(10 * SECOND);
        assertEquals(1, rig.sendsOf(job));
        assertEquals(List.of(), rig.did.refused);
        assertEquals(List.of(), rig.did.failed);
        assertEquals(List.of(job + "/0"), rig.did.cancelled);
    }

    @Test void servedJobIsOverAndItsCopyWithdrawn() {
        rig.settings.reports = Dispatch.ReportMode.NEVER;
        rig.start(fleet(8));
        long job = rig.request(RENDER);
        rig.advance(50 * MS);
        assertEquals(2, rig.sendsOf(job), "unstarted for an eighth of the aim: a copy");
        rig.outcome(job, 1, Outcome.SERVED);
        assertEquals(List.of(job + "/0"), rig.did.cancelled);
        rig.outcome(job, 0, Outcome.CANCELLED);
        rig.advance(10 * SECOND);
        assertEquals(2, rig.sendsOf(job));
        assertEquals(List.of(), rig.did.refused);
        assertEquals(List.of(), rig.did.failed);
    }

    @Test void unknownLateAndRepeatedEventsAreHarmless() {
        rig.start(fleet(4));
        long job = rig.request(PAY);
        rig.outcome(job, 0, Outcome.SERVED);
        int actions = rig.did.all.size();
        rig.module.started(rig.did.now, job, 0);
        rig.module.progress(rig.did.now, 99, 3);
        rig.module.streaming(rig.did.now, 99, 0);
        rig.module.clientGone(rig.did.now, job);
        rig.module.clientGone(rig.did.now, 99);
        rig.module.outcome(rig.did.now, job, 0, 1, Outcome.RESET, true, null);
        rig.module.outcome(rig.did.now, 99, 7, 55, Outcome.SERVED, true, Rig.free(3));
        rig.module.probed(rig.did.now, 55, true, Rig.free(3));
        rig.module.timer(rig.did.now, 123_456);
        assertEquals(actions, rig.did.all.size(), () -> rig.did.all.toString());
    }

    // ---- Rule 2: no effect twice

    @ParameterizedTest @EnumSource(Outcome.class)
    void onceJobGoesAgainOnlyIfItNeverRan(Outcome outcome) {
        rig.start(fleet(8));
        long job = rig.request(PAY);
        rig.outcome(job, 0, outcome);
        boolean again = outcome.neverRan();
        assertEquals(again ? 2 : 1, rig.sendsOf(job));
        assertEquals(again || outcome == Outcome.SERVED ? List.of() : List.of(job), rig.did.failed);
        assertEquals(List.of(), rig.did.refused);
    }

    @Test void onceJobThatWasOnlyTurnedAwayIsRefusedAndOneThatMayHaveRunFails() {
        rig.settings.maxAttempts = 2;
        rig.start(fleet(8));
        long away = rig.request(PAY);
        rig.outcome(away, 0, Outcome.REJECTED);
        rig.outcome(away, 1, Outcome.REJECTED);
        assertEquals(List.of(away), rig.did.refused);
        long ran = rig.request(PAY);
        rig.outcome(ran, 0, Outcome.REJECTED);
        rig.outcome(ran, 1, Outcome.RESET);
        assertEquals(List.of(ran), rig.did.failed);
    }

    /** Where workers also turn away what they had begun, 'full' is no proof: seen as a keyed job sent to another zone. */
    @Test void aRejectedJobThatMayHaveRunIsNeitherRepeatedNorRefused() {
        rig.settings.rejectedMayHaveRun = true;
        rig.start(fleet(16));
        long once = rig.request(PAY);
        rig.outcome(once, 0, Outcome.REJECTED);
        assertEquals(1, rig.sendsOf(once));
        assertEquals(List.of(once), rig.did.failed);
        long keyed = rig.request(SAVE);
        for (int i = 0; i < 4; i++) {
            rig.outcome(keyed, i, Outcome.REJECTED);
        }
        List<Long> cells = rig.did.sends.stream().filter(x -> x.job() == keyed).map(x -> (x.worker() - 1) / 2).toList();
        assertEquals(4, cells.size());
        assertEquals(1, Set.copyOf(cells).size(), "left its cell: " + cells);
        assertEquals(List.of(once, keyed), rig.did.failed);
        assertEquals(List.of(), rig.did.refused);
    }

    @Test void aRejectedKeyedJobIsNotSentAgainAfterItsWindowWhereItMayHaveRun() {
        aLateSaveIsWorthSomething();
        rig.settings.rejectedMayHaveRun = true;
        rig.start(fleet(16));
        long job = rig.request(SAVE);
        rig.module.started(rig.did.now, job, 0);
        rig.advance(2 * SECOND);
        rig.module.progress(rig.did.now, job, 0);
        rig.advance(999 * MS);
        rig.outcome(job, 0, Outcome.REJECTED);
        rig.advance(SECOND);
        assertEquals(1, rig.sendsOf(job));
        assertEquals(List.of(job), rig.did.failed);
    }

    @Test void aRefusalSaysWhenToComeBack() {
        rig.settings.longestComeBack = 2 * SECOND;
        rig.start(fleet(4));
        rig.serve(RENDER, 400 * MS, null);
        rig.list(ListUpdate.FULL);
        rig.request(RENDER);
        rig.advance(SECOND);
        assertEquals(List.of(400 * MS), rig.did.comeBacks, "one mean run");
    }

    /** A job whose answer is worth nothing any more was tried again until shortly before its deadline. */
    @Test void aJobGivenUpIsAnsweredAtOnce() {
        rig.start(fleet(4));
        long job = rig.request(PAY);
        rig.advance(SECOND);
        rig.outcome(job, 0, Outcome.REJECTED);
        assertEquals(List.of(job), rig.did.refused);
        assertEquals(1, rig.sendsOf(job));
    }

    // ---- Where a class may run

    /** Seen as charges sent to other rooms as soon as those of their own were busy or the draw fell there. */
    @Test void everyAttemptStaysWhereItsClassMayRunCopiesToo() {
        rig.settings.reports = Dispatch.ReportMode.NEVER;
        rig.settings.classes.add(new Dispatch.JobClass("bound", Effect.REPEATABLE, Scope.ALL, 300 * MS, 1.5, 5 * SECOND, 0,
            1, 0.5, null, Set.of(1), false));
        rig.start(fleet(16));
        for (int i = 0; i < 30; i++) {
            long job = rig.request(3);
            if (i % 2 == 0) {
                rig.outcome(job, 0, Outcome.REJECTED);
            }
            rig.advance(50 * MS);
        }
        assertTrue(rig.did.sends.size() > 45, "attempts and copies: " + rig.did.sends.size());
        assertEquals(Set.of(1L), rig.did.sends.stream().map(x -> (x.worker() - 1) / 4).collect(Collectors.toSet()));
    }

    @Test void aBoundJobIsHeldWhileNoWorkerOfItsZoneIsReadyThenRefused() {
        rig.settings.classes.add(new Dispatch.JobClass("bound", Effect.ONCE, Scope.ALL, 300 * MS, 1.5, 5 * SECOND, 0,
            1, 0, Set.of(0), Set.of(1), false));
        rig.start(fleet(4));
        long job = rig.request(3);
        rig.list(ListUpdate.DELTA, new Worker(5, 1, 1, 2, WorkerState.READY, 0));
        rig.advance(50 * MS);
        assertEquals(0, rig.sendsOf(job), "the right zone, but the wrong kind");
        rig.advance(5 * SECOND);
        assertEquals(List.of(job), rig.did.refused);
        assertEquals(0, rig.sendsOf(job));
    }

    @Test void onceJobIsNeverCopied() {
        rig.start(fleet(8));
        long job = rig.request(PAY);
        rig.advance(4 * SECOND);
        assertEquals(1, rig.sendsOf(job));
        assertEquals(List.of(), rig.did.cancelled);
    }

    @ParameterizedTest @EnumSource(Scope.class)
    void keyedJobThatMayHaveRunStaysInItsScope(Scope scope) {
        rig.settings.classes.set(SAVE, Rig.jobClass("save", Effect.BY_KEY, scope, -1));
        rig.start(fleet(16));
        for (int i = 0; i < 40; i++) {
            long job = rig.request(SAVE);
            long first = rig.did.last().worker();
            rig.outcome(job, 0, Outcome.ERROR);
            long second = rig.did.last().worker();
            assertEquals(2, rig.sendsOf(job));
            long size = scope == Scope.CELL ? 2 : scope == Scope.ZONE ? 4 : 16;
            assertEquals((first - 1) / size, (second - 1) / size, scope + ": " + first + " then " + second);
            rig.outcome(job, 1, Outcome.SERVED);
            rig.advance(SECOND);
        }
    }

    /** Else a job that is late is given up before its window counts. */
    private void aLateSaveIsWorthSomething() {
        rig.settings.classes.set(SAVE, new Dispatch.JobClass("save", Effect.BY_KEY, Scope.CELL, 300 * MS, 1.5, 5 * SECOND,
            3 * SECOND, 1, 0.5, -1, false));
    }

    @Test void keyedJobIsNotSentAgainAfterTheWindow() {
        aLateSaveIsWorthSomething();
        rig.start(fleet(16));
        long job = rig.request(SAVE);
        rig.module.started(rig.did.now, job, 0);
        rig.module.progress(rig.did.now, job, 0);
        rig.advance(2 * SECOND);
        rig.module.progress(rig.did.now, job, 0);
        rig.advance(999 * MS);
        rig.outcome(job, 0, Outcome.RESET);
        rig.advance(SECOND);
        assertEquals(1, rig.sendsOf(job));
        assertEquals(List.of(job), rig.did.failed, "it may have run, so it is no refusal");
    }

    @Test void windowCountsFromTheFirstAttemptThatMayHaveRun() {
        rig.settings.reports = Dispatch.ReportMode.NEVER;
        aLateSaveIsWorthSomething();
        rig.start(fleet(16));
        long job = rig.request(SAVE);
        rig.advance(SECOND);
        assertEquals(2, rig.sendsOf(job), "a copy inside the cell");
        rig.advance(1_500 * MS);
        rig.outcome(job, 1, Outcome.REJECTED);
        rig.advance(499 * MS);
        rig.outcome(job, 0, Outcome.RESET);
        assertEquals(2, rig.sendsOf(job));
        assertEquals(List.of(job), rig.did.failed);
    }

    /** The attempt may wait for its connection for as long as one may take: by then the window was over. */
    @Test void aRepeatOfAKeyedJobLeavesTheWindowTimeForItsConnection() {
        aLateSaveIsWorthSomething();
        rig.settings.connectTimeout = 300 * MS;
        rig.settings.parallelAttempts = false;
        rig.start(fleet(8));
        long window = rig.settings.classes.get(SAVE).window();
        long early = rig.request(SAVE), late = rig.request(SAVE);
        rig.advance(window - 400 * MS);
        rig.outcome(early, 0, Outcome.RESET);
        assertEquals(2, rig.sendsOf(early));
        rig.advance(200 * MS);
        rig.outcome(late, 0, Outcome.RESET);
        assertEquals(1, rig.sendsOf(late), "its connection might come up outside the window");
        assertEquals(List.of(late), rig.did.failed);
    }

    /** Moved to another worker when it did not start, a job ran twice where a cancel stops nothing. */
    @Test void neverTwoAttemptsAtOnceNorAMoveWhereThatIsForbidden() {
        rig.settings.parallelAttempts = false;
        rig.start(fleet(8));
        long job = rig.request(RENDER);
        rig.advance(200 * MS);
        assertEquals(1, rig.sendsOf(job));
        assertEquals(List.of(), rig.did.cancelled, "what waits there keeps its place");
        rig.outcome(job, 0, Outcome.RESET);
        assertEquals(2, rig.sendsOf(job));
    }

    @Test void aStreamIsNeitherCopiedNorRepeatedOnceItHasBegun() {
        rig.settings.classes.add(new Dispatch.JobClass("stream", Effect.REPEATABLE, Scope.ALL, 300 * MS, 1.5, 5 * SECOND,
            0, 1, 0, -1, true));
        rig.start(fleet(8));
        long job = rig.request(3);
        rig.advance(SECOND);
        rig.module.streaming(rig.did.now, job, 0);
        rig.outcome(job, 0, Outcome.RESET);
        rig.advance(SECOND);
        assertEquals(1, rig.sendsOf(job));
    }

    @Test void aRepeatedOutcomeCountsOnce() {
        rig.settings.reports = Dispatch.ReportMode.NEVER;
        rig.start(fleet(8));
        long job = rig.request(RENDER);
        rig.advance(50 * MS);
        assertEquals(2, rig.sendsOf(job), "one is copied");
        rig.outcome(job, 0, Outcome.RESET);
        rig.advance(SECOND);
        rig.outcome(job, 0, Outcome.SERVED);
        assertEquals(1, rig.did.logged.size(), "it was lost and not served: " + rig.did.logged);
    }

    @Test void nothingIsCancelledOrProbedWhereThatIsForbidden() {
        rig.settings.cancels = false;
        rig.settings.reports = Dispatch.ReportMode.ON_PROBE;
        rig.start(fleet(4));
        long job = rig.request(RENDER);
        rig.advance(SECOND);
        rig.module.clientGone(rig.did.now, job);
        assertEquals(List.of(), rig.did.cancelled);
        assertEquals(List.of(), rig.did.probed);
    }

    @Test void attemptsStayWithinTheLimit() {
        rig.start(fleet(8));
        long job = rig.request(RENDER);
        for (int i = 0; i < 6; i++) {
            rig.outcome(job, i, Outcome.REJECTED);
        }
        assertEquals(4, rig.sendsOf(job));
        assertEquals(List.of(job), rig.did.refused);
    }

    // ---- Rule 3: drains

    @ParameterizedTest @EnumSource(value = WorkerState.class, names = {"DRAINING", "GONE"})
    void nothingGoesToAWorkerThatDrainsOrIsGone(WorkerState state) {
        rig.start(fleet(3));
        rig.list(ListUpdate.DELTA, worker(2, state, 0));
        for (int i = 0; i < 50; i++) {
            rig.request(RENDER);
            rig.advance(100 * MS);
        }
        assertFalse(rig.did.sends.stream().anyMatch(x -> x.worker() == 2));
    }

    @Test void aWorkerAbsentFromAWholeListIsGoneAndTheListAfterARestartCounts() {
        rig.start(worker(1, WorkerState.DRAINING, 0), worker(2, WorkerState.READY, 0),
            worker(3, WorkerState.READY, 0));
        rig.list(ListUpdate.FULL, worker(1, WorkerState.DRAINING, 0), worker(3, WorkerState.READY, 0));
        for (int i = 0; i < 30; i++) {
            rig.request(RENDER);
        }
        assertEquals(Set.of(3L), rig.did.sends.stream().map(FakeActions.Send::worker).collect(Collectors.toSet()));
    }

    /** The connection of a job that ended after the notice was left open. */
    @ParameterizedTest @EnumSource(Outcome.class)
    void aLaterOutcomeOfADrainingWorkerClosesItsConnectionToo(Outcome outcome) {
        rig.start(fleet(1));
        long job = rig.request(PAY);
        rig.list(ListUpdate.DELTA, worker(1, WorkerState.DRAINING, 0));
        assertEquals(List.of(1L), rig.did.released, "at the notice");
        rig.outcome(job, 0, outcome);
        assertEquals(List.of(1L, 1L), rig.did.released);
    }

    // ---- Rule 4: cold workers

    /** Two slots, a quarter of its capacity, twice that for a second, over two dispatchers. */
    private double coldWork(int pushes, long run) {
        rig.start(worker(1, WorkerState.READY, 0), worker(2, WorkerState.READY, 0));
        for (int i = 0; i < 5; i++) {
            rig.serve(RENDER, run, Rig.free(2));
        }
        rig.advance(2 * SECOND);
        rig.list(ListUpdate.DELTA, worker(3, WorkerState.READY, rig.did.now));
        rig.report(1, 0);
        rig.report(2, 0);
        rig.report(3, 2);
        for (int i = 0; i < pushes; i++) {
            long job = rig.request(RENDER);
            rig.outcome(job, 0, Outcome.SERVED);
        }
        return rig.did.sends.stream().filter(x -> x.worker() == 3).count() * run;
    }

    @Test void coldWorkerGetsNoMoreThanItsBudgetEndedWorkIncluded() {
        double work = coldWork(60, 50 * MS);
        assertTrue(work > 0, "small jobs may warm it up");
        assertTrue(work <= 2 * 2 * 0.25 * SECOND / 2, "sent " + work);
    }

    /** A worker that has started anew under its id took a window's work again from who had just sent it as much. */
    @Test void whatWasSentBeforeAStartWasToldCountsAgainstTheBudget() {
        rig.settings.dispatchers = 1;
        rig.start(worker(3, WorkerState.READY, 0));
        for (int i = 0; i < 5; i++) {
            rig.serve(RENDER, 50 * MS, Rig.free(2));
        }
        rig.advance(2 * SECOND);
        int before = rig.did.sends.size();
        for (int i = 0; i < 70; i++) {
            if (i == 10) {
                rig.list(ListUpdate.DELTA, worker(3, WorkerState.READY, rig.did.now - 1));
            }
            rig.outcome(rig.request(RENDER), 0, Outcome.SERVED);
        }
        assertEquals(10, rig.did.sends.size() - before, "half of 2 x 2 x 0.25 slots for 1 s");
    }

    @Test void aJobLargerThanTheBudgetNeverGoesToAColdWorker() {
        assertEquals(0, coldWork(60, 700 * MS));
    }

    @Test void aNewWorkerWithoutAReportMayTakeTheBudgetOfItsKindsSlots() {
        rig.start(worker(1, WorkerState.READY, 0), worker(2, WorkerState.READY, 0));
        for (int i = 0; i < 5; i++) {
            rig.serve(RENDER, 200 * MS, Rig.free(8));
        }
        rig.advance(2 * SECOND);
        rig.list(ListUpdate.DELTA, worker(3, WorkerState.READY, rig.did.now));
        rig.report(1, 0);
        rig.report(2, 0);
        for (int i = 0; i < 40; i++) {
            rig.request(RENDER);
        }
        long sent = rig.did.sends.stream().filter(x -> x.worker() == 3).count();
        assertTrue(sent > 0, "one slot's budget would hold no job of 0.2 s");
        assertTrue(sent <= 5, "half of 2 x 8 x 0.25 slots for 1 s, over two dispatchers: " + sent);
    }

    @Test void theColdBudgetIsSplitOverTheDispatchers() {
        rig.settings.dispatchers = 8;
        double work = coldWork(60, 20 * MS);
        assertTrue(work > 0 && work <= 2 * 2 * 0.25 * SECOND / 8, "sent " + work);
    }

    /** At full size an even part of the budget held no job, and workers that came back stood idle until warm. */
    @Test void whereAnEvenPartHoldsNoJobSomeDispatchersSendOneEachByTurns() {
        long run = 100 * MS, sent = 0;
        for (int index = 0; index < 40; index++) {
            rig = new Rig();
            rig.settings.dispatchers = 40;
            rig.settings.index = index;
            long ours = Math.round(coldWork(60, run)) / run;
            assertTrue(ours <= 1, "an even part is an eighth of a job, sent " + ours);
            sent += ours;
        }
        assertEquals(5, sent, "half of 2 x 2 x 0.25 slots for 1 s, over all dispatchers");
    }

    /** Where starts are not told no run time was ever known, and cold workers stood idle until warm. */
    @Test void runTimesAreLearntWhereStartsAreNotToldToo() {
        rig.settings.tellsStart = false;
        rig.start(worker(1, WorkerState.READY, 0), worker(2, WorkerState.READY, 0));
        for (int i = 0; i < 60; i++) {
            long job = rig.request(RENDER);
            rig.advance(50 * MS);
            rig.outcome(job, 0, Outcome.SERVED, Rig.free(2));
            if (i == 30) {
                rig.list(ListUpdate.DELTA, worker(3, WorkerState.READY, rig.did.now));
            }
        }
        long sent = rig.did.sends.stream().filter(x -> x.worker() == 3).count();
        assertTrue(sent > 0, "small jobs may warm it up");
        assertTrue(sent * 50 * MS <= 2 * 2 * 0.4 * SECOND, "over two windows: " + sent);
    }

    /** A class that only cold workers may run was never sent to one, as no run of it was ever seen. */
    @Test void whileRunTimesAreUnknownAColdWorkerGetsOneJobOfAllDispatchersInTwoWindows() {
        int sent = 0;
        for (int index = 0; index < 5; index++) {
            rig = new Rig();
            rig.settings.dispatchers = 5;
            rig.settings.index = index;
            rig.start();
            rig.advance(3 * SECOND);
            rig.list(ListUpdate.DELTA, worker(2, WorkerState.READY, rig.did.now));
            for (int i = 0; i < 190; i++) {
                rig.request(RENDER);
                rig.advance(10 * MS);
            }
            sent += rig.did.sends.size();
        }
        assertEquals(1, sent);
    }

    /** A dispatcher of a request a second knew no run for its first ten seconds, though each report tells of runs. */
    @Test void whatWorkersTellOfTheirRunsCountsUntilAJobHasEnded() {
        rig.settings.dispatchers = 1;
        rig.start(worker(1, WorkerState.READY, 0));
        rig.advance(3 * SECOND);
        rig.list(ListUpdate.FULL, worker(1, WorkerState.DRAINING, 0), worker(2, WorkerState.READY, rig.did.now));
        Dispatch.Report report = Rig.free(2);
        report.recentRun = 50 * MS;
        rig.module.probed(rig.did.now, 1, true, report);
        for (int i = 0; i < 50; i++) {
            rig.request(RENDER);
        }
        long work = rig.did.sends.size() * 50 * MS;
        assertTrue(work > 50 * MS && work <= 2 * 2 * 0.25 * SECOND, "sent " + rig.did.sends.size());
    }

    /** A job larger than what all may send in a window was never sent at all. */
    @Test void aJobThatNoPartHoldsIsSentByOneOfAllInEachSecondWindow() {
        List<Long> times = new ArrayList<>();
        for (int index = 0; index < 5; index++) {
            rig = new Rig();
            rig.settings.dispatchers = 5;
            rig.settings.index = index;
            rig.settings.coldShare = 0.05;
            rig.settings.coldFor = 1_000 * SECOND;
            rig.start(worker(1, WorkerState.READY, 0));
            rig.serve(RENDER, 2 * SECOND, Rig.free(1));
            rig.advance(SECOND);
            rig.list(ListUpdate.FULL, worker(2, WorkerState.READY, rig.did.now));
            for (int i = 0; i < 1_000; i++) {
                rig.request(RENDER);
                rig.advance(10 * MS);
            }
            for (int at = 0; at < rig.did.all.size(); at++) {
                if (rig.did.all.get(at).matches("send \\d+ 2")) {
                    times.add(rig.did.times.get(at));
                }
            }
        }
        times.sort(null);
        assertTrue(times.size() >= 5, "one in two seconds: " + times);
        for (int i = 1; i < times.size(); i++) {
            assertTrue(times.get(i) - times.get(i - 1) >= rig.settings.fallWindow, "two in one window: " + times);
        }
    }

    @Test void afterOurOwnRestartColdWorkersGetNothingAtFirst() {
        rig.did.now = 20 * SECOND;
        rig.start(worker(1, WorkerState.READY, 0), worker(2, WorkerState.READY, 0),
            worker(3, WorkerState.READY, 19 * SECOND));
        for (int i = 0; i < 3; i++) {
            rig.serve(RENDER, 20 * MS, null);
        }
        rig.report(3, 8);
        for (int i = 0; i < 30; i++) {
            rig.outcome(rig.request(RENDER), 0, Outcome.SERVED);
        }
        assertFalse(rig.did.sends.stream().anyMatch(x -> x.worker() == 3));
    }

    @Test void aWarmWorkerTakesItsFullShareAgain() {
        rig.start(fleet(2));
        rig.serve(RENDER, 50 * MS, Rig.free(2));
        rig.list(ListUpdate.DELTA, worker(3, WorkerState.READY, rig.did.now));
        rig.advance(10 * SECOND);
        for (int i = 0; i < 12; i++) {
            rig.request(RENDER);
        }
        assertNotEquals(0, rig.did.sends.stream().filter(x -> x.worker() == 3).count());
    }
}
