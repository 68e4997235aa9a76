package badgermux.decide;

import static badgermux.decide.PolicyFixture.MS;
import static badgermux.decide.PolicyFixture.PAY;
import static badgermux.decide.PolicyFixture.RENDER;
import static badgermux.decide.PolicyFixture.SECOND;
import static badgermux.decide.PolicyFixture.backend;
import static badgermux.decide.PolicyFixture.fleet;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.decide.DispatchPolicy.Backend;
import badgermux.decide.DispatchPolicy.BackendState;
import badgermux.decide.DispatchPolicy.DedupScope;
import badgermux.decide.DispatchPolicy.Effect;
import badgermux.decide.DispatchPolicy.LearnedState;
import badgermux.decide.DispatchPolicy.ListUpdate;
import badgermux.decide.DispatchPolicy.LoadReport;
import badgermux.decide.DispatchPolicy.Outcome;
import badgermux.decide.DispatchPolicy.ReportMode;
import badgermux.decide.DispatchPolicy.Request;
import badgermux.decide.DispatchPolicy.RequestClass;
import badgermux.decide.DispatchPolicy.Tenant;
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

/** How requests are placed, and one test for each failure that a rule of the policy prevents. */
class DefaultDispatchPolicyTest {
    private final PolicyFixture fixture = new PolicyFixture();

    /** Lets the policy probe backends for their reports. */
    private PolicyFixture probing() {
        fixture.settings.reportMode = ReportMode.ON_PROBE;
        fixture.settings.mayProbe = true;
        return fixture;
    }

    /**
     * Makes run times known, 4 s each so that reports stay valid for a while, and reports these free slots of backends 1 to n.
     */
    private void learnRunsAndReport(double... free) {
        for (int i = 0; i < 4; i++) {
            fixture.serve(PAY, 4 * SECOND, null);
        }
        report(free);
    }

    /** Reports these free slots of backends 1 to n. */
    private void report(double... free) {
        for (int i = 0; i < free.length; i++) {
            fixture.answerProbe(i + 1, free[i]);
        }
    }

    // ---- Handover to the next process

    @Test void learnedStateIsTakenOverUnlessItsSizeDiffers() {
        fixture.start(fleet(6));
        learnRunsAndReport(4, 6);
        LearnedState exported = fixture.policy.exportLearnedState();
        PolicyFixture next = new PolicyFixture();
        next.start(fleet(6));
        next.policy.importLearnedState(new LearnedState(new double[exported.statistics().length - 1], List.of()));
        assertEquals(0, next.policy.exportLearnedState().statistics()[0]);
        next.policy.importLearnedState(exported);
        assertArrayEquals(exported.statistics(), next.policy.exportLearnedState().statistics());
        assertTrue(Arrays.stream(exported.statistics()).anyMatch(x -> Math.abs(x - 4 * SECOND) < SECOND), "mean run time");
    }

    /** A process that did not know the earlier sends would spend a cold backend's budget a second time. */
    @Test void nextProcessContinuesTheBudgetOfColdBackends() {
        fixture.start(fleet(1));
        for (int i = 0; i < 4; i++) {
            fixture.serve(PAY, 200 * MS, null);
        }
        fixture.advance(2 * SECOND);
        fixture.listBackends(ListUpdate.FULL, backend(1, BackendState.READY, fixture.actions.now - SECOND));
        int before = fixture.actions.sends.size();
        for (int i = 0; i < 20; i++) {
            fixture.request(PAY);
        }
        int sent = fixture.actions.sends.size() - before;
        assertTrue(sent > 0 && sent < 20, "the budget allows some: " + sent);
        LearnedState exported = fixture.policy.exportLearnedState();
        assertEquals(sent, exported.recentSends().size());
        for (boolean spent : new boolean[] {true, false}) {
            PolicyFixture next = new PolicyFixture();
            next.actions.now = fixture.actions.now;
            next.start(backend(1, BackendState.READY, fixture.actions.now - SECOND));
            next.request(PAY);
            assertEquals(0, next.actions.sends.size(), "earlier sends are not known");
            next.policy.importLearnedState(spent ? exported : new LearnedState(exported.statistics(), List.of()));
            next.request(PAY);
            assertEquals(spent, next.actions.sends.isEmpty());
        }
    }

    /** A cached list may lack a backend that was sent work. Its sends would be forgotten if they were kept by list entry. */
    @Test void nextProcessKnowsSendsToAColdBackendListedLater() {
        fixture.start(fleet(1));
        for (int i = 0; i < 4; i++) {
            fixture.serve(PAY, 200 * MS, null);
        }
        fixture.advance(2 * SECOND);
        Backend cold = backend(1, BackendState.READY, fixture.actions.now - SECOND);
        fixture.listBackends(ListUpdate.FULL, cold);
        for (int i = 0; i < 20; i++) {
            fixture.request(PAY);
        }
        LearnedState exported = fixture.policy.exportLearnedState();
        for (boolean spent : new boolean[] {true, false}) {
            PolicyFixture next = new PolicyFixture();
            next.actions.now = fixture.actions.now;
            next.start();
            next.policy.importLearnedState(spent ? exported : new LearnedState(exported.statistics(), List.of()));
            next.listBackends(ListUpdate.FULL, cold);
            next.request(PAY);
            assertEquals(spent, next.actions.sends.isEmpty());
        }
    }

    @Test void drainingBackendIsAvoidedAndKeepsNoIdleConnection() {
        probing().start(fleet(3));
        assertFalse(fixture.policy.isAvoided(1));
        fixture.listBackends(ListUpdate.DELTA, backend(1, BackendState.DRAINING, 0));
        assertTrue(fixture.policy.isAvoided(1));
        assertTrue(fixture.policy.isAvoided(99), "unknown backend");
        int closed = fixture.actions.closedIdle.size();
        fixture.answerProbe(1, 4);
        assertEquals(closed + 1, fixture.actions.closedIdle.size(), "connection of the probe");
    }

    // ---- Placement

    @Test void requestGoesToTheLeastLoadedBackendOfTheLessLoadedGroup() {
        fixture.start(fleet(6));
        learnRunsAndReport(4, 6, 4, 8, 0, 0);
        fixture.request(PAY);
        assertEquals(2, fixture.actions.lastSend().backendId(),
            "backends 1 to 3 have the most free slots in all, backend 4 has the most alone");
    }

    @Test void ownZoneBreaksTiesWithinAGroup() {
        fixture.start(new Backend(1, 1, 0, 0, BackendState.READY, 0), new Backend(2, 0, 0, 0, BackendState.READY, 0),
            new Backend(3, 1, 0, 0, BackendState.READY, 0));
        learnRunsAndReport(6, 6, 6);
        fixture.request(PAY);
        assertEquals(2, fixture.actions.lastSend().backendId());
        fixture.request(PAY);
        assertNotEquals(2, fixture.actions.lastSend().backendId(), "it has an attempt now");
    }

    @Test void loadOfAShortGroupIsScaledToFullSize() {
        fixture.start(fleet(4));
        learnRunsAndReport(2, 2, 2, 3);
        fixture.request(PAY);
        assertEquals(4, fixture.actions.lastSend().backendId());
    }

    @Test void ownAttemptsCountAsLoadUntilTheyEnd() {
        fixture.start(fleet(2));
        learnRunsAndReport(2, 2);
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 2; i++) {
            fixture.request(PAY);
            used.add(fixture.actions.lastSend().backendId());
        }
        assertEquals(Set.of(1L, 2L), used);
        long freed = fixture.actions.lastSend().backendId();
        fixture.endAttempt(fixture.actions.lastSend().requestId(), 0, Outcome.SERVED);
        fixture.request(PAY);
        assertEquals(freed, fixture.actions.lastSend().backendId());
    }

    @Test void goneBackendKeepsItsPlaceInItsGroup() {
        fixture.start(fleet(6));
        learnRunsAndReport(1, 1, 1, 1, 1, 1);
        fixture.listBackends(ListUpdate.DELTA, backend(1, BackendState.GONE, 0));
        report(0, 4, 2, 6, 0, 0);
        fixture.request(PAY);
        assertEquals(2, fixture.actions.lastSend().backendId(), "backends 2 and 3 have 3 free slots each, 4 to 6 have 2 each");
    }

    @Test void classRunsOnItsAllowedKindOnly() {
        fixture.settings.classes.set(PAY, PolicyFixture.requestClass("pay", Effect.ONCE, DedupScope.ALL, 1));
        fixture.start(new Backend(1, 0, 0, 0, BackendState.READY, 0), new Backend(2, 0, 1, 0, BackendState.READY, 0));
        for (int i = 0; i < 10; i++) {
            fixture.request(PAY);
            assertEquals(2, fixture.actions.lastSend().backendId());
        }
    }

    @Test void drawnBackendsWithOldReportsAreProbedOnceAtATime() {
        probing().start(fleet(2));
        fixture.request(PAY);
        fixture.request(PAY);
        assertEquals(List.of(1L, 2L), fixture.actions.probed);
        report(2, 2);
        fixture.advance(10 * SECOND);
        fixture.request(PAY);
        assertEquals(List.of(1L, 2L, 1L, 2L), fixture.actions.probed);
    }

    @Test void idleConnectionsAreClosedOnceWhenABackendDrainsAndLeaves() {
        fixture.start(fleet(3));
        fixture.listBackends(ListUpdate.DELTA, backend(2, BackendState.DRAINING, 0));
        fixture.listBackends(ListUpdate.DELTA, backend(2, BackendState.GONE, 0), backend(3, BackendState.READY, 0));
        assertEquals(List.of(2L), fixture.actions.closedIdle);
    }

    @Test void equalEventsLeadToEqualActions() {
        PolicyFixture other = new PolicyFixture();
        for (PolicyFixture each : List.of(fixture, other)) {
            each.start(fleet(9));
            for (int i = 0; i < 200; i++) {
                long request = each.request(i % 3);
                each.advance((i % 7) * 10 * MS);
                each.endAttempt(request, 0, Outcome.values()[i % 8], i % 2 == 0 ? PolicyFixture.reportOfFreeSlots(i % 4) : null);
            }
        }
        assertEquals(fixture.actions.descriptions, other.actions.descriptions);
    }

    // ---- Failures and overload

    /** If reports stayed valid, a backend that reported no free slot would get no request, and so never report again. */
    @Test void backendThatReportedFullIsUsedAgain() {
        fixture.start(fleet(2));
        learnRunsAndReport(0, 4);
        fixture.advance(30 * SECOND);
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 6; i++) {
            fixture.request(PAY);
            used.add(fixture.actions.lastSend().backendId());
        }
        assertEquals(Set.of(1L, 2L), used);
    }

    /** Draining backends reject requests long before the list shows that they drain. */
    @Test void backendThatRejectsARequestIsEjectedAndTestedLater() {
        fixture.start(fleet(2));
        learnRunsAndReport(2, 2);
        long request = fixture.request(PAY);
        long rejecting = fixture.actions.lastSend().backendId();
        fixture.endAttempt(request, 0, Outcome.REJECTED);
        for (int i = 0; i < 3; i++) {
            fixture.request(PAY);
            assertNotEquals(rejecting, fixture.actions.lastSend().backendId());
            fixture.endAttempt(request + 1 + i, 0, Outcome.SERVED);
        }
        fixture.advance(SECOND);
        report(rejecting == 1 ? 2 : 0, rejecting == 2 ? 2 : 0);
        fixture.request(PAY);
        assertEquals(rejecting, fixture.actions.lastSend().backendId(), "test after the ejection");
    }

    /** A backend that fails every request at once has the most free slots and would attract all requests. */
    @Test void backendThatFailsStartedRequestsIsEjected() {
        fixture.start(fleet(1));
        long request = fixture.request(PAY);
        fixture.policy.attemptStarted(fixture.actions.now, request, 0);
        assertEquals(List.of(), fixture.actions.logged);
        fixture.endAttempt(request, 0, Outcome.ERROR);
        assertEquals(List.of("backend 1 ejected: ERROR"), fixture.actions.logged);
    }

    @ParameterizedTest @EnumSource(Outcome.class)
    void onCallPageQuotesTheLogLines(Outcome outcome) throws IOException {
        fixture.start(fleet(1));
        fixture.endAttempt(fixture.request(PAY), 0, outcome);
        String page = Files.readString(Path.of("docs", "on-call.md"));
        String line = "ejected: " + outcome;
        assertEquals(page.contains("`" + line + "`"), fixture.actions.logged.contains("backend 1 " + line), line);
        assertTrue(page.contains("`backend ID ejected: WHY`") && page.contains("`backend ID is back in use`"), page);
    }

    @Test void requestIsSentThoughAllBackendsAreEjected() {
        fixture.start(fleet(2));
        for (int i = 0; i < 2; i++) {
            fixture.endAttempt(fixture.request(PAY), 0, Outcome.CONNECT_FAILED);
        }
        int before = fixture.actions.sends.size();
        fixture.request(RENDER);
        assertEquals(before + 1, fixture.actions.sends.size());
    }

    @Test void ejectionGrowsWithFailuresAndEndsWithASuccess() {
        fixture.start(fleet(1));
        for (int i = 0; i < 3; i++) {
            fixture.endAttempt(fixture.request(PAY), 0, Outcome.CONNECT_FAILED);
            fixture.advance(5 * SECOND);
        }
        fixture.endAttempt(fixture.request(PAY), 0, Outcome.SERVED);
        assertTrue(fixture.actions.logged.get(0).endsWith("ejected: CONNECT_FAILED"), fixture.actions.logged::toString);
        assertTrue(fixture.actions.logged.get(fixture.actions.logged.size() - 1).endsWith("is back in use"),
            fixture.actions.logged::toString);
    }

    /** A stalled backend keeps a started request and sends no progress reports. */
    @Test void requestIsHedgedWhenProgressReportsStop() {
        fixture.start(fleet(4));
        fixture.serve(RENDER, SECOND, null);
        learnRunsAndReport(2, 2, 2, 2);
        long request = fixture.request(RENDER);
        fixture.policy.attemptStarted(fixture.actions.now, request, 0);
        fixture.advance(2 * SECOND);
        assertEquals(1, fixture.sendCount(request), "one missing report is not enough");
        fixture.advance(2 * SECOND);
        assertTrue(fixture.sendCount(request) > 1);
    }

    @Test void firstAttemptToStartCancelsTheOneThatWaits() {
        fixture.settings.reportMode = ReportMode.NEVER;
        fixture.start(fleet(4));
        long request = fixture.request(RENDER);
        fixture.advance(50 * MS);
        fixture.policy.attemptStarted(fixture.actions.now, request, 1);
        assertEquals(List.of(request + "/0"), fixture.actions.cancelled);
    }

    /** A request that has not started sends no progress reports either; it must not be hedged for that. */
    @Test void waitingRequestIsNotHedgedWhereReportsComeInResponses() {
        fixture.settings.progressIntervalMicros = 2 * SECOND;
        fixture.start(fleet(4));
        learnRunsAndReport(2, 2, 2, 2);
        long request = fixture.request(RENDER);
        fixture.advance(SECOND);
        assertEquals(1, fixture.sendCount(request));
        assertEquals(0, fixture.actions.cancelled.size());
    }

    @Test void atMostThreeAttemptsOfARequestWaitAtOnce() {
        fixture.settings.reportMode = ReportMode.NEVER;
        makeLateAnswersEarnHalf();
        fixture.start(fleet(40));
        long request = fixture.request(RENDER);
        fixture.advance(700 * MS);
        assertEquals(3, fixture.sendCount(request));
        fixture.endAttempt(request, 0, Outcome.REJECTED);
        fixture.advance(700 * MS);
        assertEquals(4, fixture.sendCount(request), "one has ended");
    }

    /** In a large fleet nearly every report is too old to place a request by, so it waits for new ones. */
    @Test void requestWaitsForTheReportsOfItsDrawnBackends() {
        startProbing(2);
        fixture.request(PAY);
        assertEquals(0, fixture.actions.sends.size());
        fixture.answerProbe(1, 0);
        fixture.answerProbe(2, 2);
        assertEquals(2, fixture.actions.lastSend().backendId());
    }

    @Test void unresponsiveBackendIsNotUsedUntilItAnswersAProbe() {
        startProbing(2);
        fixture.request(PAY);
        fixture.answerProbe(1, 2);
        fixture.advance(75 * MS);
        assertEquals(1, fixture.actions.lastSend().backendId(), "reports are awaited for a quarter of the target time");
        for (int i = 0; i < 5; i++) {
            fixture.request(PAY);
            assertEquals(1, fixture.actions.lastSend().backendId());
        }
        fixture.policy.probeEnded(fixture.actions.now, 2, false, null);
        fixture.advance(SECOND);
        fixture.request(PAY);
        assertEquals(4, fixture.actions.probed.size(), "it is probed again");
        fixture.answerProbe(1, -1);
        fixture.answerProbe(2, 9);
        fixture.request(PAY);
        assertEquals(2, fixture.actions.lastSend().backendId());
    }

    @Test void unresponsiveBackendsAreUsedIfThereIsNoOther() {
        startProbing(2);
        fixture.request(PAY);
        fixture.advance(80 * MS);
        assertEquals(1, fixture.actions.sends.size(), "no backend is worse than the others");
    }

    /** Hedged attempts that go where the queue merely seems shorter fill the fleet where cancelled attempts run on. */
    @Test void hedgedAttemptNeedsAReportOfAFreeSlot() {
        startProbing(2);
        long request = fixture.request(RENDER);
        fixture.answerProbe(1, 1);
        fixture.answerProbe(2, 0);
        assertEquals(1, fixture.actions.lastSend().backendId());
        advanceWithReports(200, 0, 0);
        assertEquals(1, fixture.sendCount(request), "it does not start, and the other backend is full");
        advanceWithReports(100, 0, 1);
        assertEquals(2, fixture.sendCount(request));
        assertEquals(2, fixture.actions.lastSend().backendId());
    }

    /** A report without a free slot does not show the queue; requests must not be sent there as if it were empty. */
    @Test void fullBackendIsTakenToHaveOneMoreRequestWaiting() {
        startProbing(1);
        for (int classIndex : new int[] {RENDER, PolicyFixture.SAVE, PAY}) {
            long first = fixture.request(classIndex);
            fixture.answerProbe(1, 4);
            fixture.policy.attemptStarted(fixture.actions.now, first, 0);
            advanceWithReports(800, 4);
            fixture.endAttempt(first, 0, Outcome.SERVED);
        }
        advanceWithReports(1_000, 0);
        long request = fixture.request(RENDER);
        fixture.answerProbe(1, 0);
        assertEquals(0, fixture.sendCount(request), "two quarters of 800 ms are more than half of its slack, one quarter is not");
        advanceWithReports(100, 1);
        assertEquals(1, fixture.sendCount(request));
    }

    /** Clients of a dispatcher that died retry here; a request that had run there for long has more slack than most. */
    @Test void lateClientRetryIsSentOnceIfASlotIsFree() {
        startProbing(1);
        fixture.advance(10 * SECOND);
        long first = fixture.request(RENDER);
        fixture.answerProbe(1, 2);
        fixture.policy.attemptStarted(fixture.actions.now, first, 0);
        advanceWithReports(100, 2);
        fixture.endAttempt(first, 0, Outcome.SERVED);
        long request = fixture.request(RENDER, 3 * SECOND);
        fixture.answerProbe(1, 2);
        assertEquals(1, fixture.sendCount(request), "it has waited 2 s elsewhere");
        advanceWithReports(1_000, 0);
        long other = fixture.request(RENDER, 3 * SECOND);
        fixture.answerProbe(1, 0);
        assertEquals(0, fixture.sendCount(other));
        assertTrue(fixture.actions.refused.contains(other), "it is not held either");
    }

    /** Lets time pass while backends 1 to n report these free slots every 10 ms. */
    private void advanceWithReports(int ms, double... free) {
        for (int t = 0; t < ms; t += 10) {
            fixture.advance(10 * MS);
            for (int i = 0; i < free.length; i++) {
                fixture.answerProbe(i + 1, free[i]);
            }
        }
    }

    /** Starts with a number of backends that are probed for their reports. */
    private void startProbing(int backends) {
        fixture.settings.mayProbe = true;
        fixture.settings.reportMode = ReportMode.ON_PROBE;
        fixture.start(fleet(backends));
    }

    /** A busy dispatcher that assumes an even share of the slots would hold the requests beyond it. */
    @Test void busyDispatcherLearnsItsLargeTrafficShare() {
        fixture.settings.dispatcherCount = 20;
        fixture.start(fleet(4));
        learnRunsAndReport(2, 2, 2, 2);
        for (int i = 0; i < 200; i++) {
            report(1, 1, 1, 1);
            fixture.serve(PAY, 100 * MS, null);
        }
        int sent = fixture.actions.sends.size();
        for (int i = 0; i < 3; i++) {
            fixture.request(PAY);
        }
        assertEquals(sent + 3, fixture.actions.sends.size(), "an even share is less than half a slot");
    }

    /** Otherwise long requests take each free slot, and short ones, which earn more per slot, are refused. */
    @Test void heldRequestsAreSentInOrderOfWorthPerSlotTime() {
        fixture.start(fleet(1));
        for (int i = 0; i < 4; i++) {
            fixture.serve(RENDER, 100 * MS, null);
            fixture.serve(PAY, 2 * SECOND, null);
        }
        fixture.answerProbe(1, 2);
        LoadReport full = PolicyFixture.reportOfFreeSlots(0);
        full.queued = 20;
        for (int i = 0; i < 60; i++) {
            fixture.policy.probeEnded(fixture.actions.now, 1, true, full);
        }
        int sent = fixture.actions.sends.size();
        long pay = fixture.request(PAY), render = fixture.request(RENDER);
        assertEquals(sent, fixture.actions.sends.size(), "no slot is free");
        fixture.answerProbe(1, 30);
        fixture.advance(200 * MS);
        assertEquals(List.of(render, pay),
            fixture.actions.sends.stream().skip(sent).map(RecordingActions.Send::requestId).toList());
    }

    /** Otherwise a tenant far over its quota crowds out one that is within its own. */
    @Test void requestsOverTheirTenantsQuotaWait() {
        fixture.settings.tenants.add(new Tenant("large", 4));
        fixture.settings.tenants.add(new Tenant("small", 4));
        fixture.settings.overQuotaWorthShare = 0.05;
        fixture.settings.dispatcherCount = 1;
        fixture.start(fleet(1));
        learnRunsAndReport(2);
        fixture.advance(5 * SECOND);
        fixture.answerProbe(1, 0);
        int sent = fixture.actions.sends.size();
        for (int i = 0; i < 30; i++) {
            fixture.request(new Request(fixture.nextRequestId(), RENDER, 0, 1, 0, 5 * SECOND));
        }
        long small = fixture.request(new Request(fixture.nextRequestId(), RENDER, 1, 1, 0, 5 * SECOND));
        assertEquals(sent, fixture.actions.sends.size(), "no slot is free");
        fixture.answerProbe(1, 60);
        fixture.advance(200 * MS);
        List<Long> order = fixture.actions.sends.stream().skip(sent).map(RecordingActions.Send::requestId).toList();
        assertTrue(order.indexOf(small) >= 1 && order.indexOf(small) <= 10, "after the ten requests of the quota: " + order);
        assertEquals(31, order.size(), "nothing is refused while slots are free");
    }

    /**
     * A dispatcher that sheds more uses fewer slots. If its traffic share were learned meanwhile, one of four dispatchers would
     * get 0.6 of every quota and the others a tenth each.
     */
    @Test void shareOfAQuotaDoesNotShrinkWhileRequestsAreHeld() {
        fixture.settings.tenants.add(new Tenant("shared", 4));
        fixture.settings.tenants.add(new Tenant("unlimited", 0));
        fixture.settings.overQuotaWorthShare = 0.05;
        fixture.settings.dispatcherCount = 1;
        fixture.settings.classes.add(new RequestClass("cheap", Effect.REPEATABLE, DedupScope.ALL, 300 * MS,
            1.5, 5 * SECOND, 3 * SECOND, 0.5, 0, -1, false));
        fixture.start(fleet(1));
        learnRunsAndReport(2);
        LoadReport full = PolicyFixture.reportOfFreeSlots(0);
        full.inFlight = 12;
        for (int i = 0; i < 300; i++) {
            fixture.policy.probeEnded(fixture.actions.now, 1, true, full);
            if (i % 5 == 0) {
                fixture.request(new Request(fixture.nextRequestId(), RENDER, 1, 1, 0, 5 * SECOND));
            }
            fixture.advance(20 * MS);
        }
        int sent = fixture.actions.sends.size();
        long cheap = fixture.request(new Request(fixture.nextRequestId(), 3, 1, 1, 0, 5 * SECOND));
        for (int i = 0; i < 6; i++) {
            fixture.request(new Request(fixture.nextRequestId(), RENDER, 0, 1, 0, 5 * SECOND));
        }
        fixture.advance(150 * MS);
        assertEquals(sent, fixture.actions.sends.size(), "no slot is free");
        fixture.answerProbe(1, 60);
        fixture.advance(100 * MS);
        int rank = fixture.actions.sends.stream().skip(sent).map(RecordingActions.Send::requestId).toList().indexOf(cheap);
        assertTrue(rank >= 6, "all six requests within the quota go before it: " + rank);
    }

    /** Otherwise requests with a long target time queue for seconds, and all with a short one behind them are late. */
    @Test void requestQueuesNoLongerThanATighterClassCouldWaitBehindIt() {
        fixture.settings.dispatcherCount = 1;
        fixture.settings.classes.add(new RequestClass("wide", Effect.REPEATABLE, DedupScope.ALL, 60 * SECOND,
            1, 90 * SECOND, 3 * SECOND, 1, 0, -1, false));
        fixture.start(fleet(1));
        learnRunsAndReport(4);
        int sent = fixture.actions.sends.size();
        for (int i = 0; i < 20; i++) {
            fixture.request(new Request(fixture.nextRequestId(), 3, 0, 1, 0, 90 * SECOND));
        }
        int slots = 4;
        assertTrue(fixture.actions.sends.size() - sent <= slots + 1,
            "a queue of one request of 4 s at 4 slots is too long already");
    }

    /** With equal loads in old reports, hundreds of dispatchers would all choose the first backend. */
    @Test void nearlyEqualBackendsShareTheRequestsOfManyDispatchers() {
        fixture.settings.dispatcherCount = 100;
        fixture.settings.mayProbe = true;
        fixture.settings.reportMode = ReportMode.ON_PROBE;
        fixture.start(fleet(3));
        learnRunsAndReport(4, 4, 3);
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 30; i++) {
            fixture.endAttempt(fixture.request(PAY), 0, Outcome.SERVED);
            used.add(fixture.actions.lastSend().backendId());
        }
        assertEquals(Set.of(1L, 2L, 3L), used);
    }

    @Test void ownZoneBreaksTiesBetweenGroups() {
        fixture.settings.ownZone = 1;
        fixture.start(backend(1, BackendState.READY, 0), backend(2, BackendState.READY, 0), backend(5, BackendState.READY, 0));
        learnRunsAndReport(4, 4, 4);
        fixture.policy.probeEnded(fixture.actions.now, 5, true, PolicyFixture.reportOfFreeSlots(4));
        fixture.request(PAY);
        assertEquals(5, fixture.actions.lastSend().backendId());
    }

    /** In a large fleet, seven requests in eight open a connection if each goes to another backend. */
    @Test void idleConnectionBreaksTies() {
        fixture.settings.idleTimeoutMicros = 10 * SECOND;
        fixture.settings.ownZone = 2;
        fixture.start(fleet(3));
        learnRunsAndReport(6, 6, 6);
        long used = 0;
        for (int i = 0; i < 30; i++) {
            fixture.endAttempt(fixture.request(PAY), 0, Outcome.SERVED);
            assertTrue(used == 0 || used == fixture.actions.lastSend().backendId(),
                "there is an idle connection to backend " + used);
            used = fixture.actions.lastSend().backendId();
        }
        fixture.request(PAY);
        fixture.request(PAY);
        assertNotEquals(used, fixture.actions.lastSend().backendId(), "its connection is in use");
    }

    /** Group loads that differ by a slot mean nothing where hundreds of dispatchers send between two reports. */
    @Test void nearlyEqualGroupsTieWithManyDispatchers() {
        Set<Long> few = new HashSet<>(), many = new HashSet<>();
        for (int dispatchers : new int[] {4, 200}) {
            PolicyFixture each = new PolicyFixture();
            each.settings.dispatcherCount = dispatchers;
            each.settings.mayProbe = true;
            each.settings.reportMode = ReportMode.ON_PROBE;
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

    /** Each of a group's three reports is off by about a request, so closer group loads count as equal. */
    @Test void ownZoneDecidesBetweenNearlyEqualGroups() {
        for (double free : new double[] {5.8, 4.5}) {
            Set<Long> groups = new HashSet<>();
            PolicyFixture each = new PolicyFixture();
            each.settings.ownZone = 1;
            each.settings.mayProbe = true;
            each.settings.reportMode = ReportMode.ON_PROBE;
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

    /** When the whole fleet has a backlog, late reports still show free slots, and dispatchers would keep filling the queues. */
    @Test void sendingStopsWhileOutstandingAttemptsDoNotStart() {
        fixture.settings.dispatcherCount = 4;
        fixture.start(fleet(2));
        learnRunsAndReport(4, 4);
        int sent = fixture.actions.sends.size();
        long first = fixture.request(PAY);
        for (int i = 0; i < 20; i++) {
            fixture.advance(450 * MS);
            report(4, 4);
            fixture.request(PAY);
        }
        int out = fixture.actions.sends.size() - sent;
        assertTrue(out >= 2 && out <= 4, "a single one may wait by chance: " + out);
        for (int i = 0; i < 21; i++) {
            fixture.policy.attemptStarted(fixture.actions.now, first + i, 0);
        }
        assertEquals(1, fixture.sendCount(fixture.request(PAY)), "they have started");
    }

    /** Otherwise each rejected request goes straight on to the next full backend, up to its last attempt. */
    @Test void rejectedRequestsStopSendingToo() {
        fixture.start(fleet(40));
        learnRunsAndReport();
        for (int i = 0; i < 9; i++) {
            long request = fixture.request(RENDER);
            for (int attempt = 0; attempt < fixture.sendCount(request); attempt++) {
                fixture.endAttempt(request, attempt, Outcome.REJECTED);
            }
            fixture.request(PAY);
        }
        assertTrue(fixture.actions.sends.size() < 9 * 5, "sent " + fixture.actions.sends.size());
    }

    /** Otherwise all dispatchers stop until long after the queue has gone, and resume at the same time. */
    @Test void longReportedQueueDoesNotBlockABackendForLong() {
        fixture.settings.classes.clear();
        fixture.settings.classes.add(new RequestClass("wide", Effect.REPEATABLE, DedupScope.ALL, 10 * SECOND,
            1, 90 * SECOND, 3 * SECOND, 1, 0, -1, false));
        fixture.settings.dispatcherCount = 1;
        fixture.start(fleet(1));
        for (int i = 0; i < 4; i++) {
            long request = fixture.request(0, 90 * SECOND);
            fixture.policy.attemptStarted(fixture.actions.now, request, 0);
            fixture.advance(4 * SECOND);
            fixture.endAttempt(request, 0, Outcome.SERVED, PolicyFixture.reportOfFreeSlots(4));
        }
        LoadReport full = PolicyFixture.reportOfFreeSlots(0);
        full.inFlight = 100;
        fixture.policy.probeEnded(fixture.actions.now, 1, true, full);
        assertEquals(0, fixture.sendCount(fixture.request(0, 90 * SECOND)));
        fixture.advance(16 * SECOND);
        assertEquals(1, fixture.sendCount(fixture.request(0, 90 * SECOND)), "four mean runs later the queue has nearly gone");
    }

    /** After a loss of backends, a quarter of all answers came from requests that were late before they started. */
    @Test void repeatableRequestThatWaitsPastItsSlackIsDropped() {
        fixture.start(fleet(1));
        fixture.serve(RENDER, MS, null);
        learnRunsAndReport(3);
        fixture.settings.maxAttempts = 1;
        long waits = fixture.request(RENDER), runs = fixture.request(RENDER), once = fixture.request(PAY);
        fixture.policy.attemptStarted(fixture.actions.now, runs, 0);
        fixture.advance(200 * MS);
        assertEquals(List.of(), fixture.actions.refused, "its slack is 0.3 s");
        fixture.advance(200 * MS);
        assertEquals(List.of(waits), fixture.actions.refused);
        assertEquals(List.of(waits + "/0"), fixture.actions.cancelled);
        assertEquals(1, fixture.sendCount(once), "it may have run");
    }

    private void makeLateAnswersEarnHalf() {
        fixture.settings.classes.set(RENDER, new RequestClass("patient", Effect.REPEATABLE, DedupScope.ALL,
            300 * MS, 1.5, 5 * SECOND, 3 * SECOND, 1, 0.5, -1, false));
    }

    @Test void requestWhoseLateAnswerEarnsMuchKeepsWaiting() {
        makeLateAnswersEarnHalf();
        fixture.start(fleet(1));
        learnRunsAndReport(2);
        fixture.request(RENDER);
        fixture.advance(2 * SECOND);
        assertEquals(List.of(), fixture.actions.refused);
    }

    /** A request held for most of its slack ends late if it may queue as long as one that has just arrived. */
    @Test void heldRequestMayQueueForTheRestOfItsSlackOnly() {
        fixture.settings.dispatcherCount = 1;
        fixture.settings.classes.subList(1, 3).clear();
        fixture.start(fleet(1));
        for (int i = 0; i < 4; i++) {
            fixture.serve(RENDER, 200 * MS, PolicyFixture.reportOfFreeSlots(10));
        }
        LoadReport full = PolicyFixture.reportOfFreeSlots(0);
        full.queued = 200;
        for (int i = 0; i < 60; i++) {
            fixture.policy.probeEnded(fixture.actions.now, 1, true, full);
        }
        long held = fixture.request(RENDER);
        fixture.advance(390 * MS);
        fixture.answerProbe(1, 0);
        fixture.listBackends(ListUpdate.DELTA);
        assertEquals(0, fixture.sendCount(held), "10 ms of its slack are left");
        assertEquals(1, fixture.sendCount(fixture.request(RENDER)), "it has all of its slack");
    }

    /** Under overload, the oldest held requests would take each free slot and end late one after the other. */
    @Test void heldRequestWithTheMostSlackIsSentFirstAtEqualWorth() {
        makeLateAnswersEarnHalf();
        fixture.settings.dispatcherCount = 1;
        fixture.start(fleet(1));
        learnRunsAndReport(2);
        LoadReport full = PolicyFixture.reportOfFreeSlots(0);
        full.queued = 40;
        fixture.policy.probeEnded(fixture.actions.now, 1, true, full);
        int sent = fixture.actions.sends.size();
        long older = fixture.request(RENDER);
        fixture.advance(150 * MS);
        long newer = fixture.request(RENDER);
        fixture.advance(100 * MS);
        assertEquals(sent, fixture.actions.sends.size(), "no slot is free");
        fixture.answerProbe(1, 30);
        fixture.advance(200 * MS);
        assertEquals(List.of(newer, older),
            fixture.actions.sends.stream().skip(sent).map(RecordingActions.Send::requestId).toList());
    }

    /** Otherwise client retries that are past their target time take the slots of requests that are still in time. */
    @Test void retryPastItsTargetTimeIsNotSentWhereLateAnswersEarnNothing() {
        fixture.start(fleet(2));
        learnRunsAndReport(2, 2);
        fixture.request(PAY);
        long retry = fixture.request(PAY, 2 * SECOND);
        assertEquals(0, fixture.sendCount(retry));
        assertEquals(List.of(retry), fixture.actions.refused);
    }

    // ---- The backend list

    @Test void pausesBetweenFailedWatchesAreShortAgainAfterAList() {
        fixture.settings.listPushed = false;
        fixture.start(fleet(1));
        for (int i = 0; i < 5; i++) {
            fixture.listBackends(ListUpdate.FAILED);
            fixture.actions.advance(fixture.policy, fixture.actions.now + 4 * SECOND);
        }
        fixture.listBackends(ListUpdate.DELTA);
        fixture.listBackends(ListUpdate.FAILED);
        int before = fixture.actions.watchCount;
        fixture.actions.advance(fixture.policy, fixture.actions.now + 3 * SECOND / 4);
        assertEquals(before + 1, fixture.actions.watchCount);
    }

    @Test void failedWatchIsRepeatedAfterAPauseWithinItsLimit() {
        fixture.settings.listPushed = false;
        fixture.settings.maxWatchIntervalMicros = 4 * SECOND;
        fixture.start(fleet(1));
        assertEquals(1, fixture.actions.watchCount);
        fixture.listBackends(ListUpdate.FAILED);
        assertEquals(1, fixture.actions.watchCount, "not at once");
        for (int i = 2; i <= 6; i++) {
            fixture.advance(2 * SECOND);
            assertEquals(i, fixture.actions.watchCount);
            fixture.listBackends(ListUpdate.FAILED);
        }
    }

    @Test void pushedListIsNeverWatched() {
        fixture.start(fleet(1));
        fixture.listBackends(ListUpdate.FAILED);
        fixture.advance(20 * SECOND);
        assertEquals(0, fixture.actions.watchCount);
    }

    @Test void flappingListLosesNoRequestAndNothingIsSentToGoneBackends() {
        fixture.start(fleet(3));
        for (int i = 0; i < 40; i++) {
            boolean there = i % 2 == 1;
            fixture.listBackends(ListUpdate.FULL, there ? fleet(3) : new Backend[0]);
            int sent = fixture.actions.sends.size();
            fixture.request(PAY);
            fixture.advance(50 * MS);
            assertEquals(there, fixture.actions.sends.size() > sent);
            assertFalse(fixture.actions.refused.size() + fixture.actions.failed.size() > i + 1);
        }
    }

    // ---- Several tenants, lost connections and unfit requests

    /** Requests over quota would fill slots whose use is not yet reported, and those within a quota would be rejected. */
    @Test void requestsOverQuotaLeaveReserveSlotsWhereReportsAreOld() {
        for (double quota : new double[] {0, 0.001}) {
            PolicyFixture each = new PolicyFixture();
            each.settings.dispatcherCount = 100;
            each.settings.tenants.add(new Tenant("one", quota));
            each.start(fleet(3));
            for (int i = 0; i < 8; i++) {
                each.serve(PAY, SECOND, PolicyFixture.reportOfFreeSlots(1.5));
            }
            for (int w = 1; w <= 3; w++) {
                each.answerProbe(w, 1.5);
            }
            each.advance(3 * SECOND);
            long request = each.request(PAY);
            assertEquals(quota == 0 ? 1 : 0, each.sendCount(request), "quota " + quota);
        }
    }

    /** Otherwise the first requests of small tenants after each start count as over their quota. */
    @Test void tenantStartsWithSomeCredit() {
        fixture.settings.dispatcherCount = 100;
        fixture.settings.overQuotaWorthShare = 0.05;
        fixture.settings.tenants.add(new Tenant("small", 10));
        fixture.start(fleet(3));
        fixture.serve(RENDER, 300 * MS, PolicyFixture.reportOfFreeSlots(1));
        for (int w = 1; w <= 3; w++) {
            fixture.answerProbe(w, 0.6);
        }
        fixture.advance(SECOND);
        long request = fixture.request(RENDER);
        assertEquals(1, fixture.sendCount(request));
    }

    /** Idle connections may be dropped without notice. The reset on their next use says nothing about the backend. */
    @Test void resetOfAnIdleConnectionEjectsNoBackendAndOlderOnesAreClosedBeforeUse() {
        fixture.settings.idleTimeoutMicros = 30 * SECOND;
        fixture.start(fleet(1));
        fixture.serve(RENDER, 100 * MS, null);
        fixture.advance(4 * SECOND);
        long request = fixture.request(RENDER);
        fixture.advance(5 * MS);
        fixture.endAttempt(request, 0, Outcome.RESET);
        fixture.endAttempt(request, 1, Outcome.SERVED);
        assertEquals(List.of(), fixture.actions.logged);
        assertEquals(List.of(1L), fixture.actions.closedIdle, "before its next attempt");
        fixture.serve(RENDER, 100 * MS, null);
        fixture.advance(SECOND);
        fixture.request(RENDER);
        assertEquals(List.of(1L), fixture.actions.closedIdle, "1 s is less than half of the idle time of the lost one");
        fixture.endAttempt(fixture.nextRequestId() - 1, 0, Outcome.SERVED);
        fixture.advance(5 * SECOND);
        fixture.request(RENDER);
        assertEquals(List.of(1L, 1L), fixture.actions.closedIdle);
    }

    @Test void resetDuringARunEjectsTheBackend() {
        fixture.settings.idleTimeoutMicros = 30 * SECOND;
        fixture.start(fleet(1));
        fixture.serve(RENDER, 100 * MS, null);
        fixture.advance(4 * SECOND);
        long request = fixture.request(RENDER);
        fixture.policy.attemptStarted(fixture.actions.now, request, 0);
        fixture.advance(5 * MS);
        fixture.endAttempt(request, 0, Outcome.RESET);
        assertEquals(List.of("backend 1 ejected: RESET"), fixture.actions.logged);
    }

    /** Otherwise a crowded backend is used like the others as soon as its last report is one run old. */
    @Test void usuallyFullBackendIsNotTakenForAnAverageOneAtOnce() {
        fixture.settings.backendsReportStart = false;
        fixture.start(fleet(3));
        for (int i = 0; i < 12; i++) {
            fixture.serve(RENDER, 200 * MS, null);
            fixture.answerProbe(1, 0);
            fixture.answerProbe(2, 8);
            fixture.answerProbe(3, 8);
        }
        fixture.advance(600 * MS);
        long before = fixture.actions.sends.size();
        for (int i = 0; i < 6; i++) {
            fixture.request(RENDER);
        }
        assertFalse(fixture.actions.sends.stream().skip(before).anyMatch(send -> send.backendId() == 1),
            fixture.actions.sends::toString);
    }

    /** If requests lost on dead idle connections counted as backlog, requests would be refused while backends are idle. */
    @Test void requestsLostOnIdleConnectionsAreNoBacklogAndOlderOnesAreClosedBeforeUse() {
        fixture.settings.idleTimeoutMicros = 30 * SECOND;
        fixture.settings.mayProbe = true;
        fixture.settings.reportMode = ReportMode.ON_PROBE;
        fixture.start(fleet(1));
        fixture.serve(PAY, 100 * MS, PolicyFixture.reportOfFreeSlots(8));
        fixture.answerProbe(1, 8);
        for (int i = 0; i < 2; i++) {
            fixture.advance(4 * SECOND);
            fixture.answerProbe(1, 8);
            long request = fixture.request(PAY);
            assertEquals(1, fixture.sendCount(request));
            fixture.advance(160 * MS);
            assertEquals(List.of(), fixture.actions.closedIdle);
            fixture.endAttempt(request, 0, Outcome.ERROR);
            fixture.advance(SECOND);
            fixture.answerProbe(1, 8);
        }
        fixture.advance(4 * SECOND);
        fixture.answerProbe(1, 8);
        fixture.request(PAY);
        assertEquals(List.of(1L), fixture.actions.closedIdle);
    }

    /** A backend that rejects one tenant's excess has room for the others. */
    @Test void backendWithRoomThatRejectsATenantIsEjectedForThatTenantOnly() {
        fixture.settings.tenants.add(new Tenant("one", 0));
        fixture.settings.tenants.add(new Tenant("two", 0));
        fixture.start(fleet(2));
        fixture.request(new Request(1, PAY, 0, 1, 0, 5 * SECOND));
        long first = fixture.actions.lastSend().backendId();
        LoadReport roomy = PolicyFixture.reportOfFreeSlots(6);
        roomy.queued = 0;
        fixture.endAttempt(1, 0, Outcome.REJECTED, roomy);
        assertEquals(List.of(), fixture.actions.logged);
        fixture.endAttempt(1, 1, Outcome.SERVED);
        Set<Long> one = new HashSet<>(), two = new HashSet<>();
        for (int i = 2; i < 30; i++) {
            fixture.endAttempt(fixture.request(new Request(i, PAY, i % 2, 1, 0, 5 * SECOND)), 0, Outcome.SERVED);
            (i % 2 == 0 ? one : two).add(fixture.actions.lastSend().backendId());
        }
        assertEquals(Set.of(3 - first), one);
        assertTrue(two.contains(first), "the other tenant still uses it");
    }

    /** Invalid requests of clients are answered 400 by every backend. They must not eject one backend after another. */
    @Test void requestFailsWithoutEjectionWhenTwoBackendsFindItUnfit() {
        PolicyFixture fixture = new PolicyFixture().start(PolicyFixture.fleet(6));
        long request = fixture.request(PolicyFixture.RENDER);
        fixture.endAttempt(request, 0, Outcome.UNFIT);
        assertEquals(2, fixture.sendCount(request));
        fixture.endAttempt(request, 1, Outcome.UNFIT);
        assertEquals(2, fixture.sendCount(request));
        assertEquals(1, fixture.actions.descriptions.stream().filter(("fail " + request)::equals).count(),
            fixture.actions.descriptions::toString);
        assertEquals(List.of(), fixture.actions.logged);
    }

    @Test void backendThatAloneFindsARequestUnfitIsEjected() {
        PolicyFixture fixture = new PolicyFixture().start(PolicyFixture.fleet(6));
        long request = fixture.request(PolicyFixture.RENDER);
        fixture.endAttempt(request, 0, Outcome.UNFIT);
        fixture.endAttempt(request, 1, Outcome.SERVED);
        assertEquals(1, fixture.actions.logged.size(), fixture.actions.logged::toString);
        assertTrue(fixture.actions.logged.get(0).endsWith("ejected: ERROR"), fixture.actions.logged::toString);
        long once = fixture.request(PolicyFixture.PAY);
        fixture.endAttempt(once, 0, Outcome.UNFIT);
        assertEquals(1, fixture.sendCount(once));
    }

    /** Soon after a start only short requests have ended. By their run time, clients that waited for the restart seem late. */
    @Test void requestThatWaitedForARestartIsNotLate() {
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
