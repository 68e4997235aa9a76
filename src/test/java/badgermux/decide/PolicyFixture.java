package badgermux.decide;

import badgermux.decide.DispatchPolicy.Backend;
import badgermux.decide.DispatchPolicy.BackendState;
import badgermux.decide.DispatchPolicy.DedupScope;
import badgermux.decide.DispatchPolicy.Effect;
import badgermux.decide.DispatchPolicy.ListUpdate;
import badgermux.decide.DispatchPolicy.LoadReport;
import badgermux.decide.DispatchPolicy.Outcome;
import badgermux.decide.DispatchPolicy.RequestClass;
import badgermux.decide.DispatchPolicy.Settings;
import java.util.Arrays;
import java.util.List;

/** A policy under test with example settings, and short methods for its events. */
final class PolicyFixture {
    /** A millisecond, in microseconds. */
    static final long MS = 1_000;
    /** A second, in microseconds. */
    static final long SECOND = 1_000_000;
    /** Index of a class that may be repeated. */
    static final int RENDER = 0;
    /** Index of a class whose repeats a cell drops by their key. */
    static final int SAVE = 1;
    /** Index of a class that must run once. */
    static final int PAY = 2;

    final Settings settings = new Settings();
    final RecordingActions actions = new RecordingActions();
    DefaultDispatchPolicy policy;
    private long nextRequestId = 1;

    PolicyFixture() {
        settings.dispatcherCount = 2;
        settings.kindCount = 2;
        settings.reportMode = DispatchPolicy.ReportMode.IN_RESPONSES;
        settings.mayCancel = true;
        settings.mayHedge = true;
        settings.maxAttempts = 4;
        settings.backendsReportStart = true;
        settings.progressIntervalMicros = SECOND;
        settings.coldCapacityShare = 0.25;
        settings.warmUpMicros = 10 * SECOND;
        settings.overloadMultiple = 2;
        settings.overloadWindowMicros = SECOND;
        settings.classes.add(requestClass("render", Effect.REPEATABLE, DedupScope.ALL, -1));
        settings.classes.add(requestClass("save", Effect.BY_KEY, DedupScope.CELL, -1));
        settings.classes.add(requestClass("pay", Effect.ONCE, DedupScope.ALL, -1));
    }

    /** Returns a class with a target time of 300 ms, a client timeout of 5 s and a dedup window of 3 s. */
    static RequestClass requestClass(String name, Effect effect, DedupScope scope, int kind) {
        return new RequestClass(name, effect, scope, 300 * MS, 1.5, 5 * SECOND, 3 * SECOND, 1, 0, kind, false);
    }

    /** Creates the policy and gives it a cached list of these backends. */
    PolicyFixture start(Backend... backends) {
        policy = new DefaultDispatchPolicy(settings, 7, actions);
        listBackends(ListUpdate.CACHED, backends);
        return this;
    }

    /** Returns ready backends with ids 1 to n, two to a cell, four to a zone, all of kind 0 and warm. */
    static Backend[] fleet(int n) {
        Backend[] fleet = new Backend[n];
        Arrays.setAll(fleet, i -> backend(i + 1, BackendState.READY, 0));
        return fleet;
    }

    static Backend backend(long id, BackendState state, long startedAt) {
        return new Backend(id, (int) (id - 1) / 4, 0, (int) (id - 1) / 2, state, startedAt);
    }

    void listBackends(ListUpdate update, Backend... backends) {
        policy.backendsListed(actions.now, update, List.of(backends));
    }

    void advance(long span) {
        actions.advance(policy, actions.now + span);
    }

    /** Sends a request whose client waits for 5 s; returns its id. */
    long request(int classIndex) {
        return request(classIndex, 5 * SECOND);
    }

    long request(int classIndex, long remaining) {
        return request(new DispatchPolicy.Request(nextRequestId, classIndex, 0, 1, 0, remaining));
    }

    long request(DispatchPolicy.Request request) {
        nextRequestId = request.id() + 1;
        policy.requestReceived(actions.now, request);
        return request.id();
    }

    long nextRequestId() {
        return nextRequestId;
    }

    void endAttempt(long request, int attempt, Outcome outcome) {
        endAttempt(request, attempt, outcome, null);
    }

    /** Ends an attempt at the backend that it was sent to; the outcome SERVED settles the request. */
    void endAttempt(long request, int attempt, Outcome outcome, LoadReport report) {
        List<RecordingActions.Send> sends =
            actions.sends.stream().filter(send -> send.requestId() == request).toList();
        long backend = sends.isEmpty() ? 0 : sends.get(Math.min(attempt, sends.size() - 1)).backendId();
        policy.attemptEnded(actions.now, request, attempt, backend, outcome, outcome == Outcome.SERVED, report);
    }

    /** Sends a request that is started at once and served after {@code run}, so that run times are known. */
    long serve(int classIndex, long run, LoadReport report) {
        long request = request(classIndex);
        policy.attemptStarted(actions.now, request, 0);
        advance(run);
        endAttempt(request, 0, Outcome.SERVED, report);
        return request;
    }

    static LoadReport reportOfFreeSlots(double slots) {
        LoadReport report = new LoadReport();
        report.freeSlots = slots;
        return report;
    }

    /** Reports a backend's free slots in the answer to a probe. */
    void answerProbe(long backend, double freeSlots) {
        policy.probeEnded(actions.now, backend, true, reportOfFreeSlots(freeSlots));
    }

    /** Returns how many attempts of a request were sent. */
    int sendCount(long request) {
        return (int) actions.sends.stream().filter(send -> send.requestId() == request).count();
    }
}
