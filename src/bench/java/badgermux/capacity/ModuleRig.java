package badgermux.capacity;

import badgermux.decide.Dispatch;
import badgermux.decide.Dispatch.Effect;
import badgermux.decide.Dispatch.ListUpdate;
import badgermux.decide.Dispatch.Outcome;
import badgermux.decide.Dispatch.WorkerState;
import badgermux.decide.Dispatcher;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * One decision module with a list of workers, driven on a clock of its own: a job each 20 ms that runs for 300 ms, all
 * probes answered at once. Workers have free slots, so that each job is sent when it comes.
 */
final class ModuleRig implements Dispatch.Actions {
    static final int ZONES = 11, KINDS = 2;
    private static final long RUN = 300_000, GAP = 20_000, START = 1L << 40;
    private static final int FREE_SLOTS = 4;

    private record Due(long at, int token) { }

    private record Sent(long due, long job, long worker) { }

    private final PriorityQueue<Due> timers = new PriorityQueue<>(Comparator.comparingLong(Due::at));
    private final ArrayDeque<Long> probes = new ArrayDeque<>();
    private final ArrayDeque<Sent> running = new ArrayDeque<>();
    private final ArrayDeque<Sent> sent = new ArrayDeque<>();
    private final Dispatch.Report report = new Dispatch.Report();
    private final Dispatcher module;
    private final List<Dispatch.Worker> workers = new ArrayList<>();
    private final int classes;
    private long now = START;
    private long job;
    private long probesAsked;

    ModuleRig(int size, int classes, int tenants) {
        this.classes = classes;
        report.freeSlots = FREE_SLOTS;
        for (int i = 0; i < size; i++) {
            workers.add(worker(i, WorkerState.READY));
        }
        module = new Dispatcher(settings(classes, tenants), 7, this);
        module.workers(now, ListUpdate.FULL, workers);
    }

    /** Settings like those of a deployment whose workers are probed, without limits on teams where there are none. */
    static Dispatch.Settings settings(int classes, int tenants) {
        Dispatch.Settings s = new Dispatch.Settings();
        s.dispatchers = 14;
        s.kinds = KINDS;
        s.probes = true;
        s.reports = Dispatch.ReportMode.ON_PROBE;
        s.cancels = true;
        s.maxAttempts = 3;
        s.tellsStart = true;
        s.connectionIdle = 15_000_000;
        s.coldShare = 0.15;
        s.coldFor = 23_000_000;
        s.fallMultiple = 3;
        s.fallWindow = 2_000_000;
        for (int c = 0; c < classes; c++) {
            s.classes.add(new Dispatch.JobClass("class" + c, Effect.REPEATABLE, Dispatch.Scope.ALL, 600_000, 1.75, 10_000_000,
                0, 1, 0, -1, false));
        }
        for (int t = 0; t < tenants; t++) {
            s.tenants.add(new Dispatch.Tenant("team" + t, 1000));
        }
        return s;
    }

    private static Dispatch.Worker worker(int i, WorkerState state) {
        return new Dispatch.Worker(i * 0x9E3779B97F4A7C15L, i % ZONES, i / ZONES % KINDS, i / 4, state, 0);
    }

    /** A job from its request on, and all that is due by then of those before it. */
    void job() {
        now += GAP;
        runTimers();
        while (!running.isEmpty() && running.peek().due <= now) {
            Sent done = running.poll();
            module.outcome(now, done.job, 0, done.worker, Outcome.SERVED, true, null);
            start();
        }
        module.request(now, new Dispatch.Job(job, (int) (job % classes), 0, 1, 0, 10_000_000));
        job++;
        start();
        while (!probes.isEmpty()) {
            module.probed(now, probes.poll(), true, report);
            start();
        }
    }

    /** The news of one worker, which drains and comes back in turns. */
    void news(int turn) {
        now += GAP;
        WorkerState state = turn % 2 == 0 ? WorkerState.DRAINING : WorkerState.READY;
        module.workers(now, ListUpdate.DELTA, List.of(worker(turn / 2 % workers.size(), state)));
    }

    /** The whole list as it stands. */
    void wholeList() {
        now += GAP;
        module.workers(now, ListUpdate.FULL, workers);
    }

    /** All workers of zone 0 are told gone, one by one or in one delta. */
    void loseZone(boolean oneByOne) {
        now += GAP;
        List<Dispatch.Worker> gone = zone(WorkerState.GONE);
        if (oneByOne) {
            gone.forEach(worker -> module.workers(now, ListUpdate.DELTA, List.of(worker)));
        } else {
            module.workers(now, ListUpdate.DELTA, gone);
        }
    }

    /** All workers of zone 0 are back, in one delta. */
    void returnZone() {
        module.workers(now, ListUpdate.DELTA, zone(WorkerState.READY));
    }

    private List<Dispatch.Worker> zone(WorkerState state) {
        List<Dispatch.Worker> zone = new ArrayList<>();
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
            module.timer(now, timers.poll().token);
            start();
        }
    }

    /** What was sent starts once the event that sent it has been dealt with, as in the engine. */
    private void start() {
        for (Sent next = sent.poll(); next != null; next = sent.poll()) {
            running.add(next);
            module.started(now, next.job, 0);
        }
    }

    @Override public void send(long id, long worker) {
        sent.add(new Sent(now + RUN, id, worker));
    }

    @Override public void timer(long delay, int token) {
        timers.add(new Due(now + delay, token));
    }

    @Override public void probe(long worker) {
        probesAsked++;
        probes.add(worker);
    }

    @Override public void refuse(long id, long comeBack) { }

    @Override public void fail(long id) { }

    @Override public void cancel(long id, int attempt) { }

    @Override public void release(long worker) { }

    @Override public void watch() { }

    @Override public void log(String line) { }
}
