package badgermux.decide;

import static badgermux.decide.PolicyFixture.MS;
import static badgermux.decide.PolicyFixture.PAY;
import static badgermux.decide.PolicyFixture.RENDER;
import static badgermux.decide.PolicyFixture.SECOND;
import static badgermux.decide.PolicyFixture.fleet;
import static badgermux.decide.PolicyFixture.backend;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.decide.DispatchPolicy.ListUpdate;
import badgermux.decide.DispatchPolicy.Outcome;
import badgermux.decide.DispatchPolicy.Tenant;
import badgermux.decide.DispatchPolicy.Backend;
import badgermux.decide.DispatchPolicy.BackendState;
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
class DefaultDispatchPolicyTest {
    private final PolicyFixture rig = new PolicyFixture();

    private PolicyFixture probing() {
        rig.settings.reportMode = DispatchPolicy.ReportMode.ON_PROBE;
        rig.settings.mayProbe = true;
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
            rig.answerProbe(i + 1, free[i]);
        }
    }

    // ---- From one process to the next

    @Test void whatWasLearntGoesOnAndFiguresOfOtherSettingsDont() {
        rig.start(fleet(6));
        known(4, 6);
        DispatchPolicy.LearnedState left = rig.policy.exportLearnedState();
        PolicyFixture next = new PolicyFixture();
        next.start(fleet(6));
        next.policy.importLearnedState(new DispatchPolicy.LearnedState(new double[left.statistics().length - 1], List.of()));
        assertEquals(0, next.policy.exportLearnedState().statistics()[0]);
        next.policy.importLearnedState(left);
        assertArrayEquals(left.statistics(), next.policy.exportLearnedState().statistics());
        assertTrue(Arrays.stream(left.statistics()).anyMatch(x -> Math.abs(x - 4 * SECOND) < SECOND), "how long jobs run");
    }

    /** A cold worker's budget is spent once, and not by each process anew; what is left of it is used at once. */
    @Test void theNextProcessGoesOnWithTheBudgetOfColdWorkers() {
        rig.start(fleet(1));
        for (int i = 0; i < 4; i++) {
            rig.serve(PAY, 200 * MS, null);
        }
        rig.advance(2 * SECOND);
        rig.listBackends(ListUpdate.FULL, backend(1, BackendState.READY, rig.actions.now - SECOND));
        int before = rig.actions.sends.size();
        for (int i = 0; i < 20; i++) {
            rig.request(PAY);
        }
        int sent = rig.actions.sends.size() - before;
        assertTrue(sent > 0 && sent < 20, "the budget allows some: " + sent);
        DispatchPolicy.LearnedState left = rig.policy.exportLearnedState();
        assertEquals(sent, left.recentSends().size());
        for (boolean spent : new boolean[] {true, false}) {
            PolicyFixture next = new PolicyFixture();
            next.actions.now = rig.actions.now;
            next.start(backend(1, BackendState.READY, rig.actions.now - SECOND));
            next.request(PAY);
            assertEquals(0, next.actions.sends.size(), "what was sent before is not known");
            next.policy.importLearnedState(spent ? left : new DispatchPolicy.LearnedState(left.statistics(), List.of()));
            next.request(PAY);
            assertEquals(spent, next.actions.sends.isEmpty());
        }
    }

    /** The list kept from before may lack a worker that was sent work: what was sent there was forgotten with it. */
    @Test void whatWasSentToAColdWorkerThatIsListedAfterwardsIsKnownToTheNextProcess() {
        rig.start(fleet(1));
        for (int i = 0; i < 4; i++) {
            rig.serve(PAY, 200 * MS, null);
        }
        rig.advance(2 * SECOND);
        Backend cold = backend(1, BackendState.READY, rig.actions.now - SECOND);
        rig.listBackends(ListUpdate.FULL, cold);
        for (int i = 0; i < 20; i++) {
            rig.request(PAY);
        }
        DispatchPolicy.LearnedState left = rig.policy.exportLearnedState();
        for (boolean spent : new boolean[] {true, false}) {
            PolicyFixture next = new PolicyFixture();
            next.actions.now = rig.actions.now;
            next.start();
            next.policy.importLearnedState(spent ? left : new DispatchPolicy.LearnedState(left.statistics(), List.of()));
            next.listBackends(ListUpdate.FULL, cold);
            next.request(PAY);
            assertEquals(spent, next.actions.sends.isEmpty());
        }
    }

    @Test void oneThatDrainsIsAvoidedAndLeftNoIdleConnection() {
        probing().start(fleet(3));
        assertFalse(rig.policy.isAvoided(1));
        rig.listBackends(ListUpdate.DELTA, backend(1, BackendState.DRAINING, 0));
        assertTrue(rig.policy.isAvoided(1));
        assertTrue(rig.policy.isAvoided(99), "nobody knows it");
        int released = rig.actions.closedIdle.size();
        rig.answerProbe(1, 4);
        assertEquals(released + 1, rig.actions.closedIdle.size(), "the probe's connection");
    }

    // ---- The mechanism

    @Test void theLowerTotalWinsAndItsLeastLoadedWorkerTakesTheJob() {
        rig.start(fleet(6));
        known(4, 6, 4, 8, 0, 0);
        rig.request(PAY);
        assertEquals(2, rig.actions.lastSend().backendId(), "the group 1 to 3 has more free in all, worker 4 alone the most");
    }

    @Test void amongEqualLoadsTheOwnZoneGoesFirst() {
        rig.start(new Backend(1, 1, 0, 0, BackendState.READY, 0), new Backend(2, 0, 0, 0, BackendState.READY, 0),
            new Backend(3, 1, 0, 0, BackendState.READY, 0));
        known(6, 6, 6);
        rig.request(PAY);
        assertEquals(2, rig.actions.lastSend().backendId());
        rig.request(PAY);
        assertNotEquals(2, rig.actions.lastSend().backendId(), "the own push made it fuller");
    }

    @Test void aShortLastGroupIsScaledToFullSize() {
        rig.start(fleet(4));
        known(2, 2, 2, 3);
        rig.request(PAY);
        assertEquals(4, rig.actions.lastSend().backendId());
    }

    @Test void ownPushesCountUntilTheyEnd() {
        rig.start(fleet(2));
        known(2, 2);
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 2; i++) {
            rig.request(PAY);
            used.add(rig.actions.lastSend().backendId());
        }
        assertEquals(Set.of(1L, 2L), used);
        long back = rig.actions.lastSend().backendId();
        rig.endAttempt(rig.actions.lastSend().requestId(), 0, Outcome.SERVED);
        rig.request(PAY);
        assertEquals(back, rig.actions.lastSend().backendId());
    }

    @Test void aWorkerThatLeftKeepsItsPlaceSoGroupsDoNotShift() {
        rig.start(fleet(6));
        known(1, 1, 1, 1, 1, 1);
        rig.listBackends(ListUpdate.DELTA, backend(1, BackendState.GONE, 0));
        reports(0, 4, 2, 6, 0, 0);
        rig.request(PAY);
        assertEquals(2, rig.actions.lastSend().backendId(), "2 and 3 have 3 free each, 4 to 6 have 2 each");
    }

    @Test void classesThatNeedAKindGetIt() {
        rig.settings.classes.set(PAY, PolicyFixture.requestClass("pay", DispatchPolicy.Effect.ONCE, DispatchPolicy.DedupScope.ALL, 1));
        rig.start(new Backend(1, 0, 0, 0, BackendState.READY, 0), new Backend(2, 0, 1, 0, BackendState.READY, 0));
        for (int i = 0; i < 10; i++) {
            rig.request(PAY);
            assertEquals(2, rig.actions.lastSend().backendId());
        }
    }

    @Test void drawnWorkersWithOldReportsAreProbedOnceAtATime() {
        probing().start(fleet(2));
        rig.request(PAY);
        rig.request(PAY);
        assertEquals(List.of(1L, 2L), rig.actions.probed);
        reports(2, 2);
        rig.advance(10 * SECOND);
        rig.request(PAY);
        assertEquals(List.of(1L, 2L, 1L, 2L), rig.actions.probed);
    }

    @Test void idleConnectionsToAWorkerThatDrainsOrLeavesAreClosedOnce() {
        rig.start(fleet(3));
        rig.listBackends(ListUpdate.DELTA, backend(2, BackendState.DRAINING, 0));
        rig.listBackends(ListUpdate.DELTA, backend(2, BackendState.GONE, 0), backend(3, BackendState.READY, 0));
        assertEquals(List.of(2L), rig.actions.closedIdle);
    }

    @Test void equalEventsGetEqualActions() {
        PolicyFixture other = new PolicyFixture();
        for (PolicyFixture each : List.of(rig, other)) {
            each.start(fleet(9));
            for (int i = 0; i < 200; i++) {
                long job = each.request(i % 3);
                each.advance((i % 7) * 10 * MS);
                each.endAttempt(job, 0, Outcome.values()[i % 8], i % 2 == 0 ? PolicyFixture.reportOfFreeSlots(i % 4) : null);
            }
        }
        assertEquals(rig.actions.descriptions, other.actions.descriptions);
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
            used.add(rig.actions.lastSend().backendId());
        }
        assertEquals(Set.of(1L, 2L), used);
    }

    /** Draining workers hand jobs back long before the list tells of the drain. */
    @Test void aWorkerThatTurnsAJobAwayRestsAndIsTriedAgain() {
        rig.start(fleet(2));
        known(2, 2);
        long job = rig.request(PAY);
        long away = rig.actions.lastSend().backendId();
        rig.endAttempt(job, 0, Outcome.REJECTED);
        for (int i = 0; i < 3; i++) {
            rig.request(PAY);
            assertNotEquals(away, rig.actions.lastSend().backendId());
            rig.endAttempt(job + 1 + i, 0, Outcome.SERVED);
        }
        rig.advance(SECOND);
        reports(away == 1 ? 2 : 0, away == 2 ? 2 : 0);
        rig.request(PAY);
        assertEquals(away, rig.actions.lastSend().backendId(), "a trial");
    }

    /** After a bad release a worker started each job and failed it; it looked the freest of all. */
    @Test void aWorkerThatStartsJobsAndErrsIsSetAside() {
        rig.start(fleet(1));
        long job = rig.request(PAY);
        rig.policy.attemptStarted(rig.actions.now, job, 0);
        assertEquals(List.of(), rig.actions.logged);
        rig.endAttempt(job, 0, Outcome.ERROR);
        assertEquals(List.of("worker 1 set aside: ERROR"), rig.actions.logged);
    }

    @ParameterizedTest @EnumSource(Outcome.class)
    void theOnCallPageQuotesTheLinesThatAreWritten(Outcome outcome) throws IOException {
        rig.start(fleet(1));
        rig.endAttempt(rig.request(PAY), 0, outcome);
        String page = Files.readString(Path.of("docs", "on-call.md"));
        String line = "set aside: " + outcome;
        assertEquals(page.contains("`" + line + "`"), rig.actions.logged.contains("worker 1 " + line), line);
        assertTrue(page.contains("`worker ID set aside: WHY`") && page.contains("`worker ID is back in use`"), page);
    }

    @Test void whenAllRestTheJobIsSentAllTheSame() {
        rig.start(fleet(2));
        for (int i = 0; i < 2; i++) {
            rig.endAttempt(rig.request(PAY), 0, Outcome.CONNECT_FAILED);
        }
        int before = rig.actions.sends.size();
        rig.request(RENDER);
        assertEquals(before + 1, rig.actions.sends.size());
    }

    @Test void aLongRestGrowsAndOneGoodAnswerEndsIt() {
        rig.start(fleet(1));
        for (int i = 0; i < 3; i++) {
            rig.endAttempt(rig.request(PAY), 0, Outcome.CONNECT_FAILED);
            rig.advance(5 * SECOND);
        }
        rig.endAttempt(rig.request(PAY), 0, Outcome.SERVED);
        assertTrue(rig.actions.logged.get(0).endsWith("set aside: CONNECT_FAILED"), rig.actions.logged::toString);
        assertTrue(rig.actions.logged.get(rig.actions.logged.size() - 1).endsWith("is back in use"), rig.actions.logged::toString);
    }

    /** A stalled worker holds a started job and tells nothing more of it. */
    @Test void aJobWhoseWorkerFellSilentIsCopied() {
        rig.start(fleet(4));
        rig.serve(RENDER, SECOND, null);
        known(2, 2, 2, 2);
        long job = rig.request(RENDER);
        rig.policy.attemptStarted(rig.actions.now, job, 0);
        rig.advance(2 * SECOND);
        assertEquals(1, rig.sendCount(job), "one note late is no silence");
        rig.advance(2 * SECOND);
        assertTrue(rig.sendCount(job) > 1);
    }

    @Test void theFirstCopyToStartWithdrawsTheOneThatWaits() {
        rig.settings.reportMode = DispatchPolicy.ReportMode.NEVER;
        rig.start(fleet(4));
        long job = rig.request(RENDER);
        rig.advance(50 * MS);
        rig.policy.attemptStarted(rig.actions.now, job, 1);
        assertEquals(List.of(job + "/0"), rig.actions.cancelled);
    }

    /** A job that had not begun was taken for a silent one: with notes told, every job got a copy after 50 ms. */
    @Test void aJobThatWaitsWhereAnswersTellOfSlotsGetsNoCopies() {
        rig.settings.progressIntervalMicros = 2 * SECOND;
        rig.start(fleet(4));
        known(2, 2, 2, 2);
        long job = rig.request(RENDER);
        rig.advance(SECOND);
        assertEquals(1, rig.sendCount(job));
        assertEquals(0, rig.actions.cancelled.size());
    }

    @Test void noMoreThanThreeCopiesOfAJobWaitAtOnce() {
        rig.settings.reportMode = DispatchPolicy.ReportMode.NEVER;
        lateAnswersEarnMuch();
        rig.start(fleet(40));
        long job = rig.request(RENDER);
        rig.advance(700 * MS);
        assertEquals(3, rig.sendCount(job));
        rig.endAttempt(job, 0, Outcome.REJECTED);
        rig.advance(700 * MS);
        assertEquals(4, rig.sendCount(job), "one has ended");
    }

    /** At full size nearly every report is too old to place by: a job waits for those of its drawn workers. */
    @Test void aJobWaitsForTheReportsOfItsDrawnWorkers() {
        asking(2);
        rig.request(PAY);
        assertEquals(0, rig.actions.sends.size());
        rig.answerProbe(1, 0);
        rig.answerProbe(2, 2);
        assertEquals(2, rig.actions.lastSend().backendId());
    }

    @Test void aWorkerThatDoesNotAnswerItsProbeIsPassedOverUntilItDoes() {
        asking(2);
        rig.request(PAY);
        rig.answerProbe(1, 2);
        rig.advance(75 * MS);
        assertEquals(1, rig.actions.lastSend().backendId(), "a quarter of the aim is waited");
        for (int i = 0; i < 5; i++) {
            rig.request(PAY);
            assertEquals(1, rig.actions.lastSend().backendId());
        }
        rig.policy.probeEnded(rig.actions.now, 2, false, null);
        rig.advance(SECOND);
        rig.request(PAY);
        assertEquals(4, rig.actions.probed.size(), "it is asked again");
        rig.answerProbe(1, -1);
        rig.answerProbe(2, 9);
        rig.request(PAY);
        assertEquals(2, rig.actions.lastSend().backendId());
    }

    @Test void whereNobodyAnswersAllAreTried() {
        asking(2);
        rig.request(PAY);
        rig.advance(80 * MS);
        assertEquals(1, rig.actions.sends.size(), "evidence shared by all blames none");
    }

    /** Copies once went wherever less seemed to wait; where a cancelled one still runs they filled the fleet for nobody. */
    @Test void aCopyGoesOnlyWhereAReportShowsAFreeSlot() {
        asking(2);
        long job = rig.request(RENDER);
        rig.answerProbe(1, 1);
        rig.answerProbe(2, 0);
        assertEquals(1, rig.actions.lastSend().backendId());
        answering(200, 0, 0);
        assertEquals(1, rig.sendCount(job), "it does not start, and the other worker is full");
        answering(100, 0, 1);
        assertEquals(2, rig.sendCount(job));
        assertEquals(2, rig.actions.lastSend().backendId());
    }

    /** A report that shows no free slot hides the queue: jobs once went there as if nobody waited. */
    @Test void atAFullWorkerOneJobMoreIsTakenToWait() {
        asking(1);
        for (int jobClass : new int[] {RENDER, PolicyFixture.SAVE, PAY}) {
            long first = rig.request(jobClass);
            rig.answerProbe(1, 4);
            rig.policy.attemptStarted(rig.actions.now, first, 0);
            answering(800, 4);
            rig.endAttempt(first, 0, Outcome.SERVED);
        }
        answering(1_000, 0);
        long job = rig.request(RENDER);
        rig.answerProbe(1, 0);
        assertEquals(0, rig.sendCount(job), "two quarters of 800 ms are more than half of its slack, one is not");
        answering(100, 1);
        assertEquals(1, rig.sendCount(job));
    }

    /** Where a dispatcher dies its clients come here; a job that had run for long has more slack than most. */
    @Test void aLateRepeatIsTriedOnceWhereASlotIsFree() {
        asking(1);
        rig.advance(10 * SECOND);
        long first = rig.request(RENDER);
        rig.answerProbe(1, 2);
        rig.policy.attemptStarted(rig.actions.now, first, 0);
        answering(100, 2);
        rig.endAttempt(first, 0, Outcome.SERVED);
        long job = rig.request(RENDER, 3 * SECOND);
        rig.answerProbe(1, 2);
        assertEquals(1, rig.sendCount(job), "it has waited 2 s elsewhere");
        answering(1_000, 0);
        long other = rig.request(RENDER, 3 * SECOND);
        rig.answerProbe(1, 0);
        assertEquals(0, rig.sendCount(other));
        assertTrue(rig.actions.refused.contains(other), "nor is it held");
    }

    /** Lets time pass while all workers answer each probe with the same free slots. */
    private void answering(int ms, double... free) {
        for (int t = 0; t < ms; t += 10) {
            rig.advance(10 * MS);
            for (int i = 0; i < free.length; i++) {
                rig.answerProbe(i + 1, free[i]);
            }
        }
    }

    private void asking(int workers) {
        rig.settings.mayProbe = true;
        rig.settings.reportMode = DispatchPolicy.ReportMode.ON_PROBE;
        rig.start(fleet(workers));
    }

    /** Busy dispatchers once took their part for the even one and held what came beyond it. */
    @Test void aBusyDispatcherLearnsThatItsPartIsLarge() {
        rig.settings.dispatcherCount = 20;
        rig.start(fleet(4));
        known(2, 2, 2, 2);
        for (int i = 0; i < 200; i++) {
            reports(1, 1, 1, 1);
            rig.serve(PAY, 100 * MS, null);
        }
        int sent = rig.actions.sends.size();
        for (int i = 0; i < 3; i++) {
            rig.request(PAY);
        }
        assertEquals(sent + 3, rig.actions.sends.size(), "an even part is less than half a slot");
    }

    /** Long jobs once took each slot that came free, and the short ones that are worth most were refused. */
    @Test void heldJobsGoOutByWorthASlotSecond() {
        rig.start(fleet(1));
        for (int i = 0; i < 4; i++) {
            rig.serve(RENDER, 100 * MS, null);
            rig.serve(PAY, 2 * SECOND, null);
        }
        rig.answerProbe(1, 2);
        DispatchPolicy.LoadReport full = PolicyFixture.reportOfFreeSlots(0);
        full.queued = 20;
        for (int i = 0; i < 60; i++) {
            rig.policy.probeEnded(rig.actions.now, 1, true, full);
        }
        int sent = rig.actions.sends.size();
        long pay = rig.request(PAY), render = rig.request(RENDER);
        assertEquals(sent, rig.actions.sends.size(), "no slot is free");
        rig.answerProbe(1, 30);
        rig.advance(200 * MS);
        assertEquals(List.of(render, pay), rig.actions.sends.stream().skip(sent).map(RecordingActions.Send::requestId).toList());
    }

    /** A tenant far over its quota once crowded out another that was within its own. */
    @Test void jobsBeyondATenantsQuotaWait() {
        rig.settings.tenants.add(new Tenant("large", 4));
        rig.settings.tenants.add(new Tenant("small", 4));
        rig.settings.overQuotaWorthShare = 0.05;
        rig.settings.dispatcherCount = 1;
        rig.start(fleet(1));
        known(2);
        rig.advance(5 * SECOND);
        rig.answerProbe(1, 0);
        int sent = rig.actions.sends.size();
        for (int i = 0; i < 30; i++) {
            rig.request(new DispatchPolicy.Request(rig.nextRequestId(), RENDER, 0, 1, 0, 5 * SECOND));
        }
        long small = rig.request(new DispatchPolicy.Request(rig.nextRequestId(), RENDER, 1, 1, 0, 5 * SECOND));
        assertEquals(sent, rig.actions.sends.size(), "no slot is free");
        rig.answerProbe(1, 60);
        rig.advance(200 * MS);
        List<Long> order = rig.actions.sends.stream().skip(sent).map(RecordingActions.Send::requestId).toList();
        assertTrue(order.indexOf(small) >= 1 && order.indexOf(small) <= 10, "after ten jobs of quota: " + order);
        assertEquals(31, order.size(), "where slots are free nothing is refused");
    }

    /** Of four dispatchers one once held 0.6 of every quota and three a tenth, as who shed more used fewer slots. */
    @Test void ourPartOfAQuotaDoesNotShrinkWhileWeHoldJobs() {
        rig.settings.tenants.add(new Tenant("shared", 4));
        rig.settings.tenants.add(new Tenant("unlimited", 0));
        rig.settings.overQuotaWorthShare = 0.05;
        rig.settings.dispatcherCount = 1;
        rig.settings.classes.add(new DispatchPolicy.RequestClass("cheap", DispatchPolicy.Effect.REPEATABLE, DispatchPolicy.DedupScope.ALL, 300 * MS,
            1.5, 5 * SECOND, 3 * SECOND, 0.5, 0, -1, false));
        rig.start(fleet(1));
        known(2);
        DispatchPolicy.LoadReport full = PolicyFixture.reportOfFreeSlots(0);
        full.inFlight = 12;
        for (int i = 0; i < 300; i++) {
            rig.policy.probeEnded(rig.actions.now, 1, true, full);
            if (i % 5 == 0) {
                rig.request(new DispatchPolicy.Request(rig.nextRequestId(), RENDER, 1, 1, 0, 5 * SECOND));
            }
            rig.advance(20 * MS);
        }
        int sent = rig.actions.sends.size();
        long cheap = rig.request(new DispatchPolicy.Request(rig.nextRequestId(), 3, 1, 1, 0, 5 * SECOND));
        for (int i = 0; i < 6; i++) {
            rig.request(new DispatchPolicy.Request(rig.nextRequestId(), RENDER, 0, 1, 0, 5 * SECOND));
        }
        rig.advance(150 * MS);
        assertEquals(sent, rig.actions.sends.size(), "no slot is free");
        rig.answerProbe(1, 60);
        rig.advance(100 * MS);
        int rank = rig.actions.sends.stream().skip(sent).map(RecordingActions.Send::requestId).toList().indexOf(cheap);
        assertTrue(rank >= 6, "all six within the quota go before it: " + rank);
    }

    /** Long jobs with a wide aim once queued for seconds, and jobs with a tight aim behind them were all late. */
    @Test void aJobQueuesNoLongerThanATightClassCouldWaitBehindIt() {
        rig.settings.dispatcherCount = 1;
        rig.settings.classes.add(new DispatchPolicy.RequestClass("wide", DispatchPolicy.Effect.REPEATABLE, DispatchPolicy.DedupScope.ALL, 60 * SECOND,
            1, 90 * SECOND, 3 * SECOND, 1, 0, -1, false));
        rig.start(fleet(1));
        known(4);
        int sent = rig.actions.sends.size();
        for (int i = 0; i < 20; i++) {
            rig.request(new DispatchPolicy.Request(rig.nextRequestId(), 3, 0, 1, 0, 90 * SECOND));
        }
        int slots = 4;
        assertTrue(rig.actions.sends.size() - sent <= slots + 1, "a wait of one job of 4 s over 4 slots is too long already");
    }

    /** Two hundred dispatchers with the same old reports all met at the worker furthest left. */
    @Test void nearlyEqualWorkersShareTheJobsWhereManyPush() {
        rig.settings.dispatcherCount = 100;
        rig.settings.mayProbe = true;
        rig.settings.reportMode = DispatchPolicy.ReportMode.ON_PROBE;
        rig.start(fleet(3));
        known(4, 4, 3);
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 30; i++) {
            rig.endAttempt(rig.request(PAY), 0, Outcome.SERVED);
            used.add(rig.actions.lastSend().backendId());
        }
        assertEquals(Set.of(1L, 2L, 3L), used);
    }

    @Test void ownZoneGoesFirstAmongEqualLoads() {
        rig.settings.ownZone = 1;
        rig.start(backend(1, BackendState.READY, 0), backend(2, BackendState.READY, 0), backend(5, BackendState.READY, 0));
        known(4, 4, 4);
        rig.policy.probeEnded(rig.actions.now, 5, true, PolicyFixture.reportOfFreeSlots(4));
        rig.request(PAY);
        assertEquals(5, rig.actions.lastSend().backendId());
    }

    /** At full size seven jobs in eight once opened a connection of their own, as each went to another worker. */
    @Test void amongEqualLoadsAnIdleConnectionIsUsedAgain() {
        rig.settings.idleTimeoutMicros = 10 * SECOND;
        rig.settings.ownZone = 2;
        rig.start(fleet(3));
        known(6, 6, 6);
        long used = 0;
        for (int i = 0; i < 30; i++) {
            rig.endAttempt(rig.request(PAY), 0, Outcome.SERVED);
            assertTrue(used == 0 || used == rig.actions.lastSend().backendId(), "an idle connection leads to worker " + used);
            used = rig.actions.lastSend().backendId();
        }
        rig.request(PAY);
        rig.request(PAY);
        assertNotEquals(used, rig.actions.lastSend().backendId(), "its connection is taken");
    }

    /** Two totals that differ by a slot say nothing where hundreds push unseen between two reports. */
    @Test void nearlyEqualGroupsTieWhereManyPush() {
        Set<Long> few = new HashSet<>(), many = new HashSet<>();
        for (int dispatchers : new int[] {4, 200}) {
            PolicyFixture each = new PolicyFixture();
            each.settings.dispatcherCount = dispatchers;
            each.settings.mayProbe = true;
            each.settings.reportMode = DispatchPolicy.ReportMode.ON_PROBE;
            each.start(fleet(6));
            for (int i = 0; i < 4; i++) {
                each.serve(PAY, 4 * SECOND, null);
            }
            for (int i = 1; i <= 6; i++) {
                each.answerProbe(i, i <= 3 ? 6 : 5.2);
            }
            for (int i = 0; i < 30; i++) {
                each.endAttempt(each.request(PAY), 0, Outcome.SERVED);
                (dispatchers == 4 ? few : many).add((each.actions.lastSend().backendId() - 1) / 3);
            }
        }
        assertEquals(Set.of(0L), few);
        assertEquals(Set.of(0L, 1L), many);
    }

    /** Three reports age by about a job each: totals that are nearer than that are even, and the own zone decides. */
    @Test void nearlyEqualGroupsAreEvenAndTheOwnZoneDecides() {
        for (double free : new double[] {5.8, 4.5}) {
            Set<Long> groups = new HashSet<>();
            PolicyFixture each = new PolicyFixture();
            each.settings.ownZone = 1;
            each.settings.mayProbe = true;
            each.settings.reportMode = DispatchPolicy.ReportMode.ON_PROBE;
            Backend[] fleet = fleet(6);
            Arrays.setAll(fleet, i -> new Backend(i + 1, i / 3, 0, 0, BackendState.READY, 0));
            each.start(fleet);
            for (int i = 0; i < 4; i++) {
                each.serve(PAY, 4 * SECOND, null);
            }
            for (int i = 1; i <= 6; i++) {
                each.answerProbe(i, i <= 3 ? 6 : free);
            }
            each.advance(300 * MS);
            for (int i = 0; i < 10; i++) {
                each.endAttempt(each.request(PAY), 0, Outcome.SERVED);
                groups.add((each.actions.lastSend().backendId() - 1) / 3);
            }
            assertEquals(Set.of(free > 5 ? 1L : 0L), groups);
        }
    }

    /** In a backlog of the whole fleet late reports show slots, and all dispatchers once pushed on into full queues. */
    @Test void pushesStopWhileThoseThatAreOutDoNotStart() {
        rig.settings.dispatcherCount = 4;
        rig.start(fleet(2));
        known(4, 4);
        int sent = rig.actions.sends.size();
        long first = rig.request(PAY);
        for (int i = 0; i < 20; i++) {
            rig.advance(450 * MS);
            reports(4, 4);
            rig.request(PAY);
        }
        int out = rig.actions.sends.size() - sent;
        assertTrue(out >= 2 && out <= 4, "one that waits may be chance: " + out);
        for (int i = 0; i < 21; i++) {
            rig.policy.attemptStarted(rig.actions.now, first + i, 0);
        }
        assertEquals(1, rig.sendCount(rig.request(PAY)), "they have started");
    }

    /** Turned away as full, each job went straight on to the next full worker, five times. */
    @Test void jobsTurnedAwayAsFullStopThePushesToo() {
        rig.start(fleet(40));
        known();
        for (int i = 0; i < 9; i++) {
            long job = rig.request(RENDER);
            for (int attempt = 0; attempt < rig.sendCount(job); attempt++) {
                rig.endAttempt(job, attempt, Outcome.REJECTED);
            }
            rig.request(PAY);
        }
        assertTrue(rig.actions.sends.size() < 9 * 5, "sent " + rig.actions.sends.size());
    }

    /** A long queue in a late report once stopped all dispatchers until it had long gone, and they started together. */
    @Test void aLongReportedQueueDoesNotBarAWorkerForLong() {
        rig.settings.classes.clear();
        rig.settings.classes.add(new DispatchPolicy.RequestClass("wide", DispatchPolicy.Effect.REPEATABLE, DispatchPolicy.DedupScope.ALL, 10 * SECOND,
            1, 90 * SECOND, 3 * SECOND, 1, 0, -1, false));
        rig.settings.dispatcherCount = 1;
        rig.start(fleet(1));
        for (int i = 0; i < 4; i++) {
            long job = rig.request(0, 90 * SECOND);
            rig.policy.attemptStarted(rig.actions.now, job, 0);
            rig.advance(4 * SECOND);
            rig.endAttempt(job, 0, Outcome.SERVED, PolicyFixture.reportOfFreeSlots(4));
        }
        DispatchPolicy.LoadReport full = PolicyFixture.reportOfFreeSlots(0);
        full.inFlight = 100;
        rig.policy.probeEnded(rig.actions.now, 1, true, full);
        assertEquals(0, rig.sendCount(rig.request(0, 90 * SECOND)));
        rig.advance(16 * SECOND);
        assertEquals(1, rig.sendCount(rig.request(0, 90 * SECOND)), "four mean runs later little of it is left");
    }

    /** After a loss a quarter of all answers came from queued jobs that were late before they started. */
    @Test void aRepeatableJobThatWaitsPastItsSlackMakesRoom() {
        rig.start(fleet(1));
        rig.serve(RENDER, MS, null);
        known(3);
        rig.settings.maxAttempts = 1;
        long waits = rig.request(RENDER), runs = rig.request(RENDER), once = rig.request(PAY);
        rig.policy.attemptStarted(rig.actions.now, runs, 0);
        rig.advance(200 * MS);
        assertEquals(List.of(), rig.actions.refused, "its slack is 0.3 s");
        rig.advance(200 * MS);
        assertEquals(List.of(waits), rig.actions.refused);
        assertEquals(List.of(waits + "/0"), rig.actions.cancelled);
        assertEquals(1, rig.sendCount(once), "it may have run");
    }

    private void lateAnswersEarnMuch() {
        rig.settings.classes.set(RENDER, new DispatchPolicy.RequestClass("patient", DispatchPolicy.Effect.REPEATABLE, DispatchPolicy.DedupScope.ALL,
            300 * MS, 1.5, 5 * SECOND, 3 * SECOND, 1, 0.5, -1, false));
    }

    @Test void aJobWhoseLateAnswerEarnsMuchWaitsOn() {
        lateAnswersEarnMuch();
        rig.start(fleet(1));
        known(2);
        rig.request(RENDER);
        rig.advance(2 * SECOND);
        assertEquals(List.of(), rig.actions.refused);
    }

    /** A job held for most of its slack once queued at a worker as if it had just come, and ended late. */
    @Test void aHeldJobMayWaitAtAWorkerForWhatIsLeftOfItsSlackOnly() {
        rig.settings.dispatcherCount = 1;
        rig.settings.classes.subList(1, 3).clear();
        rig.start(fleet(1));
        for (int i = 0; i < 4; i++) {
            rig.serve(RENDER, 200 * MS, PolicyFixture.reportOfFreeSlots(10));
        }
        DispatchPolicy.LoadReport full = PolicyFixture.reportOfFreeSlots(0);
        full.queued = 200;
        for (int i = 0; i < 60; i++) {
            rig.policy.probeEnded(rig.actions.now, 1, true, full);
        }
        long held = rig.request(RENDER);
        rig.advance(390 * MS);
        rig.answerProbe(1, 0);
        rig.listBackends(ListUpdate.DELTA);
        assertEquals(0, rig.sendCount(held), "10 ms of its slack are left");
        assertEquals(1, rig.sendCount(rig.request(RENDER)), "its slack is whole");
    }

    /** In overload the oldest held jobs once took each slot that came free, and ended late one after the other. */
    @Test void ofHeldJobsOfEqualWorthTheOneWithMostSlackLeftGoesFirst() {
        lateAnswersEarnMuch();
        rig.settings.dispatcherCount = 1;
        rig.start(fleet(1));
        known(2);
        DispatchPolicy.LoadReport full = PolicyFixture.reportOfFreeSlots(0);
        full.queued = 40;
        rig.policy.probeEnded(rig.actions.now, 1, true, full);
        int sent = rig.actions.sends.size();
        long older = rig.request(RENDER);
        rig.advance(150 * MS);
        long newer = rig.request(RENDER);
        rig.advance(100 * MS);
        assertEquals(sent, rig.actions.sends.size(), "no slot is free");
        rig.answerProbe(1, 30);
        rig.advance(200 * MS);
        assertEquals(List.of(newer, older), rig.actions.sends.stream().skip(sent).map(RecordingActions.Send::requestId).toList());
    }

    /** Retries whose aim has long passed once took the slots of those still in time. */
    @Test void aRetryPastItsAimIsNotSentWhereLateAnswersEarnNothing() {
        rig.start(fleet(2));
        known(2, 2);
        rig.request(PAY);
        long retry = rig.request(PAY, 2 * SECOND);
        assertEquals(0, rig.sendCount(retry));
        assertEquals(List.of(retry), rig.actions.refused);
    }

    // ---- The list

    @Test void afterAListThePausesBetweenFailedWatchesAreShortAgain() {
        rig.settings.listPushed = false;
        rig.start(fleet(1));
        for (int i = 0; i < 5; i++) {
            rig.listBackends(ListUpdate.FAILED);
            rig.actions.advance(rig.policy, rig.actions.now + 4 * SECOND);
        }
        rig.listBackends(ListUpdate.DELTA);
        rig.listBackends(ListUpdate.FAILED);
        int before = rig.actions.watchCount;
        rig.actions.advance(rig.policy, rig.actions.now + 3 * SECOND / 4);
        assertEquals(before + 1, rig.actions.watchCount);
    }

    @Test void aFailedWatchIsAskedAgainWithGrowingPausesWithinTheTimeAllowed() {
        rig.settings.listPushed = false;
        rig.settings.maxWatchIntervalMicros = 4 * SECOND;
        rig.start(fleet(1));
        assertEquals(1, rig.actions.watchCount);
        rig.listBackends(ListUpdate.FAILED);
        assertEquals(1, rig.actions.watchCount, "not at once");
        for (int i = 2; i <= 6; i++) {
            rig.advance(2 * SECOND);
            assertEquals(i, rig.actions.watchCount);
            rig.listBackends(ListUpdate.FAILED);
        }
    }

    @Test void aPushedListIsNeverAskedFor() {
        rig.start(fleet(1));
        rig.listBackends(ListUpdate.FAILED);
        rig.advance(20 * SECOND);
        assertEquals(0, rig.actions.watchCount);
    }

    @Test void aListThatFlapsLosesNoJobAndSendsNothingToTheAbsent() {
        rig.start(fleet(3));
        for (int i = 0; i < 40; i++) {
            boolean there = i % 2 == 1;
            rig.listBackends(ListUpdate.FULL, there ? fleet(3) : new Backend[0]);
            int sent = rig.actions.sends.size();
            rig.request(PAY);
            rig.advance(50 * MS);
            assertEquals(there, rig.actions.sends.size() > sent);
            assertFalse(rig.actions.refused.size() + rig.actions.failed.size() > i + 1);
        }
    }

    // ---- What the deployments of many museums taught

    /** Work over a share filled slots that nobody saw, and tenants inside theirs were turned away. */
    @Test void workOverAShareLeavesRoomWhereReportsAreOld() {
        for (double quota : new double[] {0, 0.001}) {
            PolicyFixture each = new PolicyFixture();
            each.settings.dispatcherCount = 100;
            each.settings.tenants.add(new DispatchPolicy.Tenant("one", quota));
            each.start(fleet(3));
            for (int i = 0; i < 8; i++) {
                each.serve(PAY, SECOND, PolicyFixture.reportOfFreeSlots(1.5));
            }
            for (int w = 1; w <= 3; w++) {
                each.answerProbe(w, 1.5);
            }
            each.advance(3 * SECOND);
            long job = each.request(PAY);
            assertEquals(quota == 0 ? 1 : 0, each.sendCount(job), "quota " + quota);
        }
    }

    /** Small tenants' first jobs after each of our starts counted as over their share. */
    @Test void aTenantStartsWithSomeCredit() {
        rig.settings.dispatcherCount = 100;
        rig.settings.overQuotaWorthShare = 0.05;
        rig.settings.tenants.add(new DispatchPolicy.Tenant("small", 10));
        rig.start(fleet(3));
        rig.serve(RENDER, 300 * MS, PolicyFixture.reportOfFreeSlots(1));
        for (int w = 1; w <= 3; w++) {
            rig.answerProbe(w, 0.6);
        }
        rig.advance(SECOND);
        long job = rig.request(RENDER);
        assertEquals(1, rig.sendCount(job));
    }

    /** Idle connections were dropped unseen: each was lost on first use, and its worker set aside for it. */
    @Test void aConnectionLostAfterStandingIdleBlamesNoWorkerAndOlderOnesAreClosedBeforeUse() {
        rig.settings.idleTimeoutMicros = 30 * SECOND;
        rig.start(fleet(1));
        rig.serve(RENDER, 100 * MS, null);
        rig.advance(4 * SECOND);
        long job = rig.request(RENDER);
        rig.advance(5 * MS);
        rig.endAttempt(job, 0, Outcome.RESET);
        rig.endAttempt(job, 1, Outcome.SERVED);
        assertEquals(List.of(), rig.actions.logged);
        assertEquals(List.of(1L), rig.actions.closedIdle, "before its next attempt");
        rig.serve(RENDER, 100 * MS, null);
        rig.advance(SECOND);
        rig.request(RENDER);
        assertEquals(List.of(1L), rig.actions.closedIdle, "a second is less than half of what was lost");
        rig.endAttempt(rig.nextRequestId() - 1, 0, Outcome.SERVED);
        rig.advance(5 * SECOND);
        rig.request(RENDER);
        assertEquals(List.of(1L, 1L), rig.actions.closedIdle);
    }

    @Test void aConnectionLostWhileTheJobWaitedOrRanBlamesItsWorker() {
        rig.settings.idleTimeoutMicros = 30 * SECOND;
        rig.start(fleet(1));
        rig.serve(RENDER, 100 * MS, null);
        rig.advance(4 * SECOND);
        long job = rig.request(RENDER);
        rig.policy.attemptStarted(rig.actions.now, job, 0);
        rig.advance(5 * MS);
        rig.endAttempt(job, 0, Outcome.RESET);
        assertEquals(List.of("worker 1 set aside: RESET"), rig.actions.logged);
    }

    /** A crowded worker was taken for one like the others as soon as its last report was a run old. */
    @Test void aWorkerThatIsUsuallyFullIsNotTakenForItsKindsMeanAtOnce() {
        rig.settings.backendsReportStart = false;
        rig.start(fleet(3));
        for (int i = 0; i < 12; i++) {
            rig.serve(RENDER, 200 * MS, null);
            rig.answerProbe(1, 0);
            rig.answerProbe(2, 8);
            rig.answerProbe(3, 8);
        }
        rig.advance(600 * MS);
        long before = rig.actions.sends.size();
        for (int i = 0; i < 6; i++) {
            rig.request(RENDER);
        }
        assertFalse(rig.actions.sends.stream().skip(before).anyMatch(x -> x.backendId() == 1), rig.actions.sends::toString);
    }

    /** Jobs that idle connections swallowed counted as a backlog, and half the fleet stood idle while jobs were refused. */
    @Test void jobsSwallowedByIdleConnectionsAreNoJamAndOlderConnectionsAreClosedBeforeUse() {
        rig.settings.idleTimeoutMicros = 30 * SECOND;
        rig.settings.mayProbe = true;
        rig.settings.reportMode = DispatchPolicy.ReportMode.ON_PROBE;
        rig.start(fleet(1));
        rig.serve(PAY, 100 * MS, PolicyFixture.reportOfFreeSlots(8));
        rig.answerProbe(1, 8);
        for (int i = 0; i < 2; i++) {
            rig.advance(4 * SECOND);
            rig.answerProbe(1, 8);
            long job = rig.request(PAY);
            assertEquals(1, rig.sendCount(job));
            rig.advance(160 * MS);
            assertEquals(List.of(), rig.actions.closedIdle);
            rig.endAttempt(job, 0, Outcome.ERROR);
            rig.advance(SECOND);
            rig.answerProbe(1, 8);
        }
        rig.advance(4 * SECOND);
        rig.answerProbe(1, 8);
        rig.request(PAY);
        assertEquals(List.of(1L), rig.actions.closedIdle);
    }

    /** Workers that turned one museum's excess away were set aside for all, though they had room. */
    @Test void aWorkerWithRoomThatTurnsOneTenantAwayRestsForThatTenantAlone() {
        rig.settings.tenants.add(new DispatchPolicy.Tenant("one", 0));
        rig.settings.tenants.add(new DispatchPolicy.Tenant("two", 0));
        rig.start(fleet(2));
        rig.request(new DispatchPolicy.Request(1, PAY, 0, 1, 0, 5 * SECOND));
        long first = rig.actions.lastSend().backendId();
        DispatchPolicy.LoadReport roomy = PolicyFixture.reportOfFreeSlots(6);
        roomy.queued = 0;
        rig.endAttempt(1, 0, Outcome.REJECTED, roomy);
        assertEquals(List.of(), rig.actions.logged);
        rig.endAttempt(1, 1, Outcome.SERVED);
        Set<Long> one = new HashSet<>(), two = new HashSet<>();
        for (int i = 2; i < 30; i++) {
            rig.endAttempt(rig.request(new DispatchPolicy.Request(i, PAY, i % 2, 1, 0, 5 * SECOND)), 0, Outcome.SERVED);
            (i % 2 == 0 ? one : two).add(rig.actions.lastSend().backendId());
        }
        assertEquals(Set.of(3 - first), one);
        assertTrue(two.contains(first), "the other tenant goes on using it");
    }

    /** Bad clients sent what workers answer 400 to, three times each, and most workers were set aside for it. */
    @Test void twoWorkersThatCantUseARequestAreBelievedAndKept() {
        PolicyFixture rig = new PolicyFixture().start(PolicyFixture.fleet(6));
        long job = rig.request(PolicyFixture.RENDER);
        rig.endAttempt(job, 0, Outcome.UNFIT);
        assertEquals(2, rig.sendCount(job));
        rig.endAttempt(job, 1, Outcome.UNFIT);
        assertEquals(2, rig.sendCount(job));
        assertEquals(1, rig.actions.descriptions.stream().filter(("fail " + job)::equals).count(), rig.actions.descriptions::toString);
        assertEquals(List.of(), rig.actions.logged);
    }

    @Test void oneThatAloneCantUseARequestIsSetAside() {
        PolicyFixture rig = new PolicyFixture().start(PolicyFixture.fleet(6));
        long job = rig.request(PolicyFixture.RENDER);
        rig.endAttempt(job, 0, Outcome.UNFIT);
        rig.endAttempt(job, 1, Outcome.SERVED);
        assertEquals(1, rig.actions.logged.size(), rig.actions.logged::toString);
        assertTrue(rig.actions.logged.get(0).endsWith("set aside: ERROR"), rig.actions.logged::toString);
        long once = rig.request(PolicyFixture.PAY);
        rig.endAttempt(once, 0, Outcome.UNFIT);
        assertEquals(1, rig.sendCount(once));
    }

    /** Clients waited out a restart; the new process knew of short jobs only and took them all for late. */
    @Test void soonAfterAStartAJobMayHaveWaited() {
        PolicyFixture fresh = new PolicyFixture().start(PolicyFixture.fleet(6));
        fresh.serve(PolicyFixture.RENDER, 10 * MS, null);
        assertEquals(1, fresh.sendCount(fresh.request(PolicyFixture.RENDER, 4 * SECOND)), fresh.actions.descriptions::toString);
        fresh.advance(100 * MS);
        assertEquals(List.of(), fresh.actions.refused);
        fresh.advance(3 * SECOND);
        fresh.actions.refused.clear();
        long late = fresh.request(PolicyFixture.RENDER, 4 * SECOND);
        assertEquals(List.of(late), fresh.actions.refused);
    }
}
