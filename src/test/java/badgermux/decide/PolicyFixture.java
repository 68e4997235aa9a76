package badgermux.decide;

import badgermux.decide.DispatchPolicy.Effect;
import badgermux.decide.DispatchPolicy.RequestClass;
import badgermux.decide.DispatchPolicy.ListUpdate;
import badgermux.decide.DispatchPolicy.Outcome;
import badgermux.decide.DispatchPolicy.LoadReport;
import badgermux.decide.DispatchPolicy.DedupScope;
import badgermux.decide.DispatchPolicy.Settings;
import badgermux.decide.DispatchPolicy.Backend;
import badgermux.decide.DispatchPolicy.BackendState;
import java.util.Arrays;
import java.util.List;

/** A dispatcher under test, with made-up settings and short ways to tell it of events. */
final class PolicyFixture {
    static final long MS = 1_000, SECOND = 1_000_000;
    static final int RENDER = 0, SAVE = 1, PAY = 2;

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

    static RequestClass requestClass(String name, Effect effect, DedupScope scope, int kind) {
        return new RequestClass(name, effect, scope, 300 * MS, 1.5, 5 * SECOND, 3 * SECOND, 1, 0, kind, false);
    }

    PolicyFixture start(Backend... workers) {
        policy = new DefaultDispatchPolicy(settings, 7, actions);
        listBackends(ListUpdate.CACHED, workers);
        return this;
    }

    /** Ready workers with ids 1 to n, two to a cell, four to a zone, all of kind 0 and long warm. */
    static Backend[] fleet(int n) {
        Backend[] fleet = new Backend[n];
        Arrays.setAll(fleet, i -> backend(i + 1, BackendState.READY, 0));
        return fleet;
    }

    static Backend backend(long id, BackendState state, long startedAt) {
        return new Backend(id, (int) (id - 1) / 4, 0, (int) (id - 1) / 2, state, startedAt);
    }

    void listBackends(ListUpdate update, Backend... workers) {
        policy.backendsListed(actions.now, update, List.of(workers));
    }

    void advance(long span) {
        actions.advance(policy, actions.now + span);
    }

    long request(int jobClass) {
        return request(jobClass, 5 * SECOND);
    }

    long request(int jobClass, long left) {
        return request(new DispatchPolicy.Request(nextRequestId, jobClass, 0, 1, 0, left));
    }

    long request(DispatchPolicy.Request job) {
        nextRequestId = job.id() + 1;
        policy.requestReceived(actions.now, job);
        return job.id();
    }

    long nextRequestId() {
        return nextRequestId;
    }

    void endAttempt(long job, int attempt, Outcome outcome) {
        endAttempt(job, attempt, outcome, null);
    }

    void endAttempt(long job, int attempt, Outcome outcome, LoadReport report) {
        List<RecordingActions.Send> of = actions.sends.stream().filter(x -> x.requestId() == job).toList();
        long worker = of.isEmpty() ? 0 : of.get(Math.min(attempt, of.size() - 1)).backendId();
        policy.attemptEnded(actions.now, job, attempt, worker, outcome, outcome == Outcome.SERVED, report);
    }

    /** Sends one job and lets it be served after {@code run}, so that run times are known. */
    long serve(int jobClass, long run, LoadReport report) {
        long job = request(jobClass);
        policy.attemptStarted(actions.now, job, 0);
        advance(run);
        endAttempt(job, 0, Outcome.SERVED, report);
        return job;
    }

    static LoadReport reportOfFreeSlots(double slots) {
        LoadReport report = new LoadReport();
        report.freeSlots = slots;
        return report;
    }

    /** Tells of a worker's load as a probe's answer would. */
    void answerProbe(long worker, double freeSlots) {
        policy.probeEnded(actions.now, worker, true, reportOfFreeSlots(freeSlots));
    }

    int sendCount(long job) {
        return (int) actions.sends.stream().filter(x -> x.requestId() == job).count();
    }
}
