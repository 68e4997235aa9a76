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
 * Carries out what the decision module decides, and tells it what comes of it. Knows requests, attempts and deadlines, and
 * nothing of the protocols in front and behind. Single-threaded: all calls come from the event loop.
 *
 * @param <P> what a request carries from its front to the backends
 */
public final class Engine<P> implements Dispatch.Actions {
    /** An attempt ends this long before its client gives up: its deadline ran while the request was on its way here. */
    static final long ATTEMPT_MARGIN = 30_000;
    /** A request that is unanswered this long before its client gives up is failed, whatever the module does. */
    static final long ANSWER_MARGIN = 15_000;

    /** A client's request until its final answer and the last outcome of its attempts. */
    private static final class Request<P> {
        private final Asker asker;
        private final P payload;
        private final int jobClass;
        private final long attemptLimit;
        private final boolean timeKnown;
        private final List<Long> attempts = new ArrayList<>(2);
        private Deadlines.Deadline overdue;
        private int out;
        private boolean over;
        private boolean timedOut;

        Request(Asker asker, P payload, int jobClass, long attemptLimit, boolean timeKnown) {
            this.asker = asker;
            this.payload = payload;
            this.jobClass = jobClass;
            this.attemptLimit = attemptLimit;
            this.timeKnown = timeKnown;
        }

        /**
         * Whether one attempt more may begin. Guards against a further attempt that tells its backend more time than its
         * client has: where that is not known, there is only a first one.
         */
        boolean mayAttempt(long now, int maxAttempts) {
            return !over && attempts.size() < (timeKnown ? maxAttempts : 1) && now < attemptLimit;
        }
    }

    /** One attempt at a backend; {@code limit} ends it. */
    private static final class Attempt {
        private final long request;
        private final int number;
        private final long backend;
        private Deadlines.Deadline limit;

        Attempt(long request, int number, long backend) {
            this.request = request;
            this.number = number;
            this.backend = backend;
        }
    }

    private final SlotTable<Request<P>> requests = new SlotTable<>();
    private final SlotTable<Attempt> attempts = new SlotTable<>();
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
        metrics.level("fetches_out", attempts::size);
    }

    /** Joins the parts that need the engine to be made; called once, before any event. */
    public void join(Dispatch decisions, Outbound<P> backends, Runnable watchList) {
        module = decisions;
        outbound = backends;
        watch = watchList;
    }

    /** How many requests wait for their final answer. */
    public int open() {
        return open;
    }

    // ---- From the front

    /**
     * Takes a request of a class and a tenant in.
     *
     * @param until     when its client gives up, in microseconds on the clock; the latest time, where it is not known
     * @param timeKnown whether that is known: its connection did not wait to be let in
     * @return the handle for {@link #askerGone}
     */
    public long take(Asker asker, P payload, int jobClass, int tenant, double slots, long until, boolean timeKnown) {
        metrics.add(Count.REQS_TAKEN);
        Request<P> r = new Request<>(asker, payload, jobClass, until - ATTEMPT_MARGIN, timeKnown);
        long id = requests.add(r);
        open++;
        r.overdue = deadlines.at(until - ANSWER_MARGIN, () -> overdue(id));
        // The module counts on the time until attempts end, which leaves it room to answer after a time-out.
        tell(id, () -> {
            long now = clock.getAsLong();
            module.request(now, new Dispatch.Job(id, jobClass, tenant, slots, 0, Math.max(0, until - ATTEMPT_MARGIN - now)));
        });
        return id;
    }

    /** The client has left before its final answer. */
    public void askerGone(long id) {
        Request<P> r = requests.get(id);
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

    /** Guards against a request that the module holds beyond its client's patience: none goes unanswered. */
    private void overdue(long id) {
        Request<P> r = requests.get(id);
        if (r == null || r.over) {
            return;
        }
        metrics.add(Count.ANSWERS_OVERDUE);
        failRequest(r, true);
        leave(id);
    }

    // ---- From the backends

    public void started(long attempt) {
        Attempt a = known(attempt);
        if (a != null) {
            tell(a.request, () -> module.started(clock.getAsLong(), a.request, a.number));
        }
    }

    public void progress(long attempt) {
        Attempt a = known(attempt);
        if (a != null) {
            tell(a.request, () -> module.progress(clock.getAsLong(), a.request, a.number));
        }
    }

    /**
     * An attempt has ended; {@code result} is its answer where the outcome is SERVED, {@code report} may be null. Where a
     * backend has served what can't be used, the result is null: the request fails, and it does not run again.
     */
    public void ended(long attempt, Outcome outcome, byte[] result, Dispatch.Report report) {
        Attempt a = attempts.remove(attempt);
        if (a == null) {
            metrics.add(Count.LATE_EVENTS);
            return;
        }
        deadlines.cancel(a.limit);
        over(a, outcome, result, report);
    }

    public void probed(long backend, boolean answered, Dispatch.Report report) {
        if (answered) {
            metrics.add(Count.PROBES_ANSWERED);
        }
        tell(0, () -> module.probed(clock.getAsLong(), backend, answered, report));
    }

    private Attempt known(long attempt) {
        Attempt a = attempts.get(attempt);
        if (a == null) {
            metrics.add(Count.LATE_EVENTS);
        }
        return a;
    }

    /** What the module leaves to the next process. */
    public Dispatch.Heritage leave() {
        return module.leave();
    }

    /** Has the module go on from what the process before left. */
    public void inherit(Dispatch.Heritage left) {
        module.inherit(left);
    }

    /**
     * Has some of the open requests answered now, as this process is about to be ended: those first of which no attempt has
     * been made, whose end is the cheapest.
     *
     * @param most how many at most
     */
    public void answerFinally(int most) {
        List<Long> chosen = new ArrayList<>(requests.handles(r -> !r.over && r.attempts.isEmpty(), most));
        chosen.addAll(requests.handles(r -> !r.over && !r.attempts.isEmpty(), most - chosen.size()));
        for (long id : chosen) {
            tell(id, () -> module.ending(clock.getAsLong(), id));
            tell(id, () -> endUnanswered(id));
        }
    }

    /** Guards against a request that the module leaves open although its process ends. */
    private void endUnanswered(long id) {
        Request<P> r = requests.get(id);
        if (r != null && !r.over) {
            failRequest(r, true);
            leave(id);
        }
    }

    /** Whether the module gives a backend no work now. */
    public boolean avoids(long backend) {
        return module.avoids(backend);
    }

    // ---- From discovery

    public void workers(Dispatch.ListUpdate update, List<Dispatch.Worker> list) {
        tell(0, () -> module.workers(clock.getAsLong(), update, list));
    }

    // ---- Outcomes and final answers

    private void timedOut(long attempt) {
        Attempt a = attempts.remove(attempt);
        if (a != null) {
            outbound.abort(attempt);
            over(a, Outcome.TIMED_OUT, null, null);
        }
    }

    /** The first result reaches the client at once; each outcome is told, with whether its request is settled by then. */
    private void over(Attempt a, Outcome outcome, byte[] result, Dispatch.Report report) {
        metrics.add(Count.valueOf("FETCHES_" + outcome));
        Request<P> r = requests.get(a.request);
        r.out--;
        r.timedOut |= outcome == Outcome.TIMED_OUT;
        if (outcome == Outcome.SERVED && result == null && !r.over) {
            failRequest(r, false);
        } else if (outcome == Outcome.SERVED && !r.over) {
            close(r);
            metrics.ended(Ending.ANSWERED, r.jobClass);
            answer(() -> r.asker.served(result));
        }
        tell(a.request, () -> {
            module.outcome(clock.getAsLong(), a.request, a.number, a.backend, outcome, r.over, report);
            forget(a.request);
        });
    }

    private void failRequest(Request<P> r, boolean late) {
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

    private void close(Request<P> r) {
        r.over = true;
        open--;
        deadlines.cancel(r.overdue);
        // Guards against a connection that comes up late and takes an attempt whose client has left or has its answer,
        // also where nothing that was sent may be cancelled: none of this one was.
        for (long handle : List.copyOf(r.attempts)) {
            withdraw(handle);
        }
    }

    /** Takes an attempt back of which nothing has been written: it surely never ran. */
    public void withdraw(long attempt) {
        Attempt a = attempts.get(attempt);
        if (a != null && outbound.withdraw(attempt)) {
            attempts.remove(attempt);
            deadlines.cancel(a.limit);
            tell(a.request, () -> over(a, Outcome.MOOT, null, null));
        }
    }

    /** A request leaves the table once nothing more can be told of it. */
    private void forget(long id) {
        Request<P> r = requests.get(id);
        if (r != null && r.over && r.out == 0) {
            requests.remove(id);
        }
    }

    /**
     * Tells the module of events one after another: what an action brings about at once waits until the event that
     * caused it has been dealt with. An exception ends the request it came up in (0: none), not the process.
     */
    private void tell(long request, Runnable event) {
        events.add(() -> {
            try {
                event.run();
            } catch (RuntimeException e) {
                metrics.add(Count.EXCEPTIONS);
                Logger.error(e, "exception in an event");
                Request<P> r = requests.get(request);
                if (r != null && !r.over) {
                    failRequest(r, false);
                    // Guards against a request that has its answer and that the module goes on holding, and sends later.
                    leave(request);
                }
                forget(request);
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
        Request<P> r = requests.get(job);
        if (r == null) {
            throw new IllegalStateException("the module sends a req that has ended");
        }
        Attempt a = new Attempt(job, r.attempts.size(), worker);
        r.out++;
        if (!r.mayAttempt(clock.getAsLong(), maxAttempts)) {
            r.attempts.add(0L);
            tell(job, () -> over(a, Outcome.MOOT, null, null));
            return;
        }
        metrics.add(Count.FETCHES_SENT);
        long handle = attempts.add(a);
        r.attempts.add(handle);
        a.limit = deadlines.at(r.attemptLimit, () -> timedOut(handle));
        outbound.attempt(handle, worker, r.payload, r.attemptLimit);
    }

    @Override public void refuse(long job, long comeBack) {
        Request<P> r = requests.get(job);
        if (r != null && !r.over) {
            close(r);
            metrics.ended(Ending.DEFERRED, r.jobClass);
            answer(() -> r.asker.synthetic(comeBack));
            tell(job, () -> forget(job));
        }
    }

    @Override public void fail(long job) {
        Request<P> r = requests.get(job);
        if (r != null && !r.over) {
            failRequest(r, r.timedOut);
            tell(job, () -> forget(job));
        }
    }

    @Override public void cancel(long job, int attempt) {
        Request<P> r = requests.get(job);
        long handle = r == null || attempt >= r.attempts.size() ? 0 : r.attempts.get(attempt);
        Attempt a = attempts.remove(handle);
        if (a != null) {
            deadlines.cancel(a.limit);
            outbound.abort(handle);
            tell(job, () -> over(a, Outcome.CANCELLED, null, null));
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
