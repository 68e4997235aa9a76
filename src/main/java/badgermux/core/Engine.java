package badgermux.core;

import badgermux.decide.DispatchPolicy;
import badgermux.decide.DispatchPolicy.Outcome;
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
public final class Engine<P> implements DispatchPolicy.Actions {
    /** An attempt ends this long before its client gives up: its deadline ran while the request was on its way here. */
    static final long ATTEMPT_MARGIN_MICROS = 30_000;
    /** A request that is unanswered this long before its client gives up is failed, whatever the module does. */
    static final long ANSWER_MARGIN_MICROS = 15_000;

    /** A client's request until its final answer and the last outcome of its attempts. */
    private static final class PendingRequest<P> {
        private final ResponseListener listener;
        private final P payload;
        private final int requestClass;
        private final long attemptDeadline;
        private final boolean isDeadlineKnown;
        private final List<Long> attemptHandles = new ArrayList<>(2);
        private Deadlines.Deadline answerDeadline;
        private int attemptsInFlight;
        private boolean isClosed;
        private boolean hasTimedOut;

        PendingRequest(ResponseListener asker, P payload, int jobClass, long attemptLimit, boolean timeKnown) {
            this.listener = asker;
            this.payload = payload;
            this.requestClass = jobClass;
            this.attemptDeadline = attemptLimit;
            this.isDeadlineKnown = timeKnown;
        }

        /**
         * Whether one attempt more may begin. Guards against a further attempt that tells its backend more time than its
         * client has: where that is not known, there is only a first one.
         */
        boolean mayAttempt(long now, int maxAttempts) {
            return !isClosed && attemptHandles.size() < (isDeadlineKnown ? maxAttempts : 1) && now < attemptDeadline;
        }
    }

    /** One attempt at a backend; {@code limit} ends it. */
    private static final class Attempt {
        private final long requestId;
        private final int number;
        private final long backendId;
        private Deadlines.Deadline deadline;

        Attempt(long request, int number, long backend) {
            this.requestId = request;
            this.number = number;
            this.backendId = backend;
        }
    }

    private final HandleTable<PendingRequest<P>> requests = new HandleTable<>();
    private final HandleTable<Attempt> attempts = new HandleTable<>();
    private final ArrayDeque<Runnable> pendingEvents = new ArrayDeque<>();
    private final LongSupplier clock;
    private final Deadlines deadlines;
    private final Metrics metrics;
    private final int maxAttempts;
    private DispatchPolicy policy;
    private BackendClient<P> backendClient;
    private Runnable watch;
    private boolean isDispatchingEvents;
    private int openRequestCount;

    public Engine(LongSupplier clock, Deadlines deadlines, Metrics metrics, int maxAttempts) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.metrics = metrics;
        this.maxAttempts = maxAttempts;
        metrics.registerDumpGauge("current", () -> openRequestCount);
        metrics.registerGauge("fetches_out", attempts::size);
    }

    /** Joins the parts that need the engine to be made; called once, before any event. */
    public void connect(DispatchPolicy decisions, BackendClient<P> backends, Runnable watchList) {
        policy = decisions;
        backendClient = backends;
        watch = watchList;
    }

    /** How many requests wait for their final answer. */
    public int openRequestCount() {
        return openRequestCount;
    }

    // ---- From the front

    /**
     * Takes a request of a class and a tenant in.
     *
     * @param until     when its client gives up, in microseconds on the clock; the latest time, where it is not known
     * @param timeKnown whether that is known: its connection did not wait to be let in
     * @return the handle for {@link #clientDisconnected}
     */
    public long submit(ResponseListener asker, P payload, int jobClass, int tenant, double slots, long until, boolean timeKnown) {
        metrics.increment(Count.REQS_TAKEN);
        PendingRequest<P> r = new PendingRequest<>(asker, payload, jobClass, until - ATTEMPT_MARGIN_MICROS, timeKnown);
        long id = requests.add(r);
        openRequestCount++;
        r.answerDeadline = deadlines.scheduleAt(until - ANSWER_MARGIN_MICROS, () -> failOverdue(id));
        // The module counts on the time until attempts end, which leaves it room to answer after a time-out.
        dispatchEvent(id, () -> {
            long now = clock.getAsLong();
            policy.requestReceived(now, new DispatchPolicy.Request(id, jobClass, tenant, slots, 0, Math.max(0, until - ATTEMPT_MARGIN_MICROS - now)));
        });
        return id;
    }

    /** The client has left before its final answer. */
    public void clientDisconnected(long id) {
        PendingRequest<P> r = requests.get(id);
        if (r == null || r.isClosed) {
            return;
        }
        metrics.increment(Count.CLIENTS_GONE);
        closeRequest(r);
        exportLearnedState(id);
    }

    private void exportLearnedState(long id) {
        dispatchEvent(id, () -> {
            policy.clientDisconnected(clock.getAsLong(), id);
            removeIfFinished(id);
        });
    }

    /** Guards against a request that the module holds beyond its client's patience: none goes unanswered. */
    private void failOverdue(long id) {
        PendingRequest<P> r = requests.get(id);
        if (r == null || r.isClosed) {
            return;
        }
        metrics.increment(Count.ANSWERS_OVERDUE);
        failRequest(r, true);
        exportLearnedState(id);
    }

    // ---- From the backends

    public void attemptStarted(long attempt) {
        Attempt a = findAttempt(attempt);
        if (a != null) {
            dispatchEvent(a.requestId, () -> policy.attemptStarted(clock.getAsLong(), a.requestId, a.number));
        }
    }

    public void attemptProgressed(long attempt) {
        Attempt a = findAttempt(attempt);
        if (a != null) {
            dispatchEvent(a.requestId, () -> policy.attemptProgressed(clock.getAsLong(), a.requestId, a.number));
        }
    }

    /**
     * An attempt has ended; {@code result} is its answer where the outcome is SERVED, {@code report} may be null. Where a
     * backend has served what can't be used, the result is null: the request fails, and it does not run again.
     */
    public void attemptEnded(long attempt, Outcome outcome, byte[] result, DispatchPolicy.LoadReport report) {
        Attempt a = attempts.remove(attempt);
        if (a == null) {
            metrics.increment(Count.LATE_EVENTS);
            return;
        }
        deadlines.cancel(a.deadline);
        finishAttempt(a, outcome, result, report);
    }

    public void probeEnded(long backend, boolean answered, DispatchPolicy.LoadReport report) {
        if (answered) {
            metrics.increment(Count.PROBES_ANSWERED);
        }
        dispatchEvent(0, () -> policy.probeEnded(clock.getAsLong(), backend, answered, report));
    }

    private Attempt findAttempt(long attempt) {
        Attempt a = attempts.get(attempt);
        if (a == null) {
            metrics.increment(Count.LATE_EVENTS);
        }
        return a;
    }

    /** What the module leaves to the next process. */
    public DispatchPolicy.LearnedState exportLearnedState() {
        return policy.exportLearnedState();
    }

    /** Has the module go on from what the process before left. */
    public void importLearnedState(DispatchPolicy.LearnedState left) {
        policy.importLearnedState(left);
    }

    /**
     * Has some of the open requests answered now, as this process is about to be ended: those first of which no attempt has
     * been made, whose end is the cheapest.
     *
     * @param most how many at most
     */
    public void answerBeforeExit(int most) {
        List<Long> chosen = new ArrayList<>(requests.findHandles(r -> !r.isClosed && r.attemptHandles.isEmpty(), most));
        chosen.addAll(requests.findHandles(r -> !r.isClosed && !r.attemptHandles.isEmpty(), most - chosen.size()));
        for (long id : chosen) {
            dispatchEvent(id, () -> policy.answerBeforeExit(clock.getAsLong(), id));
            dispatchEvent(id, () -> failIfUnanswered(id));
        }
    }

    /** Guards against a request that the module leaves open although its process ends. */
    private void failIfUnanswered(long id) {
        PendingRequest<P> r = requests.get(id);
        if (r != null && !r.isClosed) {
            failRequest(r, true);
            exportLearnedState(id);
        }
    }

    /** Whether the module gives a backend no work now. */
    public boolean isAvoided(long backend) {
        return policy.isAvoided(backend);
    }

    // ---- From discovery

    public void backendsListed(DispatchPolicy.ListUpdate update, List<DispatchPolicy.Backend> list) {
        dispatchEvent(0, () -> policy.backendsListed(clock.getAsLong(), update, list));
    }

    // ---- Outcomes and final answers

    private void attemptTimedOut(long attempt) {
        Attempt a = attempts.remove(attempt);
        if (a != null) {
            backendClient.abort(attempt);
            finishAttempt(a, Outcome.TIMED_OUT, null, null);
        }
    }

    /** The first result reaches the client at once; each outcome is told, with whether its request is settled by then. */
    private void finishAttempt(Attempt a, Outcome outcome, byte[] result, DispatchPolicy.LoadReport report) {
        metrics.increment(Count.valueOf("FETCHES_" + outcome));
        PendingRequest<P> r = requests.get(a.requestId);
        r.attemptsInFlight--;
        r.hasTimedOut |= outcome == Outcome.TIMED_OUT;
        if (outcome == Outcome.SERVED && result == null && !r.isClosed) {
            failRequest(r, false);
        } else if (outcome == Outcome.SERVED && !r.isClosed) {
            closeRequest(r);
            metrics.recordEnding(Ending.ANSWERED, r.requestClass);
            notifyListener(() -> r.listener.onServed(result));
        }
        dispatchEvent(a.requestId, () -> {
            policy.attemptEnded(clock.getAsLong(), a.requestId, a.number, a.backendId, outcome, r.isClosed, report);
            removeIfFinished(a.requestId);
        });
    }

    private void failRequest(PendingRequest<P> r, boolean late) {
        closeRequest(r);
        metrics.recordEnding(Ending.ERRORED, r.requestClass);
        notifyListener(() -> r.listener.onFailed(late));
    }

    /** Guards against an outcome that the module never hears of, since its client's connection had an exception. */
    private void notifyListener(Runnable asker) {
        try {
            asker.run();
        } catch (RuntimeException e) {
            metrics.increment(Count.EXCEPTIONS);
            Logger.error(e, "exception at an answer");
        }
    }

    private void closeRequest(PendingRequest<P> r) {
        r.isClosed = true;
        openRequestCount--;
        deadlines.cancel(r.answerDeadline);
        // Guards against a connection that comes up late and takes an attempt whose client has left or has its answer,
        // also where nothing that was sent may be cancelled: none of this one was.
        for (long handle : List.copyOf(r.attemptHandles)) {
            withdraw(handle);
        }
    }

    /** Takes an attempt back of which nothing has been written: it surely never ran. */
    public void withdraw(long attempt) {
        Attempt a = attempts.get(attempt);
        if (a != null && backendClient.withdraw(attempt)) {
            attempts.remove(attempt);
            deadlines.cancel(a.deadline);
            dispatchEvent(a.requestId, () -> finishAttempt(a, Outcome.MOOT, null, null));
        }
    }

    /** A request leaves the table once nothing more can be told of it. */
    private void removeIfFinished(long id) {
        PendingRequest<P> r = requests.get(id);
        if (r != null && r.isClosed && r.attemptsInFlight == 0) {
            requests.remove(id);
        }
    }

    /**
     * Tells the module of events one after another: what an action brings about at once waits until the event that
     * caused it has been dealt with. An exception ends the request it came up in (0: none), not the process.
     */
    private void dispatchEvent(long request, Runnable event) {
        pendingEvents.add(() -> {
            try {
                event.run();
            } catch (RuntimeException e) {
                metrics.increment(Count.EXCEPTIONS);
                Logger.error(e, "exception in an event");
                PendingRequest<P> r = requests.get(request);
                if (r != null && !r.isClosed) {
                    failRequest(r, false);
                    // Guards against a request that has its answer and that the module goes on holding, and sends later.
                    exportLearnedState(request);
                }
                removeIfFinished(request);
            }
        });
        if (isDispatchingEvents) {
            return;
        }
        isDispatchingEvents = true;
        try {
            for (Runnable next = pendingEvents.poll(); next != null; next = pendingEvents.poll()) {
                next.run();
            }
        } finally {
            isDispatchingEvents = false;
        }
    }

    // ---- What the module decides

    @Override public void send(long job, long worker) {
        PendingRequest<P> r = requests.get(job);
        if (r == null) {
            throw new IllegalStateException("the module sends a req that has ended");
        }
        Attempt a = new Attempt(job, r.attemptHandles.size(), worker);
        r.attemptsInFlight++;
        if (!r.mayAttempt(clock.getAsLong(), maxAttempts)) {
            r.attemptHandles.add(0L);
            dispatchEvent(job, () -> finishAttempt(a, Outcome.MOOT, null, null));
            return;
        }
        metrics.increment(Count.FETCHES_SENT);
        long handle = attempts.add(a);
        r.attemptHandles.add(handle);
        a.deadline = deadlines.scheduleAt(r.attemptDeadline, () -> attemptTimedOut(handle));
        backendClient.startAttempt(handle, worker, r.payload, r.attemptDeadline);
    }

    @Override public void refuse(long job, long comeBack) {
        PendingRequest<P> r = requests.get(job);
        if (r != null && !r.isClosed) {
            closeRequest(r);
            metrics.recordEnding(Ending.DEFERRED, r.requestClass);
            notifyListener(() -> r.listener.onRefused(comeBack));
            dispatchEvent(job, () -> removeIfFinished(job));
        }
    }

    @Override public void fail(long job) {
        PendingRequest<P> r = requests.get(job);
        if (r != null && !r.isClosed) {
            failRequest(r, r.hasTimedOut);
            dispatchEvent(job, () -> removeIfFinished(job));
        }
    }

    @Override public void cancel(long job, int attempt) {
        PendingRequest<P> r = requests.get(job);
        long handle = r == null || attempt >= r.attemptHandles.size() ? 0 : r.attemptHandles.get(attempt);
        Attempt a = attempts.remove(handle);
        if (a != null) {
            deadlines.cancel(a.deadline);
            backendClient.abort(handle);
            dispatchEvent(job, () -> finishAttempt(a, Outcome.CANCELLED, null, null));
        }
    }

    @Override public void startTimer(long delay, int token) {
        deadlines.scheduleAfter(delay, () -> dispatchEvent(0, () -> policy.timerFired(clock.getAsLong(), token)));
    }

    @Override public void probe(long worker) {
        metrics.increment(Count.PROBES_SENT);
        backendClient.probe(worker);
    }

    @Override public void closeIdleConnections(long worker) {
        backendClient.closeIdleConnections(worker);
    }

    @Override public void watchBackendList() {
        watch.run();
    }

    @Override public void log(String line) {
        Logger.info(line);
    }
}
