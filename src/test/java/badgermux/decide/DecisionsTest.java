package badgermux.decide;

import static badgermux.decide.Rig.MS;
import static badgermux.decide.Rig.PAY;
import static badgermux.decide.Rig.RENDER;
import static badgermux.decide.Rig.SECOND;
import static badgermux.decide.Rig.fleet;
import static badgermux.decide.Rig.worker;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.decide.Dispatch.ListUpdate;
import badgermux.decide.Dispatch.Outcome;
import badgermux.decide.Dispatch.Tenant;
import badgermux.decide.Dispatch.Worker;
import badgermux.decide.Dispatch.WorkerState;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The mechanism, and what was added for each failure that was found. */
class DecisionsTest {
    private final Rig rig = new Rig();

    private Rig probing() {
        rig.settings.reports = Dispatch.ReportMode.ON_PROBE;
        rig.settings.probes = true;
        return rig;
    }

    /** Run times known (four seconds, so that reports stay good for a while), and fresh reports of these free slots from workers 1 to n. */
    private void known(double... free) {
        for (int i = 0; i < 4; i++) {
            rig.serve(PAY, 4 * SECOND, null);
        }
        reports(free);
    }

    private void reports(double... free) {
        for (int i = 0; i < free.length; i++) {
            rig.report(i + 1, free[i]);
        }
    }

    // ---- From one process to the next

    @Test void whatWasLearntGoesOnAndFiguresOfOtherSettingsDont() {
        rig.start(fleet(6));
        known(4, 6);
        Dispatch.Heritage left = rig.module.leave();
        Rig next = new Rig();
        next.start(fleet(6));
        next.module.inherit(new Dispatch.Heritage(new double[left.learnt().length - 1], List.of()));
        assertEquals(0, next.module.leave().learnt()[0]);
        next.module.inherit(left);
        assertArrayEquals(left.learnt(), next.module.leave().learnt());
        assertTrue(Arrays.stream(left.learnt()).anyMatch(x -> Math.abs(x - 4 * SECOND) < SECOND), "how long jobs run");
    }

    /** A cold worker's budget is spent once, and not by each process anew; what is left of it is used at once. */
    @Test void theNextProcessGoesOnWithTheBudgetOfColdWorkers() {
        rig.start(fleet(1));
        for (int i = 0; i < 4; i++) {
            rig.serve(PAY, 200 * MS, null);
        }
        rig.advance(2 * SECOND);
        rig.list(ListUpdate.FULL, worker(1, WorkerState.READY, rig.did.now - SECOND));
        int before = rig.did.sends.size();
        for (int i = 0; i < 20; i++) {
            rig.request(PAY);
        }
        int sent = rig.did.sends.size() - before;
        assertTrue(sent > 0 && sent < 20, "the budget allows some: " + sent);
        Dispatch.Heritage left = rig.module.leave();
        assertEquals(sent, left.pushes().size());
        for (boolean spent : new boolean[] {true, false}) {
            Rig next = new Rig();
            next.did.now = rig.did.now;
            next.start(worker(1, WorkerState.READY, rig.did.now - SECOND));
            next.request(PAY);
            assertEquals(0, next.did.sends.size(), "what was sent before is not known");
            next.module.inherit(spent ? left : new Dispatch.Heritage(left.learnt(), List.of()));
            next.request(PAY);
            assertEquals(spent, next.did.sends.isEmpty());
        }
    }

    /** The list kept from before may lack a worker that was sent work: what was sent there was forgotten with it. */
    @Test void whatWasSentToAColdWorkerThatIsListedAfterwardsIsKnownToTheNextProcess() {
        rig.start(fleet(1));
        for (int i = 0; i < 4; i++) {
            rig.serve(PAY, 200 * MS, null);
        }
        rig.advance(2 * SECOND);
        Worker cold = worker(1, WorkerState.READY, rig.did.now - SECOND);
        rig.list(ListUpdate.FULL, cold);
        for (int i = 0; i < 20; i++) {
            rig.request(PAY);
        }
        Dispatch.Heritage left = rig.module.leave();
        for (boolean spent : new boolean[] {true, false}) {
            Rig next = new Rig();
            next.did.now = rig.did.now;
            next.start();
            next.module.inherit(spent ? left : new Dispatch.Heritage(left.learnt(), List.of()));
            next.list(ListUpdate.FULL, cold);
            next.request(PAY);
            assertEquals(spent, next.did.sends.isEmpty());
        }
    }

    @Test void oneThatDrainsIsAvoidedAndLeftNoIdleConnection() {
        probing().start(fleet(3));
        assertFalse(rig.module.avoids(1));
        rig.list(ListUpdate.DELTA, worker(1, WorkerState.DRAINING, 0));
        assertTrue(rig.module.avoids(1));
        assertTrue(rig.module.avoids(99), "nobody knows it");
        int released = rig.did.released.size();
        rig.report(1, 4);
        assertEquals(released + 1, rig.did.released.size(), "the probe's connection");
    }

    // ---- The mechanism

    @Test void theLowerTotalWinsAndItsLeastLoadedWorkerTakesTheJob() {
        rig.start(fleet(6));
        known(4, 6, 4, 8, 0, 0);
        rig.request(PAY);
        assertEquals(2, rig.did.last().worker(), "the group 1 to 3 has more free in all, worker 4 alone the most");
    }

    @Test void amongEqualLoadsTheOwnZoneGoesFirst() {
        rig.start(new Worker(1, 1, 0, 0, WorkerState.READY, 0), new Worker(2, 0, 0, 0, WorkerState.READY, 0),
            new Worker(3, 1, 0, 0, WorkerState.READY, 0));
        known(6, 6, 6);
        rig.request(PAY);
        assertEquals(2, rig.did.last().worker());
        rig.request(PAY);
        assertNotEquals(2, rig.did.last().worker(), "the own push made it fuller");
    }

    @Test void aShortLastGroupIsScaledToFullSize() {
        rig.start(fleet(4));
        known(2, 2, 2, 3);
        rig.request(PAY);
        assertEquals(4, rig.did.last().worker());
    }

    @Test void ownPushesCountUntilTheyEnd() {
        rig.start(fleet(2));
        known(2, 2);
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 2; i++) {
            rig.request(PAY);
            used.add(rig.did.last().worker());
        }
        assertEquals(Set.of(1L, 2L), used);
        long back = rig.did.last().worker();
        rig.outcome(rig.did.last().job(), 0, Outcome.SERVED);
        rig.request(PAY);
        assertEquals(back, rig.did.last().worker());
    }

    @Test void aWorkerThatLeftKeepsItsPlaceSoGroupsDoNotShift() {
        rig.start(fleet(6));
        known(1, 1, 1, 1, 1, 1);
        rig.list(ListUpdate.DELTA, worker(1, WorkerState.GONE, 0));
        reports(0, 4, 2, 6, 0, 0);
        rig.request(PAY);
        assertEquals(2, rig.did.last().worker(), "2 and 3 have 3 free each, 4 to 6 have 2 each");
    }

    @Test void classesThatNeedAKindGetIt() {
        rig.settings.classes.set(PAY, Rig.jobClass("pay", Dispatch.Effect.ONCE, Dispatch.Scope.ALL, 1));
        rig.start(new Worker(1, 0, 0, 0, WorkerState.READY, 0), new Worker(2, 0, 1, 0, WorkerState.READY, 0));
        for (int i = 0; i < 10; i++) {
            rig.request(PAY);
            assertEquals(2, rig.did.last().worker());
        }
    }

    @Test void drawnWorkersWithOldReportsAreProbedOnceAtATime() {
        probing().start(fleet(2));
        rig.request(PAY);
        rig.request(PAY);
        assertEquals(List.of(1L, 2L), rig.did.probed);
        reports(2, 2);
        rig.advance(10 * SECOND);
        rig.request(PAY);
        assertEquals(List.of(1L, 2L, 1L, 2L), rig.did.probed);
    }

    @Test void idleConnectionsToAWorkerThatDrainsOrLeavesAreClosedOnce() {
        rig.start(fleet(3));
        rig.list(ListUpdate.DELTA, worker(2, WorkerState.DRAINING, 0));
        rig.list(ListUpdate.DELTA, worker(2, WorkerState.GONE, 0), worker(3, WorkerState.READY, 0));
        assertEquals(List.of(2L), rig.did.released);
    }

    @Test void equalEventsGetEqualActions() {
        Rig other = new Rig();
        for (Rig each : List.of(rig, other)) {
            each.start(fleet(9));
            for (int i = 0; i < 200; i++) {
                long job = each.request(i % 3);
                each.advance((i % 7) * 10 * MS);
                each.outcome(job, 0, Outcome.values()[i % 8], i % 2 == 0 ? Rig.free(i % 4) : null);
            }
        }
        assertEquals(rig.did.all, other.did.all);
    }

    // ---- Failures found

    /** Half of a fleet once stood idle, as its last reports said full and nothing brought new ones. */
    @Test void aWorkerThatOnceReportedFullIsUsedAgain() {
        rig.start(fleet(2));
        known(0, 4);
        rig.advance(30 * SECOND);
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 6; i++) {
            rig.request(PAY);
            used.add(rig.did.last().worker());
        }
        assertEquals(Set.of(1L, 2L), used);
    }

    /** Draining workers hand jobs back long before the list tells of the drain. */
    @Test void aWorkerThatTurnsAJobAwayRestsAndIsTriedAgain() {
        rig.start(fleet(2));
        known(2, 2);
        long job = rig.request(PAY);
        long away = rig.did.last().worker();
        rig.outcome(job, 0, Outcome.REJECTED);
        for (int i = 0; i < 3; i++) {
            rig.request(PAY);
            assertNotEquals(away, rig.did.last().worker());
            rig.outcome(job + 1 + i, 0, Outcome.SERVED);
        }
        rig.advance(SECOND);
        reports(away == 1 ? 2 : 0, away == 2 ? 2 : 0);
        rig.request(PAY);
        assertEquals(away, rig.did.last().worker(), "a trial");
    }

    /** After a bad release a worker started each job and failed it; it looked the freest of all. */
    @Test void aWorkerThatStartsJobsAndErrsIsSetAside() {
        rig.start(fleet(1));
        long job = rig.request(PAY);
        rig.module.started(rig.did.now, job, 0);
        assertEquals(List.of(), rig.did.logged);
        rig.outcome(job, 0, Outcome.ERROR);
        assertEquals(List.of("worker 1 set aside: ERROR"), rig.did.logged);
    }

    @ParameterizedTest @EnumSource(Outcome.class)
    void theOnCallPageQuotesTheLinesThatAreWritten(Outcome outcome) throws IOException {
        rig.start(fleet(1));
        rig.outcome(rig.request(PAY), 0, outcome);
        String page = Files.readString(Path.of("docs", "on-call.md"));
        String line = "set aside: " + outcome;
        assertEquals(page.contains("`" + line + "`"), rig.did.logged.contains("worker 1 " + line), line);
        assertTrue(page.contains("`worker ID set aside: WHY`") && page.contains("`worker ID is back in use`"), page);
    }

    @Test void whenAllRestTheJobIsSentAllTheSame() {
        rig.start(fleet(2));
        for (int i = 0; i < 2; i++) {
            rig.outcome(rig.request(PAY), 0, Outcome.CONNECT_FAILED);
        }
        int before = rig.did.sends.size();
        rig.request(RENDER);
        assertEquals(before + 1, rig.did.sends.size());
    }

    @Test void aLongRestGrowsAndOneGoodAnswerEndsIt() {
        rig.start(fleet(1));
        for (int i = 0; i < 3; i++) {
            rig.outcome(rig.request(PAY), 0, Outcome.CONNECT_FAILED);
            rig.advance(5 * SECOND);
        }
        rig.outcome(rig.request(PAY), 0, Outcome.SERVED);
        assertTrue(rig.did.logged.get(0).endsWith("set aside: CONNECT_FAILED"), rig.did.logged::toString);
        assertTrue(rig.did.logged.get(rig.did.logged.size() - 1).endsWith("is back in use"), rig.did.logged::toString);
    }

    /** A stalled worker holds a started job and tells nothing more of it. */
    @Test void aJobWhoseWorkerFellSilentIsCopied() {
        rig.start(fleet(4));
        rig.serve(RENDER, SECOND, null);
        known(2, 2, 2, 2);
        long job = rig.request(RENDER);
        rig.module.started(rig.did.now, job, 0);
        rig.advance(2 * SECOND);
        assertEquals(1, rig.sendsOf(job), "one note late is no silence");
        rig.advance(2 * SECOND);
        assertTrue(rig.sendsOf(job) > 1);
    }

    @Test void theFirstCopyToStartWithdrawsTheOneThatWaits() {
        rig.settings.reports = Dispatch.ReportMode.NEVER;
        rig.start(fleet(4));
        long job = rig.request(RENDER);
        rig.advance(50 * MS);
        rig.module.started(rig.did.now, job, 1);
        assertEquals(List.of(job + "/0"), rig.did.cancelled);
    }

    /** A job that had not begun was taken for a silent one: with notes told, every job got a copy after 50 ms. */
    @Test void aJobThatWaitsWhereAnswersTellOfSlotsGetsNoCopies() {
        rig.settings.progressEvery = 2 * SECOND;
        rig.start(fleet(4));
        known(2, 2, 2, 2);
        long job = rig.request(RENDER);
        rig.advance(SECOND);
        assertEquals(1, rig.sendsOf(job));
        assertEquals(0, rig.did.cancelled.size());
    }

    @Test void noMoreThanThreeCopiesOfAJobWaitAtOnce() {
        rig.settings.reports = Dispatch.ReportMode.NEVER;
        lateAnswersEarnMuch();
        rig.start(fleet(40));
        long job = rig.request(RENDER);
        rig.advance(700 * MS);
        assertEquals(3, rig.sendsOf(job));
        rig.outcome(job, 0, Outcome.REJECTED);
        rig.advance(700 * MS);
        assertEquals(4, rig.sendsOf(job), "one has ended");
    }

    /** At full size nearly every report is too old to place by: a job waits for those of its drawn workers. */
    @Test void aJobWaitsForTheReportsOfItsDrawnWorkers() {
        asking(2);
        rig.request(PAY);
        assertEquals(0, rig.did.sends.size());
        rig.report(1, 0);
        rig.report(2, 2);
        assertEquals(2, rig.did.last().worker());
    }

    @Test void aWorkerThatDoesNotAnswerItsProbeIsPassedOverUntilItDoes() {
        asking(2);
        rig.request(PAY);
        rig.report(1, 2);
        rig.advance(75 * MS);
        assertEquals(1, rig.did.last().worker(), "a quarter of the aim is waited");
        for (int i = 0; i < 5; i++) {
            rig.request(PAY);
            assertEquals(1, rig.did.last().worker());
        }
        rig.module.probed(rig.did.now, 2, false, null);
        rig.advance(SECOND);
        rig.request(PAY);
        assertEquals(4, rig.did.probed.size(), "it is asked again");
        rig.report(1, -1);
        rig.report(2, 9);
        rig.request(PAY);
        assertEquals(2, rig.did.last().worker());
    }

    @Test void whereNobodyAnswersAllAreTried() {
        asking(2);
        rig.request(PAY);
        rig.advance(80 * MS);
        assertEquals(1, rig.did.sends.size(), "evidence shared by all blames none");
    }

    /** Copies once went wherever less seemed to wait; where a cancelled one still runs they filled the fleet for nobody. */
    @Test void aCopyGoesOnlyWhereAReportShowsAFreeSlot() {
        asking(2);
        long job = rig.request(RENDER);
        rig.report(1, 1);
        rig.report(2, 0);
        assertEquals(1, rig.did.last().worker());
        answering(200, 0, 0);
        assertEquals(1, rig.sendsOf(job), "it does not start, and the other worker is full");
        answering(100, 0, 1);
        assertEquals(2, rig.sendsOf(job));
        assertEquals(2, rig.did.last().worker());
    }

    /** A report that shows no free slot hides the queue: jobs once went there as if nobody waited. */
    @Test void atAFullWorkerOneJobMoreIsTakenToWait() {
        asking(1);
        for (int jobClass : new int[] {RENDER, Rig.SAVE, PAY}) {
            long first = rig.request(jobClass);
            rig.report(1, 4);
            rig.module.started(rig.did.now, first, 0);
            answering(800, 4);
            rig.outcome(first, 0, Outcome.SERVED);
        }
        answering(1_000, 0);
        long job = rig.request(RENDER);
        rig.report(1, 0);
        assertEquals(0, rig.sendsOf(job), "two quarters of 800 ms are more than half of its slack, one is not");
        answering(100, 1);
        assertEquals(1, rig.sendsOf(job));
    }

    /** Where a dispatcher dies its clients come here; a job that had run for long has more slack than most. */
    @Test void aLateRepeatIsTriedOnceWhereASlotIsFree() {
        asking(1);
        rig.advance(10 * SECOND);
        long first = rig.request(RENDER);
        rig.report(1, 2);
        rig.module.started(rig.did.now, first, 0);
        answering(100, 2);
        rig.outcome(first, 0, Outcome.SERVED);
        long job = rig.request(RENDER, 3 * SECOND);
        rig.report(1, 2);
        assertEquals(1, rig.sendsOf(job), "it has waited 2 s elsewhere");
        answering(1_000, 0);
        long other = rig.request(RENDER, 3 * SECOND);
        rig.report(1, 0);
        assertEquals(0, rig.sendsOf(other));
        assertTrue(rig.did.refused.contains(other), "nor is it held");
    }

    /** Lets time pass while all workers answer each probe with the same free slots. */
    private void answering(int ms, double... free) {
        for (int t = 0; t < ms; t += 10) {
            rig.advance(10 * MS);
            for (int i = 0; i < free.length; i++) {
                rig.report(i + 1, free[i]);
            }
        }
    }

    private void asking(int workers) {
        rig.settings.probes = true;
        rig.settings.reports = Dispatch.ReportMode.ON_PROBE;
        rig.start(fleet(workers));
    }

    /** Busy dispatchers once took their part for the even one and held what came beyond it. */
    @Test void aBusyDispatcherLearnsThatItsPartIsLarge() {
        rig.settings.dispatchers = 20;
        rig.start(fleet(4));
        known(2, 2, 2, 2);
        for (int i = 0; i < 200; i++) {
            reports(1, 1, 1, 1);
            rig.serve(PAY, 100 * MS, null);
        }
        int sent = rig.did.sends.size();
        for (int i = 0; i < 3; i++) {
            rig.request(PAY);
        }
        assertEquals(sent + 3, rig.did.sends.size(), "an even part is less than half a slot");
    }

    /** Long jobs once took each slot that came free, and the short ones that are worth most were refused. */
    @Test void heldJobsGoOutByWorthASlotSecond() {
        rig.start(fleet(1));
        for (int i = 0; i < 4; i++) {
            rig.serve(RENDER, 100 * MS, null);
            rig.serve(PAY, 2 * SECOND, null);
        }
        rig.report(1, 2);
        Dispatch.Report full = Rig.free(0);
        full.queued = 20;
        for (int i = 0; i < 60; i++) {
            rig.module.probed(rig.did.now, 1, true, full);
        }
        int sent = rig.did.sends.size();
        long pay = rig.request(PAY), render = rig.request(RENDER);
        assertEquals(sent, rig.did.sends.size(), "no slot is free");
        rig.report(1, 30);
        rig.advance(200 * MS);
        assertEquals(List.of(render, pay), rig.did.sends.stream().skip(sent).map(FakeActions.Send::job).toList());
    }

    /** A tenant far over its quota once crowded out another that was within its own. */
    @Test void jobsBeyondATenantsQuotaWait() {
        rig.settings.tenants.add(new Tenant("large", 4));
        rig.settings.tenants.add(new Tenant("small", 4));
        rig.settings.overShareWorth = 0.05;
        rig.settings.dispatchers = 1;
        rig.start(fleet(1));
        known(2);
        rig.advance(5 * SECOND);
        rig.report(1, 0);
        int sent = rig.did.sends.size();
        for (int i = 0; i < 30; i++) {
            rig.request(new Dispatch.Job(rig.nextJob(), RENDER, 0, 1, 0, 5 * SECOND));
        }
        long small = rig.request(new Dispatch.Job(rig.nextJob(), RENDER, 1, 1, 0, 5 * SECOND));
        assertEquals(sent, rig.did.sends.size(), "no slot is free");
        rig.report(1, 60);
        rig.advance(200 * MS);
        List<Long> order = rig.did.sends.stream().skip(sent).map(FakeActions.Send::job).toList();
        assertTrue(order.indexOf(small) >= 1 && order.indexOf(small) <= 10, "after ten jobs of quota: " + order);
        assertEquals(31, order.size(), "where slots are free nothing is refused");
    }

    /** Of four dispatchers one once held 0.6 of every quota and three a tenth, as who shed more used fewer slots. */
    @Test void ourPartOfAQuotaDoesNotShrinkWhileWeHoldJobs() {
        rig.settings.tenants.add(new Tenant("shared", 4));
        rig.settings.tenants.add(new Tenant("unlimited", 0));
        rig.settings.overShareWorth = 0.05;
        rig.settings.dispatchers = 1;
        rig.settings.classes.add(new Dispatch.JobClass("cheap", Dispatch.Effect.REPEATABLE, Dispatch.Scope.ALL, 300 * MS,
            1.5, 5 * SECOND, 3 * SECOND, 0.5, 0, -1, false));
        rig.start(fleet(1));
        known(2);
        Dispatch.Report full = Rig.free(0);
        full.inFlight = 12;
        for (int i = 0; i < 300; i++) {
            rig.module.probed(rig.did.now, 1, true, full);
            if (i % 5 == 0) {
                rig.request(new Dispatch.Job(rig.nextJob(), RENDER, 1, 1, 0, 5 * SECOND));
            }
            rig.advance(20 * MS);
        }
        int sent = rig.did.sends.size();
        long cheap = rig.request(new Dispatch.Job(rig.nextJob(), 3, 1, 1, 0, 5 * SECOND));
        for (int i = 0; i < 6; i++) {
            rig.request(new Dispatch.Job(rig.nextJob(), RENDER, 0, 1, 0, 5 * SECOND));
        }
        rig.advance(150 * MS);
        assertEquals(sent, rig.did.sends.size(), "no slot is free");
        rig.report(1, 60);
        rig.advance(100 * MS);
        int rank = rig.did.sends.stream().skip(sent).map(FakeActions.Send::job).toList().indexOf(cheap);
        assertTrue(rank >= 6, "all six within the quota go before it: " + rank);
    }

    /** Long jobs with a wide aim once queued for seconds, and jobs with a tight aim behind them were all late. */
    @Test void aJobQueuesNoLongerThanATightClassCouldWaitBehindIt() {
        rig.settings.dispatchers = 1;
        rig.settings.classes.add(new Dispatch.JobClass("wide", Dispatch.Effect.REPEATABLE, Dispatch.Scope.ALL, 60 * SECOND,
            1, 90 * SECOND, 3 * SECOND, 1, 0, -1, false));
        rig.start(fleet(1));
        known(4);
        int sent = rig.did.sends.size();
        for (int i = 0; i < 20; i++) {
            rig.request(new Dispatch.Job(rig.nextJob(), 3, 0, 1, 0, 90 * SECOND));
        }
        int slots = 4;
        assertTrue(rig.did.sends.size() - sent <= slots + 1, "a wait of one job of 4 s over 4 slots is too long already");
    }

    /** Two hundred dispatchers with the same old reports all met at the worker furthest left. */
    @Test void nearlyEqualWorkersShareTheJobsWhereManyPush() {
        rig.settings.dispatchers = 100;
        rig.settings.probes = true;
        rig.settings.reports = Dispatch.ReportMode.ON_PROBE;
        rig.start(fleet(3));
        known(4, 4, 3);
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 30; i++) {
            rig.outcome(rig.request(PAY), 0, Outcome.SERVED);
            used.add(rig.did.last().worker());
        }
        assertEquals(Set.of(1L, 2L, 3L), used);
    }

    @Test void ownZoneGoesFirstAmongEqualLoads() {
        rig.settings.zone = 1;
        rig.start(worker(1, WorkerState.READY, 0), worker(2, WorkerState.READY, 0), worker(5, WorkerState.READY, 0));
        known(4, 4, 4);
        rig.module.probed(rig.did.now, 5, true, Rig.free(4));
        rig.request(PAY);
        assertEquals(5, rig.did.last().worker());
    }

    /** At full size seven jobs in eight once opened a connection of their own, as each went to another worker. */
    @Test void amongEqualLoadsAnIdleConnectionIsUsedAgain() {
        rig.settings.connectionIdle = 10 * SECOND;
        rig.settings.zone = 2;
        rig.start(fleet(3));
        known(6, 6, 6);
        long used = 0;
        for (int i = 0; i < 30; i++) {
            rig.outcome(rig.request(PAY), 0, Outcome.SERVED);
            assertTrue(used == 0 || used == rig.did.last().worker(), "an idle connection leads to worker " + used);
            used = rig.did.last().worker();
        }
        rig.request(PAY);
        rig.request(PAY);
        assertNotEquals(used, rig.did.last().worker(), "its connection is taken");
    }

    /** Two totals that differ by a slot say nothing where hundreds push unseen between two reports. */
    @Test void nearlyEqualGroupsTieWhereManyPush() {
        Set<Long> few = new HashSet<>(), many = new HashSet<>();
        for (int dispatchers : new int[] {4, 200}) {
            Rig each = new Rig();
            each.settings.dispatchers = dispatchers;
            each.settings.probes = true;
            each.settings.reports = Dispatch.ReportMode.ON_PROBE;
            each.start(fleet(6));
            for (int i = 0; i < 4; i++) {
                each.serve(PAY, 4 * SECOND, null);
            }
            for (int i = 1; i <= 6; i++) {
                each.report(i, i <= 3 ? 6 : 5.2);
            }
            for (int i = 0; i < 30; i++) {
                each.outcome(each.request(PAY), 0, Outcome.SERVED);
                (dispatchers == 4 ? few : many).add((each.did.last().worker() - 1) / 3);
            }
        }
        assertEquals(Set.of(0L), few);
        assertEquals(Set.of(0L, 1L), many);
    }

    /** Three reports age by about a job each: totals that are nearer than that are even, and the own zone decides. */
    @Test void nearlyEqualGroupsAreEvenAndTheOwnZoneDecides() {
        for (double free : new double[] {5.8, 4.5}) {
            Set<Long> groups = new HashSet<>();
            Rig each = new Rig();
            each.settings.zone = 1;
            each.settings.probes = true;
            each.settings.reports = Dispatch.ReportMode.ON_PROBE;
            Worker[] fleet = fleet(6);
            Arrays.setAll(fleet, i -> new Worker(i + 1, i / 3, 0, 0, WorkerState.READY, 0));
            each.start(fleet);
            for (int i = 0; i < 4; i++) {
                each.serve(PAY, 4 * SECOND, null);
            }
            for (int i = 1; i <= 6; i++) {
                each.report(i, i <= 3 ? 6 : free);
            }
            each.advance(300 * MS);
            for (int i = 0; i < 10; i++) {
                each.outcome(each.request(PAY), 0, Outcome.SERVED);
                groups.add((each.did.last().worker() - 1) / 3);
            }
            assertEquals(Set.of(free > 5 ? 1L : 0L), groups);
        }
    }

    /** In a backlog of the whole fleet late reports show slots, and all dispatchers once pushed on into full queues. */
    @Test void pushesStopWhileThoseThatAreOutDoNotStart() {
        rig.settings.dispatchers = 4;
        rig.start(fleet(2));
        known(4, 4);
        int sent = rig.did.sends.size();
        long first = rig.request(PAY);
        for (int i = 0; i < 20; i++) {
            rig.advance(450 * MS);
            reports(4, 4);
            rig.request(PAY);
        }
        int out = rig.did.sends.size() - sent;
        assertTrue(out >= 2 && out <= 4, "one that waits may be chance: " + out);
        for (int i = 0; i < 21; i++) {
            rig.module.started(rig.did.now, first + i, 0);
        }
        assertEquals(1, rig.sendsOf(rig.request(PAY)), "they have started");
    }

    /** Turned away as full, each job went straight on to the next full worker, five times. */
    @Test void jobsTurnedAwayAsFullStopThePushesToo() {
        rig.start(fleet(40));
        known();
        for (int i = 0; i < 9; i++) {
            long job = rig.request(RENDER);
            for (int attempt = 0; attempt < rig.sendsOf(job); attempt++) {
                rig.outcome(job, attempt, Outcome.REJECTED);
            }
            rig.request(PAY);
        }
        assertTrue(rig.did.sends.size() < 9 * 5, "sent " + rig.did.sends.size());
    }

    /** A long queue in a late report once stopped all dispatchers until it had long gone, and they started together. */
    @Test void aLongReportedQueueDoesNotBarAWorkerForLong() {
        rig.settings.classes.clear();
        rig.settings.classes.add(new Dispatch.JobClass("wide", Dispatch.Effect.REPEATABLE, Dispatch.Scope.ALL, 10 * SECOND,
            1, 90 * SECOND, 3 * SECOND, 1, 0, -1, false));
        rig.settings.dispatchers = 1;
        rig.start(fleet(1));
        for (int i = 0; i < 4; i++) {
            long job = rig.request(0, 90 * SECOND);
            rig.module.started(rig.did.now, job, 0);
            rig.advance(4 * SECOND);
            rig.outcome(job, 0, Outcome.SERVED, Rig.free(4));
        }
        Dispatch.Report full = Rig.free(0);
        full.inFlight = 100;
        rig.module.probed(rig.did.now, 1, true, full);
        assertEquals(0, rig.sendsOf(rig.request(0, 90 * SECOND)));
        rig.advance(16 * SECOND);
        assertEquals(1, rig.sendsOf(rig.request(0, 90 * SECOND)), "four mean runs later little of it is left");
    }

    /** After a loss a quarter of all answers came from queued jobs that were late before they started. */
    @Test void aRepeatableJobThatWaitsPastItsSlackMakesRoom() {
        rig.start(fleet(1));
        rig.serve(RENDER, MS, null);
        known(3);
        rig.settings.maxAttempts = 1;
        long waits = rig.request(RENDER), runs = rig.request(RENDER), once = rig.request(PAY);
        rig.module.started(rig.did.now, runs, 0);
        rig.advance(200 * MS);
        assertEquals(List.of(), rig.did.refused, "its slack is 0.3 s");
        rig.advance(200 * MS);
        assertEquals(List.of(waits), rig.did.refused);
        assertEquals(List.of(waits + "/0"), rig.did.cancelled);
        assertEquals(1, rig.sendsOf(once), "it may have run");
    }

    private void lateAnswersEarnMuch() {
        rig.settings.classes.set(RENDER, new Dispatch.JobClass("patient", Dispatch.Effect.REPEATABLE, Dispatch.Scope.ALL,
            300 * MS, 1.5, 5 * SECOND, 3 * SECOND, 1, 0.5, -1, false));
    }

    @Test void aJobWhoseLateAnswerEarnsMuchWaitsOn() {
        lateAnswersEarnMuch();
        rig.start(fleet(1));
        known(2);
        rig.request(RENDER);
        rig.advance(2 * SECOND);
        assertEquals(List.of(), rig.did.refused);
    }

    /** A job held for most of its slack once queued at a worker as if it had just come, and ended late. */
    @Test void aHeldJobMayWaitAtAWorkerForWhatIsLeftOfItsSlackOnly() {
        rig.settings.dispatchers = 1;
        rig.settings.classes.subList(1, 3).clear();
        rig.start(fleet(1));
        for (int i = 0; i < 4; i++) {
            rig.serve(RENDER, 200 * MS, Rig.free(10));
        }
        Dispatch.Report full = Rig.free(0);
        full.queued = 200;
        for (int i = 0; i < 60; i++) {
            rig.module.probed(rig.did.now, 1, true, full);
        }
        long held = rig.request(RENDER);
        rig.advance(390 * MS);
        rig.report(1, 0);
        rig.list(ListUpdate.DELTA);
        assertEquals(0, rig.sendsOf(held), "10 ms of its slack are left");
        assertEquals(1, rig.sendsOf(rig.request(RENDER)), "its slack is whole");
    }

    /** In overload the oldest held jobs once took each slot that came free, and ended late one after the other. */
    @Test void ofHeldJobsOfEqualWorthTheOneWithMostSlackLeftGoesFirst() {
        lateAnswersEarnMuch();
        rig.settings.dispatchers = 1;
        rig.start(fleet(1));
        known(2);
        Dispatch.Report full = Rig.free(0);
        full.queued = 40;
        rig.module.probed(rig.did.now, 1, true, full);
        int sent = rig.did.sends.size();
        long older = rig.request(RENDER);
        rig.advance(150 * MS);
        long newer = rig.request(RENDER);
        rig.advance(100 * MS);
        assertEquals(sent, rig.did.sends.size(), "no slot is free");
        rig.report(1, 30);
        rig.advance(200 * MS);
        assertEquals(List.of(newer, older), rig.did.sends.stream().skip(sent).map(FakeActions.Send::job).toList());
    }

    /** Retries whose aim has long passed once took the slots of those still in time. */
    @Test void aRetryPastItsAimIsNotSentWhereLateAnswersEarnNothing() {
        rig.start(fleet(2));
        known(2, 2);
        rig.request(PAY);
        long retry = rig.request(PAY, 2 * SECOND);
        assertEquals(0, rig.sendsOf(retry));
        assertEquals(List.of(retry), rig.did.refused);
    }

    // ---- The list

    @Test void afterAListThePausesBetweenFailedWatchesAreShortAgain() {
        rig.settings.listPushed = false;
        rig.start(fleet(1));
        for (int i = 0; i < 5; i++) {
            rig.list(ListUpdate.FAILED);
            rig.did.advance(rig.module, rig.did.now + 4 * SECOND);
        }
        rig.list(ListUpdate.DELTA);
        rig.list(ListUpdate.FAILED);
        int before = rig.did.watches;
        rig.did.advance(rig.module, rig.did.now + 3 * SECOND / 4);
        assertEquals(before + 1, rig.did.watches);
    }

    @Test void aFailedWatchIsAskedAgainWithGrowingPausesWithinTheTimeAllowed() {
        rig.settings.listPushed = false;
        rig.settings.askEvery = 4 * SECOND;
        rig.start(fleet(1));
        assertEquals(1, rig.did.watches);
        rig.list(ListUpdate.FAILED);
        assertEquals(1, rig.did.watches, "not at once");
        for (int i = 2; i <= 6; i++) {
            rig.advance(2 * SECOND);
            assertEquals(i, rig.did.watches);
            rig.list(ListUpdate.FAILED);
        }
    }

    @Test void aPushedListIsNeverAskedFor() {
        rig.start(fleet(1));
        rig.list(ListUpdate.FAILED);
        rig.advance(20 * SECOND);
        assertEquals(0, rig.did.watches);
    }

    @Test void aListThatFlapsLosesNoJobAndSendsNothingToTheAbsent() {
        rig.start(fleet(3));
        for (int i = 0; i < 40; i++) {
            boolean there = i % 2 == 1;
            rig.list(ListUpdate.FULL, there ? fleet(3) : new Worker[0]);
            int sent = rig.did.sends.size();
            rig.request(PAY);
            rig.advance(50 * MS);
            assertEquals(there, rig.did.sends.size() > sent);
            assertFalse(rig.did.refused.size() + rig.did.failed.size() > i + 1);
        }
    }

    // ---- What the deployments of many museums taught

    /** Work over a share filled slots that nobody saw, and tenants inside theirs were turned away. */
    @Test void workOverAShareLeavesRoomWhereReportsAreOld() {
        for (double quota : new double[] {0, 0.001}) {
            Rig each = new Rig();
            each.settings.dispatchers = 100;
            each.settings.tenants.add(new Dispatch.Tenant("one", quota));
            each.start(fleet(3));
            for (int i = 0; i < 8; i++) {
                each.serve(PAY, SECOND, Rig.free(1.5));
            }
            for (int w = 1; w <= 3; w++) {
                each.report(w, 1.5);
            }
            each.advance(3 * SECOND);
            long job = each.request(PAY);
            assertEquals(quota == 0 ? 1 : 0, each.sendsOf(job), "quota " + quota);
        }
    }

    /** Small tenants' first jobs after each of our starts counted as over their share. */
    @Test void aTenantStartsWithSomeCredit() {
        rig.settings.dispatchers = 100;
        rig.settings.overShareWorth = 0.05;
        rig.settings.tenants.add(new Dispatch.Tenant("small", 10));
        rig.start(fleet(3));
        rig.serve(RENDER, 300 * MS, Rig.free(1));
        for (int w = 1; w <= 3; w++) {
            rig.report(w, 0.6);
        }
        rig.advance(SECOND);
        long job = rig.request(RENDER);
        assertEquals(1, rig.sendsOf(job));
    }

    /** Idle connections were dropped unseen: each was lost on first use, and its worker set aside for it. */
    @Test void aConnectionLostAfterStandingIdleBlamesNoWorkerAndOlderOnesAreClosedBeforeUse() {
        rig.settings.connectionIdle = 30 * SECOND;
        rig.start(fleet(1));
        rig.serve(RENDER, 100 * MS, null);
        rig.advance(4 * SECOND);
        long job = rig.request(RENDER);
        rig.advance(5 * MS);
        rig.outcome(job, 0, Outcome.RESET);
        rig.outcome(job, 1, Outcome.SERVED);
        assertEquals(List.of(), rig.did.logged);
        assertEquals(List.of(1L), rig.did.released, "before its next attempt");
        rig.serve(RENDER, 100 * MS, null);
        rig.advance(SECOND);
        rig.request(RENDER);
        assertEquals(List.of(1L), rig.did.released, "a second is less than half of what was lost");
        rig.outcome(rig.nextJob() - 1, 0, Outcome.SERVED);
        rig.advance(5 * SECOND);
        rig.request(RENDER);
        assertEquals(List.of(1L, 1L), rig.did.released);
    }

    @Test void aConnectionLostWhileTheJobWaitedOrRanBlamesItsWorker() {
        rig.settings.connectionIdle = 30 * SECOND;
        rig.start(fleet(1));
        rig.serve(RENDER, 100 * MS, null);
        rig.advance(4 * SECOND);
        long job = rig.request(RENDER);
        rig.module.started(rig.did.now, job, 0);
        rig.advance(5 * MS);
        rig.outcome(job, 0, Outcome.RESET);
        assertEquals(List.of("worker 1 set aside: RESET"), rig.did.logged);
    }

    /** A crowded worker was taken for one like the others as soon as its last report was a run old. */
    @Test void aWorkerThatIsUsuallyFullIsNotTakenForItsKindsMeanAtOnce() {
        rig.settings.tellsStart = false;
        rig.start(fleet(3));
        for (int i = 0; i < 12; i++) {
            rig.serve(RENDER, 200 * MS, null);
            rig.report(1, 0);
            rig.report(2, 8);
            rig.report(3, 8);
        }
        rig.advance(600 * MS);
        long before = rig.did.sends.size();
        for (int i = 0; i < 6; i++) {
            rig.request(RENDER);
        }
        assertFalse(rig.did.sends.stream().skip(before).anyMatch(x -> x.worker() == 1), rig.did.sends::toString);
    }

    /** Jobs that idle connections swallowed counted as a backlog, and half the fleet stood idle while jobs were refused. */
    @Test void jobsSwallowedByIdleConnectionsAreNoJamAndOlderConnectionsAreClosedBeforeUse() {
        rig.settings.connectionIdle = 30 * SECOND;
        rig.settings.probes = true;
        rig.settings.reports = Dispatch.ReportMode.ON_PROBE;
        rig.start(fleet(1));
        rig.serve(PAY, 100 * MS, Rig.free(8));
        rig.report(1, 8);
        for (int i = 0; i < 2; i++) {
            rig.advance(4 * SECOND);
            rig.report(1, 8);
            long job = rig.request(PAY);
            assertEquals(1, rig.sendsOf(job));
            rig.advance(160 * MS);
            assertEquals(List.of(), rig.did.released);
            rig.outcome(job, 0, Outcome.ERROR);
            rig.advance(SECOND);
            rig.report(1, 8);
        }
        rig.advance(4 * SECOND);
        rig.report(1, 8);
        rig.request(PAY);
        assertEquals(List.of(1L), rig.did.released);
    }

    /** Workers that turned one museum's excess away were set aside for all, though they had room. */
    @Test void aWorkerWithRoomThatTurnsOneTenantAwayRestsForThatTenantAlone() {
        rig.settings.tenants.add(new Dispatch.Tenant("one", 0));
        rig.settings.tenants.add(new Dispatch.Tenant("two", 0));
        rig.start(fleet(2));
        rig.request(new Dispatch.Job(1, PAY, 0, 1, 0, 5 * SECOND));
        long first = rig.did.last().worker();
        Dispatch.Report roomy = Rig.free(6);
        roomy.queued = 0;
        rig.outcome(1, 0, Outcome.REJECTED, roomy);
        assertEquals(List.of(), rig.did.logged);
        rig.outcome(1, 1, Outcome.SERVED);
        Set<Long> one = new HashSet<>(), two = new HashSet<>();
        for (int i = 2; i < 30; i++) {
            rig.outcome(rig.request(new Dispatch.Job(i, PAY, i % 2, 1, 0, 5 * SECOND)), 0, Outcome.SERVED);
            (i % 2 == 0 ? one : two).add(rig.did.last().worker());
        }
        assertEquals(Set.of(3 - first), one);
        assertTrue(two.contains(first), "the other tenant goes on using it");
    }

    /** Bad clients sent what workers answer 400 to, three times each, and most workers were set aside for it. */
    @Test void twoWorkersThatCantUseARequestAreBelievedAndKept() {
        Rig rig = new Rig().start(Rig.fleet(6));
        long job = rig.request(Rig.RENDER);
        rig.outcome(job, 0, Outcome.UNFIT);
        assertEquals(2, rig.sendsOf(job));
        rig.outcome(job, 1, Outcome.UNFIT);
        assertEquals(2, rig.sendsOf(job));
        assertEquals(1, rig.did.all.stream().filter(("fail " + job)::equals).count(), rig.did.all::toString);
        assertEquals(List.of(), rig.did.logged);
    }

    @Test void oneThatAloneCantUseARequestIsSetAside() {
        Rig rig = new Rig().start(Rig.fleet(6));
        long job = rig.request(Rig.RENDER);
        rig.outcome(job, 0, Outcome.UNFIT);
        rig.outcome(job, 1, Outcome.SERVED);
        assertEquals(1, rig.did.logged.size(), rig.did.logged::toString);
        assertTrue(rig.did.logged.get(0).endsWith("set aside: ERROR"), rig.did.logged::toString);
        long once = rig.request(Rig.PAY);
        rig.outcome(once, 0, Outcome.UNFIT);
        assertEquals(1, rig.sendsOf(once));
    }

    /** Clients waited out a restart; the new process knew of short jobs only and took them all for late. */
    @Test void soonAfterAStartAJobMayHaveWaited() {
        Rig fresh = new Rig().start(Rig.fleet(6));
        fresh.serve(Rig.RENDER, 10 * MS, null);
        assertEquals(1, fresh.sendsOf(fresh.request(Rig.RENDER, 4 * SECOND)), fresh.did.all::toString);
        fresh.advance(100 * MS);
        assertEquals(List.of(), fresh.did.refused);
        fresh.advance(3 * SECOND);
        fresh.did.refused.clear();
        long late = fresh.request(Rig.RENDER, 4 * SECOND);
        assertEquals(List.of(late), fresh.did.refused);
    }
}
