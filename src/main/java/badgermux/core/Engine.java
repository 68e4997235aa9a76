package badgermux.core;

import badgermux.decide.Dispatch;
import badgermux.decide.Dispatch.Outcome;
import badgermux.metrics.Metrics;
import badgermux.metrics.Metrics.Count;
import badgermux.metrics.Metrics.Ending;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/**
 * Carries out what the decision module decides, and tells it what comes of it. Knows reqs, fetches and deadlines, and
 * nothing of the protocols in front and behind. Single-threaded: all calls come from the event loop.
 *
 * @param <P> what a req carries from its front to the backends
 */
public final class Engine<P> implements Dispatch.Actions {
    /** A fetch ends this long before its client gives up: its deadline ran while the req was on its way here. */
    static final long FETCH_MARGIN = 30_000;
    /** A req that is unanswered this long before its client gives up is failed, whatever the module does. */
    static final long ANSWER_MARGIN = 15_000;

    /** A client's req until its final answer and the last outcome of its fetches. */
    private static final class Req<P> {
        private final Asker asker;
        private final P payload;
        private final int jobClass;
        private final long fetchLimit;
        private final List<Long> fetches = new ArrayList<>(2);
        private Deadlines.Deadline overdue;
        private int out;
        private boolean over;
        private boolean timedOut;

        Req(Asker asker, P payload, int jobClass, long fetchLimit) {
            this.asker = asker;
            this.payload = payload;
            this.jobClass = jobClass;
            this.fetchLimit = fetchLimit;
        }
    }

    /** One attempt at a backend; {@code limit} ends it. */
    private static final class Fetch {
        private final long req;
        private final int attempt;
        private final long backend;
        private Deadlines.Deadline limit;

        Fetch(long req, int attempt, long backend) {
            this.req = req;
            this.attempt = attempt;
            this.backend = backend;
        }
    }

    private final SlotTable<Req<P>> reqs = new SlotTable<>();
    private final SlotTable<Fetch> fetches = new SlotTable<>();
    private final ArrayDeque<Runnable> events = new ArrayDeque<>();
    private final LongSupplier clock;
    private final Deadlines deadlines;
    private final Metrics metrics;
    private final int maxAttempts;
    private Dispatch module;
    private Outbound<P> outbound;
    private Runnable watch;
    private boolean telling;
    private int open;

    public Engine(LongSupplier clock, Deadlines deadlines, Metrics metrics, int maxAttempts) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.metrics = metrics;
        this.maxAttempts = maxAttempts;
        metrics.gauge("current", () -> open);
        metrics.level("fetches_out", fetches::size);
    }

    /** Joins the parts that need the engine to be made; called once, before any event. */
    public void join(Dispatch decisions, Outbound<P> backends, Runnable watchList) {
        module = decisions;
        outbound = backends;
        watch = watchList;
    }

    /** How many reqs wait for their final answer. */
    public int open() {
        return open;
    }

    // ---- From the front

    /**
     * Takes a req of a class and a tenant in, whose client gives up at {@code until}; returns the handle for
     * {@link #askerGone}.
     */
    public long take(Asker asker, P payload, int jobClass, int tenant, double slots, long until) {
        metrics.add(Count.REQS_TAKEN);
        Req<P> r = new Req<>(asker, payload, jobClass, until - FETCH_MARGIN);
        long id = reqs.add(r);
        open++;
        r.overdue = deadlines.at(until - ANSWER_MARGIN, () -> overdue(id));
        // The module counts on the time until fetches end, which leaves it room to answer after a time-out.
        tell(id, () -> {
            long now = clock.getAsLong();
            module.request(now, new Dispatch.Job(id, jobClass, tenant, slots, 0, Math.max(0, until - FETCH_MARGIN - now)));
        });
        return id;
    }

    /** The client has left before its final answer. */
    public void askerGone(long id) {
        Req<P> r = reqs.get(id);
        if (r == null || r.over) {
            return;
        }
        metrics.add(Count.CLIENTS_GONE);
        close(r);
        leave(id);
    }

    private void leave(long id) {
        tell(id, () -> {
            module.clientGone(clock.getAsLong(), id);
            forget(id);
        });
    }

    /** Guards against a req that the module holds beyond its client's patience: none goes unanswered. */
    private void overdue(long id) {
        Req<P> r = reqs.get(id);
        if (r == null || r.over) {
            return;
        }
        metrics.add(Count.ANSWERS_OVERDUE);
        failReq(r, true);
        leave(id);
    }

    // ---- From the backends

    public void started(long fetch) {
        Fetch f = known(fetch);
        if (f != null) {
            tell(f.req, () -> module.started(clock.getAsLong(), f.req, f.attempt));
        }
    }

    public void progress(long fetch) {
        Fetch f = known(fetch);
        if (f != null) {
            tell(f.req, () -> module.progress(clock.getAsLong(), f.req, f.attempt));
        }
    }

    /**
     * A fetch has ended; {@code result} is its answer where the outcome is SERVED, {@code report} may be null. Where a
     * backend has served what can't be used, the result is null: the req fails, and it does not run again.
     */
    public void ended(long fetch, Outcome outcome, byte[] result, Dispatch.Report report) {
        Fetch f = fetches.remove(fetch);
        if (f == null) {
            metrics.add(Count.LATE_EVENTS);
            return;
        }
        deadlines.cancel(f.limit);
        over(f, outcome, result, report);
    }

    public void probed(long backend, boolean answered, Dispatch.Report report) {
        if (answered) {
            metrics.add(Count.PROBES_ANSWERED);
        }
        tell(0, () -> module.probed(clock.getAsLong(), backend, answered, report));
    }

    private Fetch known(long fetch) {
        Fetch f = fetches.get(fetch);
        if (f == null) {
            metrics.add(Count.LATE_EVENTS);
        }
        return f;
    }

    /** What the module leaves to the next process. */
    public Dispatch.Heritage leave() {
        return module.leave();
    }

    /** Has the module go on from what the process before left. */
    public void inherit(Dispatch.Heritage left) {
        module.inherit(left);
    }

    /** Has all that is open answered now: this process is about to be ended. */
    public void ending() {
        tell(0, () -> module.ending(clock.getAsLong()));
    }

    /** Whether the module gives a backend no work now. */
    public boolean avoids(long backend) {
        return module.avoids(backend);
    }

    // ---- From the director

    public void workers(Dispatch.ListUpdate update, List<Dispatch.Worker> list) {
        tell(0, () -> module.workers(clock.getAsLong(), update, list));
    }

    // ---- Outcomes and final answers

    private void timedOut(long fetch) {
        Fetch f = fetches.remove(fetch);
        if (f != null) {
            outbound.abort(fetch);
            over(f, Outcome.TIMED_OUT, null, null);
        }
    }

    /** The first result reaches the client at once; each outcome is told, with whether its req is settled by then. */
    private void over(Fetch f, Outcome outcome, byte[] result, Dispatch.Report report) {
        metrics.add(Count.valueOf("FETCHES_" + outcome));
        Req<P> r = reqs.get(f.req);
        r.out--;
        r.timedOut |= outcome == Outcome.TIMED_OUT;
        if (outcome == Outcome.SERVED && result == null && !r.over) {
            failReq(r, false);
        } else if (outcome == Outcome.SERVED && !r.over) {
            close(r);
            metrics.ended(Ending.ANSWERED, r.jobClass);
            answer(() -> r.asker.served(result));
        }
        tell(f.req, () -> {
            module.outcome(clock.getAsLong(), f.req, f.attempt, f.backend, outcome, r.over, report);
            forget(f.req);
        });
    }

    private void failReq(Req<P> r, boolean late) {
        close(r);
        metrics.ended(Ending.ERRORED, r.jobClass);
        answer(() -> r.asker.failed(late));
    }

    /** Guards against an outcome that the module never hears of, since its client's connection had an exception. */
    private void answer(Runnable asker) {
        try {
            asker.run();
        } catch (RuntimeException e) {
            metrics.add(Count.EXCEPTIONS);
            Logger.error(e, "exception at an answer");
        }
    }

    private void close(Req<P> r) {
        r.over = true;
        open--;
        deadlines.cancel(r.overdue);
        // Guards against a connection that comes up late and takes a fetch whose client has left or has its answer,
        // also where nothing that was sent may be cancelled: none of this one was.
        for (long handle : List.copyOf(r.fetches)) {
            withdraw(handle);
        }
    }

    /** Takes a fetch back of which nothing has been written: it surely never ran. */
    public void withdraw(long fetch) {
        Fetch f = fetches.get(fetch);
        if (f != null && outbound.withdraw(fetch)) {
            fetches.remove(fetch);
            deadlines.cancel(f.limit);
            tell(f.req, () -> over(f, Outcome.MOOT, null, null));
        }
    }

    /** A req leaves the table once nothing more can be told of it. */
    private void forget(long id) {
        Req<P> r = reqs.get(id);
        if (r != null && r.over && r.out == 0) {
            reqs.remove(id);
        }
    }

    /**
     * Tells the module of events one after another: what an action brings about at once waits until the event that
     * caused it has been dealt with. An exception ends the req it came up in (0: none), not the process.
     */
    private void tell(long req, Runnable event) {
        events.add(() -> {
            try {
                event.run();
            } catch (RuntimeException e) {
                metrics.add(Count.EXCEPTIONS);
                Logger.error(e, "exception in an event");
                Req<P> r = reqs.get(req);
                if (r != null && !r.over) {
                    failReq(r, false);
                    // Guards against a req that has its answer and that the module goes on holding, and sends later.
                    leave(req);
                }
                forget(req);
            }
        });
        if (telling) {
            return;
        }
        telling = true;
        try {
            for (Runnable next = events.poll(); next != null; next = events.poll()) {
                next.run();
            }
        } finally {
            telling = false;
        }
    }

    // ---- What the module decides

    @Override public void send(long job, long worker) {
        Req<P> r = reqs.get(job);
        if (r == null) {
            throw new IllegalStateException("the module sends a req that has ended");
        }
        Fetch f = new Fetch(job, r.fetches.size(), worker);
        r.out++;
        if (r.over || r.fetches.size() >= maxAttempts || clock.getAsLong() >= r.fetchLimit) {
            r.fetches.add(0L);
            tell(job, () -> over(f, Outcome.MOOT, null, null));
            return;
        }
        metrics.add(Count.FETCHES_SENT);
        long handle = fetches.add(f);
        r.fetches.add(handle);
        f.limit = deadlines.at(r.fetchLimit, () -> timedOut(handle));
        outbound.fetch(handle, worker, r.payload, r.fetchLimit);
    }

    @Override public void refuse(long job, long comeBack) {
        Req<P> r = reqs.get(job);
        if (r != null && !r.over) {
            close(r);
            metrics.ended(Ending.DEFERRED, r.jobClass);
            answer(() -> r.asker.synthetic(comeBack));
            tell(job, () -> forget(job));
        }
    }

    @Override public void fail(long job) {
        Req<P> r = reqs.get(job);
        if (r != null && !r.over) {
            failReq(r, r.timedOut);
            tell(job, () -> forget(job));
        }
    }

    @Override public void cancel(long job, int attempt) {
        Req<P> r = reqs.get(job);
        long handle = r == null || attempt >= r.fetches.size() ? 0 : r.fetches.get(attempt);
        Fetch f = fetches.remove(handle);
        if (f != null) {
            deadlines.cancel(f.limit);
            outbound.abort(handle);
            tell(job, () -> over(f, Outcome.CANCELLED, null, null));
        }
    }

    @Override public void timer(long delay, int token) {
        deadlines.after(delay, () -> tell(0, () -> module.timer(clock.getAsLong(), token)));
    }

    @Override public void probe(long worker) {
        metrics.add(Count.PROBES_SENT);
        outbound.probe(worker);
    }

    @Override public void release(long worker) {
        outbound.release(worker);
    }

    @Override public void watch() {
        watch.run();
    }

    @Override public void log(String line) {
        Logger.info(line);
    }
}
