package badgermux.capacity;

import badgermux.decide.DispatchPolicy;
import badgermux.decide.DispatchPolicy.Effect;
import badgermux.decide.DispatchPolicy.ListUpdate;
import badgermux.decide.DispatchPolicy.Outcome;
import badgermux.decide.DispatchPolicy.BackendState;
import badgermux.decide.DefaultDispatchPolicy;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * One decision module with a list of workers, driven on a clock of its own: a job each 20 ms that runs for 300 ms, all
 * probes answered at once. Workers have free slots, so that each job is sent when it comes.
 */
final class PolicyHarness implements DispatchPolicy.Actions {
    static final int ZONE_COUNT = 11, KIND_COUNT = 2;
    private static final long RUN_MICROS = 300_000, ARRIVAL_INTERVAL_MICROS = 20_000, START_MICROS = 1L << 40;
    private static final int FREE_SLOTS = 4;

    private record PendingTimer(long firesAt, int token) { }

    private record SimulatedAttempt(long endsAt, long requestId, long backendId) { }

    private final PriorityQueue<PendingTimer> timers = new PriorityQueue<>(Comparator.comparingLong(PendingTimer::firesAt));
    private final ArrayDeque<Long> pendingProbes = new ArrayDeque<>();
    private final ArrayDeque<SimulatedAttempt> runningAttempts = new ArrayDeque<>();
    private final ArrayDeque<SimulatedAttempt> unstartedAttempts = new ArrayDeque<>();
    private final DispatchPolicy.LoadReport report = new DispatchPolicy.LoadReport();
    private final DefaultDispatchPolicy policy;
    private final List<DispatchPolicy.Backend> backends = new ArrayList<>();
    private final int classes;
    private long nowMicros = START_MICROS;
    private long job;
    private long probeCount;

    PolicyHarness(int size, int classes, int tenants) {
        this.classes = classes;
        report.freeSlots = FREE_SLOTS;
        for (int i = 0; i < size; i++) {
            backends.add(createBackend(i, BackendState.READY));
        }
        policy = new DefaultDispatchPolicy(settings(classes, tenants), 7, this);
        policy.backendsListed(nowMicros, ListUpdate.FULL, backends);
    }

    /** Settings like those of a deployment whose workers are probed, without limits on teams where there are none. */
    static DispatchPolicy.Settings settings(int classes, int tenants) {
        DispatchPolicy.Settings s = new DispatchPolicy.Settings();
        s.dispatcherCount = 14;
        s.kindCount = KIND_COUNT;
        s.mayProbe = true;
        s.reportMode = DispatchPolicy.ReportMode.ON_PROBE;
        s.mayCancel = true;
        s.maxAttempts = 3;
        s.backendsReportStart = true;
        s.idleTimeoutMicros = 15_000_000;
        s.coldCapacityShare = 0.15;
        s.warmUpMicros = 23_000_000;
        s.overloadMultiple = 3;
        s.overloadWindowMicros = 2_000_000;
        for (int c = 0; c < classes; c++) {
            s.classes.add(new DispatchPolicy.RequestClass("class" + c, Effect.REPEATABLE, DispatchPolicy.DedupScope.ALL, 600_000, 1.75, 10_000_000,
                0, 1, 0, -1, false));
        }
        for (int t = 0; t < tenants; t++) {
            s.tenants.add(new DispatchPolicy.Tenant("team" + t, 1000));
        }
        return s;
    }

    private static DispatchPolicy.Backend createBackend(int i, BackendState state) {
        return new DispatchPolicy.Backend(i * 0x9E3779B97F4A7C15L, i % ZONE_COUNT, i / ZONE_COUNT % KIND_COUNT, i / 4, state, 0);
    }

    /** A job from its request on, and all that is due by then of those before it. */
    void job() {
        nowMicros += ARRIVAL_INTERVAL_MICROS;
        fireDueTimers();
        while (!runningAttempts.isEmpty() && runningAttempts.peek().endsAt <= nowMicros) {
            SimulatedAttempt done = runningAttempts.poll();
            policy.attemptEnded(nowMicros, done.requestId, 0, done.backendId, Outcome.SERVED, true, null);
            startSentAttempts();
        }
        policy.requestReceived(nowMicros, new DispatchPolicy.Request(job, (int) (job % classes), 0, 1, 0, 10_000_000));
        job++;
        startSentAttempts();
        while (!pendingProbes.isEmpty()) {
            policy.probeEnded(nowMicros, pendingProbes.poll(), true, report);
            startSentAttempts();
        }
    }

    /** The news of one worker, which drains and comes back in turns. */
    void changeOneBackend(int turn) {
        nowMicros += ARRIVAL_INTERVAL_MICROS;
        BackendState state = turn % 2 == 0 ? BackendState.DRAINING : BackendState.READY;
        policy.backendsListed(nowMicros, ListUpdate.DELTA, List.of(createBackend(turn / 2 % backends.size(), state)));
    }

    /** The whole list as it stands. */
    void resendFullList() {
        nowMicros += ARRIVAL_INTERVAL_MICROS;
        policy.backendsListed(nowMicros, ListUpdate.FULL, backends);
    }

    /** All workers of zone 0 are told gone, one by one or in one delta. */
    void removeZone(boolean oneByOne) {
        nowMicros += ARRIVAL_INTERVAL_MICROS;
        List<DispatchPolicy.Backend> gone = zoneBackends(BackendState.GONE);
        if (oneByOne) {
            gone.forEach(worker -> policy.backendsListed(nowMicros, ListUpdate.DELTA, List.of(worker)));
        } else {
            policy.backendsListed(nowMicros, ListUpdate.DELTA, gone);
        }
    }

    /** All workers of zone 0 are back, in one delta. */
    void restoreZone() {
        policy.backendsListed(nowMicros, ListUpdate.DELTA, zoneBackends(BackendState.READY));
    }

    private List<DispatchPolicy.Backend> zoneBackends(BackendState state) {
        List<DispatchPolicy.Backend> zone = new ArrayList<>();
        for (int i = 0; i < backends.size(); i += ZONE_COUNT) {
            zone.add(createBackend(i, state));
        }
        return zone;
    }

    /** How many probes were asked for so far. */
    long probeCount() {
        return probeCount;
    }

    private void fireDueTimers() {
        while (!timers.isEmpty() && timers.peek().firesAt <= nowMicros) {
            policy.timerFired(nowMicros, timers.poll().token);
            startSentAttempts();
        }
    }

    /** What was sent starts once the event that sent it has been dealt with, as in the engine. */
    private void startSentAttempts() {
        for (SimulatedAttempt next = unstartedAttempts.poll(); next != null; next = unstartedAttempts.poll()) {
            runningAttempts.add(next);
            policy.attemptStarted(nowMicros, next.requestId, 0);
        }
    }

    @Override public void send(long id, long worker) {
        unstartedAttempts.add(new SimulatedAttempt(nowMicros + RUN_MICROS, id, worker));
    }

    @Override public void startTimer(long delay, int token) {
        timers.add(new PendingTimer(nowMicros + delay, token));
    }

    @Override public void probe(long worker) {
        probeCount++;
        pendingProbes.add(worker);
    }

    @Override public void refuse(long id, long comeBack) { }

    @Override public void fail(long id) { }

    @Override public void cancel(long id, int attempt) { }

    @Override public void closeIdleConnections(long worker) { }

    @Override public void watchBackendList() { }

    @Override public void log(String line) { }
}
