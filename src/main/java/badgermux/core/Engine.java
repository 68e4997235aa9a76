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
 * Carries out the decisions of the dispatch policy and passes all events to it. The engine tracks requests, attempts and
 * deadlines, and is independent of the protocols of clients and backends. Not thread-safe: all calls come from the event loop.
 *
 * @param <P> the payload of a request, passed from the frontend to the backend client
 */
public final class Engine<P> implements DispatchPolicy.Actions {
    /**
     * An attempt ends this long before its client gives up: the client's time already ran while the request was on its way
     * to this dispatcher.
     */
    static final long ATTEMPT_MARGIN_MICROS = 30_000;
    /** A request still open this long before its client gives up fails, whatever the policy does. */
    public static final long ANSWER_MARGIN_MICROS = 15_000;

    /** A request until its final answer and the outcome of its last attempt. */
    private static final class PendingRequest<P> {
        private final ResponseListener listener;
        private final P payload;
        private final int requestClass;
        private final long attemptDeadline;
        private final boolean isDeadlineKnown;
        /** The handles of its attempts by attempt number; 0 for one that was not sent. */
        private final List<Long> attemptHandles = new ArrayList<>(2);
        private Deadlines.Deadline answerDeadline;
        private int attemptsInFlight;
        /** Attempts that have no outcome which proves that they did not run. */
        private int attemptsThatMayHaveRun;
        private boolean isClosed;
        private boolean hasTimedOut;

        PendingRequest(ResponseListener listener, P payload, int requestClass, long attemptDeadline,
                boolean isDeadlineKnown) {
            this.listener = listener;
            this.payload = payload;
            this.requestClass = requestClass;
            this.attemptDeadline = attemptDeadline;
            this.isDeadlineKnown = isDeadlineKnown;
        }

        /**
         * Whether another attempt may start. If the client's deadline is unknown, only the first attempt may: a later one
         * could give its backend more time than the client has left.
         */
        boolean mayAttempt(long now, int maxAttempts) {
            return !isClosed && attemptHandles.size() < (isDeadlineKnown ? maxAttempts : 1) && now < attemptDeadline;
        }
    }

    /** One attempt at a backend; {@code deadline} ends it. */
    private static final class Attempt {
        private final long requestId;
        private final int number;
        private final long backendId;
        private Deadlines.Deadline deadline;

        Attempt(long requestId, int number, long backendId) {
            this.requestId = requestId;
            this.number = number;
            this.backendId = backendId;
        }
    }

    private final HandleTable<PendingRequest<P>> requests = new HandleTable<>();
    private final HandleTable<Attempt> attempts = new HandleTable<>();
    private final ArrayDeque<Runnable> pendingEvents = new ArrayDeque<>();
    private final LongSupplier clock;
    private final Deadlines deadlines;
    private final Metrics metrics;
    private final int maxAttempts;
    private final boolean rejectedMayHaveRun;
    private DispatchPolicy policy;
    private BackendClient<P> backendClient;
    private Runnable backendListWatcher;
    private boolean isDispatchingEvents;
    private int openRequestCount;

    /** Creates an engine that makes at most {@code maxAttempts} attempts for a request, and rejected attempts have not run. */
    public Engine(LongSupplier clock, Deadlines deadlines, Metrics metrics, int maxAttempts) {
        this(clock, deadlines, metrics, maxAttempts, false);
    }

    /** The same where it is set whether an attempt that a backend rejected may have run. */
    public Engine(LongSupplier clock, Deadlines deadlines, Metrics metrics, int maxAttempts, boolean rejectedMayHaveRun) {
        this.rejectedMayHaveRun = rejectedMayHaveRun;
        this.clock = clock;
        this.deadlines = deadlines;
        this.metrics = metrics;
        this.maxAttempts = maxAttempts;
        metrics.registerDumpGauge("current", () -> openRequestCount);
        metrics.registerGauge("fetches_out", attempts::size);
    }

    /**
     * Connects the components that need the engine for their own construction; called once, before any event.
     *
     * @param watcher subscribes to changes of the backend list
     */
    public void connect(DispatchPolicy dispatchPolicy, BackendClient<P> client, Runnable watcher) {
        policy = dispatchPolicy;
        backendClient = client;
        backendListWatcher = watcher;
    }

    /** Returns the number of requests without a final answer. */
    public int openRequestCount() {
        return openRequestCount;
    }

    // ---- Events from the frontend

    /**
     * Accepts a request and passes it to the dispatch policy.
     *
     * @param deadline        when the client gives up, in microseconds on the clock; if unknown, the latest possible time
     * @param isDeadlineKnown whether {@code deadline} is exact; it is not if the client's connection waited to be accepted
     * @return the handle of the request, for {@link #clientDisconnected}
     */
    public long submit(ResponseListener listener, P payload, int requestClass, int tenant, double slots, long deadline,
            boolean isDeadlineKnown) {
        metrics.increment(Count.REQS_TAKEN);
        PendingRequest<P> request = new PendingRequest<>(listener, payload, requestClass, deadline - ATTEMPT_MARGIN_MICROS,
            isDeadlineKnown);
        long id = requests.add(request);
        openRequestCount++;
        request.answerDeadline = deadlines.scheduleAt(deadline - ANSWER_MARGIN_MICROS, () -> failOverdue(id));
        // The policy is given the time until attempts end, which leaves it time to answer after a time-out.
        dispatchEvent(id, () -> {
            long now = clock.getAsLong();
            policy.requestReceived(now, new DispatchPolicy.Request(id, requestClass, tenant, slots, 0,
                Math.max(0, deadline - ATTEMPT_MARGIN_MICROS - now)));
        });
        return id;
    }

    /**
     * Closes a request whose client disconnected before its final answer.
     *
     * @return whether an attempt may have run, or may still run
     */
    public boolean clientDisconnected(long id) {
        PendingRequest<P> request = requests.get(id);
        if (request == null || request.isClosed) {
            return false;
        }
        metrics.increment(Count.CLIENTS_GONE);
        closeRequest(request);
        notifyRequestClosed(id);
        return request.attemptsThatMayHaveRun > 0;
    }

    /** Whether an attempt of a request may have run, or may still run; false for a request that is not known any more. */
    public boolean mayHaveRun(long id) {
        PendingRequest<P> request = requests.get(id);
        return request != null && request.attemptsThatMayHaveRun > 0;
    }

    /** Ends a request in the policy that was closed without one of its decisions, as if its client had disconnected. */
    private void notifyRequestClosed(long id) {
        dispatchEvent(id, () -> {
            policy.clientDisconnected(clock.getAsLong(), id);
            removeIfFinished(id);
        });
    }

    /** Fails a request that is still open shortly before its client gives up, so that no request goes unanswered. */
    private void failOverdue(long id) {
        PendingRequest<P> request = requests.get(id);
        if (request == null || request.isClosed) {
            return;
        }
        metrics.increment(Count.ANSWERS_OVERDUE);
        failRequest(request, true);
        notifyRequestClosed(id);
    }

    // ---- Events from the backends

    /** A backend has started to run an attempt. */
    public void attemptStarted(long handle) {
        Attempt attempt = findAttempt(handle);
        if (attempt != null) {
            dispatchEvent(attempt.requestId,
                () -> policy.attemptStarted(clock.getAsLong(), attempt.requestId, attempt.number));
        }
    }

    /** A backend has reported that an attempt is still running. */
    public void attemptProgressed(long handle) {
        Attempt attempt = findAttempt(handle);
        if (attempt != null) {
            dispatchEvent(attempt.requestId,
                () -> policy.attemptProgressed(clock.getAsLong(), attempt.requestId, attempt.number));
        }
    }

    /**
     * An attempt has ended.
     *
     * @param result the response if the outcome is SERVED; null if that response is unusable, in which case the request
     *               fails and is not sent again
     * @param report the load report that came with the response; may be null
     */
    public void attemptEnded(long handle, Outcome outcome, byte[] result, DispatchPolicy.LoadReport report) {
        Attempt attempt = attempts.remove(handle);
        if (attempt == null) {
            metrics.increment(Count.LATE_EVENTS);
            return;
        }
        deadlines.cancel(attempt.deadline);
        finishAttempt(attempt, outcome, result, report);
    }

    /** A probe has ended; {@code report} may be null. */
    public void probeEnded(long backendId, boolean answered, DispatchPolicy.LoadReport report) {
        if (answered) {
            metrics.increment(Count.PROBES_ANSWERED);
        }
        dispatchEvent(0, () -> policy.probeEnded(clock.getAsLong(), backendId, answered, report));
    }

    /** Returns an attempt, or null if it has ended; the event is counted as late then. */
    private Attempt findAttempt(long handle) {
        Attempt attempt = attempts.get(handle);
        if (attempt == null) {
            metrics.increment(Count.LATE_EVENTS);
        }
        return attempt;
    }

    // ---- Hot restart and shutdown

    /** Returns the policy's learned state for the next process. */
    public DispatchPolicy.LearnedState exportLearnedState() {
        return policy.exportLearnedState();
    }

    /** Passes the learned state of the previous process to the policy. */
    public void importLearnedState(DispatchPolicy.LearnedState learnedState) {
        policy.importLearnedState(learnedState);
    }

    /**
     * Answers some of the open requests now because this process is about to exit. Requests without an attempt come first,
     * because they are the cheapest to end.
     *
     * @param limit the most requests to answer
     */
    public void answerBeforeExit(int limit) {
        List<Long> selected = new ArrayList<>(requests.findHandles(
            request -> !request.isClosed && request.attemptHandles.isEmpty(), limit));
        selected.addAll(requests.findHandles(
            request -> !request.isClosed && !request.attemptHandles.isEmpty(), limit - selected.size()));
        for (long id : selected) {
            dispatchEvent(id, () -> policy.answerBeforeExit(clock.getAsLong(), id));
            dispatchEvent(id, () -> failIfUnanswered(id));
        }
    }

    /** Fails a request that the policy has left open although the process exits. */
    private void failIfUnanswered(long id) {
        PendingRequest<P> request = requests.get(id);
        if (request != null && !request.isClosed) {
            failRequest(request, true);
            notifyRequestClosed(id);
        }
    }

    /** Whether the policy currently sends no requests to a backend. */
    public boolean isAvoided(long backendId) {
        return policy.isAvoided(backendId);
    }

    /** Whether the policy may use the backend list; it holds all requests until then. */
    public boolean hasUsableList() {
        return policy.hasUsableList(clock.getAsLong());
    }

    // ---- Events from discovery

    /** The backend list was updated, or a call to discovery failed. */
    public void backendsListed(DispatchPolicy.ListUpdate update, List<DispatchPolicy.Backend> list) {
        dispatchEvent(0, () -> policy.backendsListed(clock.getAsLong(), update, list));
    }

    // ---- Outcomes and final answers

    private void attemptTimedOut(long handle) {
        Attempt attempt = attempts.remove(handle);
        if (attempt != null) {
            backendClient.abort(handle);
            finishAttempt(attempt, Outcome.TIMED_OUT, null, null);
        }
    }

    /**
     * Passes the first result to the client at once, and every outcome to the policy, along with whether the request is
     * closed by then.
     */
    private void finishAttempt(Attempt attempt, Outcome outcome, byte[] result, DispatchPolicy.LoadReport report) {
        metrics.increment(Count.valueOf("FETCHES_" + outcome));
        PendingRequest<P> request = requests.get(attempt.requestId);
        request.attemptsInFlight--;
        if (outcome.neverRan() && !(rejectedMayHaveRun && outcome == Outcome.REJECTED)) {
            request.attemptsThatMayHaveRun--;
        }
        request.hasTimedOut |= outcome == Outcome.TIMED_OUT;
        if (outcome == Outcome.SERVED && result == null && !request.isClosed) {
            failRequest(request, false);
        } else if (outcome == Outcome.SERVED && !request.isClosed) {
            closeRequest(request);
            metrics.recordEnding(Ending.ANSWERED, request.requestClass);
            notifyListener(() -> request.listener.onServed(result));
        }
        dispatchEvent(attempt.requestId, () -> {
            policy.attemptEnded(clock.getAsLong(), attempt.requestId, attempt.number, attempt.backendId, outcome,
                request.isClosed, report);
            removeIfFinished(attempt.requestId);
        });
    }

    private void failRequest(PendingRequest<P> request, boolean timedOut) {
        closeRequest(request);
        metrics.recordEnding(Ending.ERRORED, request.requestClass);
        notifyListener(() -> request.listener.onFailed(timedOut));
    }

    /** Calls a listener. An exception there, from a client's connection, must not keep the outcome from the policy. */
    private void notifyListener(Runnable notification) {
        try {
            notification.run();
        } catch (RuntimeException e) {
            metrics.increment(Count.EXCEPTIONS);
            Logger.error(e, "Uncaught exception in a response listener");
        }
    }

    private void closeRequest(PendingRequest<P> request) {
        request.isClosed = true;
        openRequestCount--;
        deadlines.cancel(request.answerDeadline);
        // Unwritten attempts are withdrawn even where attempts cannot be cancelled: otherwise a connection that is established
        // late would still send an attempt whose client has disconnected or has its answer.
        for (long handle : List.copyOf(request.attemptHandles)) {
            withdraw(handle);
        }
    }

    /** Ends an attempt as MOOT if none of its bytes has been written, which proves that it did not run. */
    public void withdraw(long handle) {
        Attempt attempt = attempts.get(handle);
        if (attempt != null && backendClient.withdraw(handle)) {
            attempts.remove(handle);
            deadlines.cancel(attempt.deadline);
            dispatchEvent(attempt.requestId, () -> finishAttempt(attempt, Outcome.MOOT, null, null));
        }
    }

    /** Removes a request that is closed and has no attempt in flight, so that no further event can concern it. */
    private void removeIfFinished(long id) {
        PendingRequest<P> request = requests.get(id);
        if (request != null && request.isClosed && request.attemptsInFlight == 0) {
            requests.remove(id);
        }
    }

    /**
     * Runs an event after those queued before it. An event caused by an action of the policy waits until the event that led
     * to the action is complete. An exception fails the event's request, not the process.
     *
     * @param requestId the request that the event concerns; 0 for none
     */
    private void dispatchEvent(long requestId, Runnable event) {
        pendingEvents.add(() -> {
            try {
                event.run();
            } catch (RuntimeException e) {
                metrics.increment(Count.EXCEPTIONS);
                Logger.error(e, "Uncaught exception in an engine event");
                PendingRequest<P> request = requests.get(requestId);
                if (request != null && !request.isClosed) {
                    failRequest(request, false);
                    // Otherwise the policy would keep the answered request and send it later.
                    notifyRequestClosed(requestId);
                }
                removeIfFinished(requestId);
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

    // ---- Actions of the policy

    @Override public void send(long requestId, long backendId) {
        PendingRequest<P> request = requests.get(requestId);
        if (request == null) {
            throw new IllegalStateException("request to be sent has already ended");
        }
        Attempt attempt = new Attempt(requestId, request.attemptHandles.size(), backendId);
        request.attemptsInFlight++;
        request.attemptsThatMayHaveRun++;
        if (!request.mayAttempt(clock.getAsLong(), maxAttempts)) {
            request.attemptHandles.add(0L);
            dispatchEvent(requestId, () -> finishAttempt(attempt, Outcome.MOOT, null, null));
            return;
        }
        metrics.increment(Count.FETCHES_SENT);
        long handle = attempts.add(attempt);
        request.attemptHandles.add(handle);
        attempt.deadline = deadlines.scheduleAt(request.attemptDeadline, () -> attemptTimedOut(handle));
        backendClient.startAttempt(handle, backendId, request.payload, request.attemptDeadline);
    }

    @Override public void refuse(long requestId, long retryAfterMicros) {
        PendingRequest<P> request = requests.get(requestId);
        if (request != null && !request.isClosed) {
            closeRequest(request);
            metrics.recordEnding(Ending.DEFERRED, request.requestClass);
            notifyListener(() -> request.listener.onRefused(retryAfterMicros));
            dispatchEvent(requestId, () -> removeIfFinished(requestId));
        }
    }

    @Override public void fail(long requestId) {
        PendingRequest<P> request = requests.get(requestId);
        if (request != null && !request.isClosed) {
            failRequest(request, request.hasTimedOut);
            dispatchEvent(requestId, () -> removeIfFinished(requestId));
        }
    }

    @Override public void cancel(long requestId, int attemptNumber) {
        PendingRequest<P> request = requests.get(requestId);
        long handle = request == null || attemptNumber >= request.attemptHandles.size() ? 0
            : request.attemptHandles.get(attemptNumber);
        Attempt attempt = attempts.remove(handle);
        if (attempt != null) {
            deadlines.cancel(attempt.deadline);
            backendClient.abort(handle);
            dispatchEvent(requestId, () -> finishAttempt(attempt, Outcome.CANCELLED, null, null));
        }
    }

    @Override public void startTimer(long delayMicros, int token) {
        deadlines.scheduleAfter(delayMicros,
            () -> dispatchEvent(0, () -> policy.timerFired(clock.getAsLong(), token)));
    }

    @Override public void probe(long backendId) {
        metrics.increment(Count.PROBES_SENT);
        backendClient.probe(backendId);
    }

    @Override public void closeIdleConnections(long backendId) {
        backendClient.closeIdleConnections(backendId);
    }

    @Override public void watchBackendList() {
        backendListWatcher.run();
    }

    @Override public void log(String line) {
        Logger.info(line);
    }
}
