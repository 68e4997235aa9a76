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
final class ModuleRig implements DispatchPolicy.Actions {
    static final int ZONES = 11, KINDS = 2;
    private static final long RUN = 300_000, GAP = 20_000, START = 1L << 40;
    private static final int FREE_SLOTS = 4;

    private record Due(long at, int token) { }

    private record Sent(long due, long job, long worker) { }

    private final PriorityQueue<Due> timers = new PriorityQueue<>(Comparator.comparingLong(Due::at));
    private final ArrayDeque<Long> probes = new ArrayDeque<>();
    private final ArrayDeque<Sent> running = new ArrayDeque<>();
    private final ArrayDeque<Sent> sent = new ArrayDeque<>();
    private final DispatchPolicy.LoadReport report = new DispatchPolicy.LoadReport();
    private final DefaultDispatchPolicy module;
    private final List<DispatchPolicy.Backend> workers = new ArrayList<>();
    private final int classes;
    private long now = START;
    private long job;
    private long probesAsked;

    ModuleRig(int size, int classes, int tenants) {
        this.classes = classes;
        report.freeSlots = FREE_SLOTS;
        for (int i = 0; i < size; i++) {
            workers.add(worker(i, BackendState.READY));
        }
        module = new DefaultDispatchPolicy(settings(classes, tenants), 7, this);
        module.backendsListed(now, ListUpdate.FULL, workers);
    }

    /** Settings like those of a deployment whose workers are probed, without limits on teams where there are none. */
    static DispatchPolicy.Settings settings(int classes, int tenants) {
        DispatchPolicy.Settings s = new DispatchPolicy.Settings();
        s.dispatcherCount = 14;
        s.kindCount = KINDS;
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

    private static DispatchPolicy.Backend worker(int i, BackendState state) {
        return new DispatchPolicy.Backend(i * 0x9E3779B97F4A7C15L, i % ZONES, i / ZONES % KINDS, i / 4, state, 0);
    }

    /** A job from its request on, and all that is due by then of those before it. */
    void job() {
        now += GAP;
        runTimers();
        while (!running.isEmpty() && running.peek().due <= now) {
            Sent done = running.poll();
            module.attemptEnded(now, done.job, 0, done.worker, Outcome.SERVED, true, null);
            start();
        }
        module.requestReceived(now, new DispatchPolicy.Request(job, (int) (job % classes), 0, 1, 0, 10_000_000));
        job++;
        start();
        while (!probes.isEmpty()) {
            module.probeEnded(now, probes.poll(), true, report);
            start();
        }
    }

    /** The news of one worker, which drains and comes back in turns. */
    void news(int turn) {
        now += GAP;
        BackendState state = turn % 2 == 0 ? BackendState.DRAINING : BackendState.READY;
        module.backendsListed(now, ListUpdate.DELTA, List.of(worker(turn / 2 % workers.size(), state)));
    }

    /** The whole list as it stands. */
    void wholeList() {
        now += GAP;
        module.backendsListed(now, ListUpdate.FULL, workers);
    }

    /** All workers of zone 0 are told gone, one by one or in one delta. */
    void loseZone(boolean oneByOne) {
        now += GAP;
        List<DispatchPolicy.Backend> gone = zone(BackendState.GONE);
        if (oneByOne) {
            gone.forEach(worker -> module.backendsListed(now, ListUpdate.DELTA, List.of(worker)));
        } else {
            module.backendsListed(now, ListUpdate.DELTA, gone);
        }
    }

    /** All workers of zone 0 are back, in one delta. */
    void returnZone() {
        module.backendsListed(now, ListUpdate.DELTA, zone(BackendState.READY));
    }

    private List<DispatchPolicy.Backend> zone(BackendState state) {
        List<DispatchPolicy.Backend> zone = new ArrayList<>();
        for (int i = 0; i < workers.size(); i += ZONES) {
            zone.add(worker(i, state));
        }
        return zone;
    }

    /** How many probes were asked for so far. */
    long probesAsked() {
        return probesAsked;
    }

    private void runTimers() {
        while (!timers.isEmpty() && timers.peek().at <= now) {
            module.timerFired(now, timers.poll().token);
            start();
        }
    }

    /** What was sent starts once the event that sent it has been dealt with, as in the engine. */
    private void start() {
        for (Sent next = sent.poll(); next != null; next = sent.poll()) {
            running.add(next);
            module.attemptStarted(now, next.job, 0);
        }
    }

    @Override public void send(long id, long worker) {
        sent.add(new Sent(now + RUN, id, worker));
    }

    @Override public void startTimer(long delay, int token) {
        timers.add(new Due(now + delay, token));
    }

    @Override public void probe(long worker) {
        probesAsked++;
        probes.add(worker);
    }

    @Override public void refuse(long id, long comeBack) { }

    @Override public void fail(long id) { }

    @Override public void cancel(long id, int attempt) { }

    @Override public void closeIdleConnections(long worker) { }

    @Override public void watchBackendList() { }

    @Override public void log(String line) { }
}
