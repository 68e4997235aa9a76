package badgermux.decide;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Interface of the decision module: its settings, the events that it receives, and the {@link Actions} that
 * it answers with. Times and spans are microseconds on the caller's clock. Events for requests, attempts and
 * timers that are not known, or not known any more, are ignored.
 */
public interface DispatchPolicy {

    /**
     * What it means to run a request again: REPEATABLE requests may be repeated freely, BY_KEY requests only
     * among backends that recognize their key, ONCE requests never.
     */
    enum Effect { REPEATABLE, BY_KEY, ONCE }

    /** The backends that recognize each other's keys and drop repeats: all, or those of a zone or cell. */
    enum DedupScope { ALL, ZONE, CELL }

    /** How load reports arrive: in responses to requests, in answers to probes, or not at all. */
    enum ReportMode { IN_RESPONSES, ON_PROBE, NEVER }

    /**
     * What a backend list contains: changes, the complete list, the complete list as it was before a restart,
     * or nothing since the call to discovery failed.
     */
    enum ListUpdate { DELTA, FULL, CACHED, FAILED }

    /** The state of a backend in the list. */
    enum BackendState { GONE, READY, DRAINING }

    /**
     * How an attempt ended. MOOT: the dispatcher dropped it before anything was sent. UNFIT: the backend
     * could not use the request, through the client's fault or its own.
     */
    enum Outcome {
        SERVED, ERROR, REJECTED, TIMED_OUT, CONNECT_FAILED, RESET, CANCELLED, MOOT, UNFIT;

        /** Whether the outcome proves that the attempt did not run; {@link Settings#rejectedMayHaveRun}. */
        public boolean neverRan() {
            return this == REJECTED || this == CONNECT_FAILED || this == MOOT;
        }

        /** Whether the dispatcher ended the attempt, so that the outcome says nothing about the backend. */
        boolean isLocal() {
            return this == CANCELLED || this == MOOT;
        }

        /** Whether the backend sent the outcome as a response: its connection is open and idle now. */
        boolean isResponse() {
            return this == SERVED || this == ERROR || this == REJECTED || this == UNFIT;
        }
    }

    /**
     * A class of requests.
     *
     * @param name                used in messages only
     * @param effect              what it means to run a request again
     * @param dedupScope          backends that drop repeats, where {@code effect} is BY_KEY
     * @param targetMicros        target time: an answer within this span, plus {@code targetStretch} times
     *                            the request's own work, earns the full worth
     * @param targetStretch       part of the target time that grows with the work
     * @param clientTimeoutMicros how long a client waits for the final answer in all
     * @param dedupWindowMicros   how long the backends of a scope remember a key
     * @param worth               what an answer in time earns, in relation to other classes
     * @param lateWorthShare      share of the worth that a late answer earns
     * @param allowedKinds        the only kinds of backends that it may be sent to; null for any
     * @param allowedZones        the only zones that it may be sent to; null for any
     * @param streamed            whether its responses are streamed
     */
    record RequestClass(String name, Effect effect, DedupScope dedupScope, long targetMicros,
            double targetStretch, long clientTimeoutMicros, long dedupWindowMicros, double worth,
            double lateWorthShare, Set<Integer> allowedKinds, Set<Integer> allowedZones, boolean streamed) {
        public RequestClass {
            require(effect != null && dedupScope != null,
                "effect and dedupScope of class " + name + " are required");
            require(targetMicros >= 0 && clientTimeoutMicros > 0 && dedupWindowMicros >= 0,
                "targetMicros, clientTimeoutMicros or dedupWindowMicros of class " + name + " is too small");
            require(targetStretch >= 0 && worth >= 0 && lateWorthShare >= 0,
                "targetStretch, worth or lateWorthShare of class " + name + " is negative");
        }

        /**
         * A class that may run in any zone, and on one kind of backend, or on any where {@code kind} is -1.
         */
        public RequestClass(String name, Effect effect, DedupScope dedupScope, long targetMicros,
                double targetStretch, long clientTimeoutMicros, long dedupWindowMicros, double worth,
                double lateWorthShare, int kind, boolean streamed) {
            this(name, effect, dedupScope, targetMicros, targetStretch, clientTimeoutMicros,
                dedupWindowMicros, worth, lateWorthShare, kind < 0 ? null : Set.of(kind), null, streamed);
        }

        /** Whether it may ever be sent to a backend, however few others are left. */
        boolean mayRunOn(Backend backend) {
            return (allowedKinds == null || allowedKinds.contains(backend.kind()))
                && (allowedZones == null || allowedZones.contains(backend.zone()));
        }

        /**
         * Returns how long a request that runs for {@code runMicros} may wait and still meet its target time.
         */
        double slackMicros(double runMicros) {
            return targetMicros + Math.max(0, targetStretch - 1) * runMicros;
        }
    }

    /**
     * A tenant.
     *
     * @param quotaPerSecond requests per second, over all dispatchers, that have their full worth; 0 for no
     *                       limit
     */
    record Tenant(String name, double quotaPerSecond) {
        public Tenant {
            require(quotaPerSecond >= 0, "quotaPerSecond of tenant " + name + " is negative");
        }
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }

    /**
     * The settings of a dispatcher, fixed at its start. The defaults apply where an installation sets
     * nothing.
     */
    final class Settings {
        /** Number of dispatchers that send to the same backends, this one included. */
        public int dispatcherCount = 1;
        /** Index of this dispatcher among them, from 0. */
        public int dispatcherIndex;
        /** Zone of this dispatcher. */
        public int ownZone;
        /** Number of kinds of backends. */
        public int kindCount = 1;
        /** Request classes; a request names its class by the index here. */
        public List<RequestClass> classes = new ArrayList<>();
        /** Tenants; a request names its tenant by the index here. */
        public List<Tenant> tenants = new ArrayList<>();
        /** How load reports arrive. */
        public ReportMode reportMode = ReportMode.NEVER;
        /** Whether changes of the backend list are pushed; otherwise the list has to be watched. */
        public boolean listPushed = true;
        /**
         * Whether requests are held until discovery has confirmed the initial list. The caller confirms it by
         * a further update or a failure, and keeps clients away meanwhile by its readiness probe.
         */
        public boolean holdsUntilListConfirmed;
        /** Whether backends may be probed. */
        public boolean mayProbe;
        /** How long a new connection may take to open. */
        public long connectTimeoutMicros;
        /** How long an idle connection stays open. */
        public long idleTimeoutMicros;
        /** Cost of a new connection, in relation to the worth of a request. */
        public double connectCost;
        /** Whether attempts may be cancelled. */
        public boolean mayCancel;
        /** Whether a request may have several attempts outstanding (hedged requests). */
        public boolean mayHedge;
        /** Whether worth is counted by work and not by request. */
        public boolean worthByWork;
        /** Worth of a request beyond its tenant's quota, as a share of its class's worth. */
        public double overQuotaWorthShare = 1;
        /** Maximum number of attempts of a request. */
        public int maxAttempts = 1;
        /**
         * Whether a backend may reject a request that it has begun, so that REJECTED does not prove anything.
         */
        public boolean rejectedMayHaveRun;
        /** Longest time after which a refused client is told to come back; 0 if it cannot be told. */
        public long maxRetryAfterMicros;
        /** Whether backends report the start of a request. */
        public boolean backendsReportStart;
        /** Interval in which backends report the progress of a running request; 0 if they do not. */
        public long progressIntervalMicros;
        /** Shortest span that a timer can wait. */
        public long timerGranularityMicros = 1_000;
        /** Longest span between two calls to discovery, where the backend list has to be watched. */
        public long maxWatchIntervalMicros = 10_000_000;
        /**
         * Share of its capacity that a backend has when it starts; it has all after {@link #warmUpMicros}.
         */
        public double coldCapacityShare = 1;
        /** How long after its start a backend is cold at most. */
        public long warmUpMicros;
        /**
         * A cold backend breaks down when it is sent more than this multiple of its capacity for
         * {@link #overloadWindowMicros}.
         */
        public double overloadMultiple = 1;
        /** See {@link #overloadMultiple}. */
        public long overloadWindowMicros;

        /**
         * Returns these settings if they are valid.
         *
         * @throws IllegalArgumentException if a setting is out of its range; the message names it
         */
        public Settings validated() {
            require(dispatcherCount >= 1 && kindCount >= 1 && ownZone >= 0,
                "dispatcherCount, kindCount or ownZone is too small");
            require(dispatcherIndex >= 0 && dispatcherIndex < dispatcherCount,
                "dispatcherIndex " + dispatcherIndex + " of " + dispatcherCount + " dispatchers");
            require(reportMode != null && classes != null && tenants != null,
                "reportMode, classes and tenants are required");
            require(maxAttempts >= 1, "maxAttempts must be 1 or more");
            require(timerGranularityMicros >= 1 && progressIntervalMicros >= 0 && maxWatchIntervalMicros >= 1,
                "timerGranularityMicros, progressIntervalMicros or maxWatchIntervalMicros is too short");
            require(overQuotaWorthShare >= 0 && coldCapacityShare >= 0 && overloadMultiple >= 0,
                "overQuotaWorthShare, coldCapacityShare or overloadMultiple is negative");
            require(connectCost >= 0 && connectTimeoutMicros >= 0,
                "connectCost or connectTimeoutMicros is negative");
            require(warmUpMicros >= 0 && overloadWindowMicros >= 0 && maxRetryAfterMicros >= 0,
                "warmUpMicros, overloadWindowMicros or maxRetryAfterMicros is negative");
            for (RequestClass requestClass : classes) {
                require(requestClass.allowedKinds() == null
                    || requestClass.allowedKinds().stream().allMatch(kind -> kind >= 0 && kind < kindCount),
                    "class " + requestClass.name() + " allows kinds " + requestClass.allowedKinds() + " of "
                        + kindCount);
            }
            return this;
        }

        /**
         * Returns a request's class.
         *
         * @throws IllegalArgumentException if the request is null or the settings do not have its class
         */
        RequestClass classOf(Request request) {
            require(request != null, "request is required");
            require(request.classIndex() < classes.size(),
                "classIndex " + request.classIndex() + " of " + classes.size());
            return classes.get(request.classIndex());
        }
    }

    /**
     * A backend in the list.
     *
     * @param startedAtMicros when it started; 0 if that is long ago
     */
    record Backend(long id, int zone, int kind, int cell, BackendState state, long startedAtMicros) {
        public Backend {
            require(state != null, "state of backend " + Long.toHexString(id) + " is required");
            require(kind >= 0 && startedAtMicros >= 0,
                "kind or startedAtMicros of backend " + Long.toHexString(id) + " is negative");
        }

        /** Whether it fits into the same groups as {@code other}; false for null. */
        boolean hasSameZoneAndKind(Backend other) {
            return other != null && kind == other.kind && zone == other.zone;
        }
    }

    /**
     * Work sent to a backend.
     *
     * @param slotMicros expected work in slot-microseconds; 0 if it is not known
     */
    record SentWork(long backendId, long sentAtMicros, double slotMicros) { }

    /**
     * What a process hands over to the next one.
     *
     * @param statistics  averages for request classes and backend kinds
     * @param recentSends work that was lately sent to cold backends; null if it is not known
     */
    record LearnedState(double[] statistics, List<SentWork> recentSends) { }

    /**
     * A client's request.
     *
     * @param slots              slots of a backend that it occupies while it runs
     * @param expectedWorkMicros its expected run time on a standard core; 0 if it is not known
     * @param remainingMicros    time until the client gives up, less a margin that the caller may keep
     */
    record Request(long id, int classIndex, int tenantIndex, double slots, long expectedWorkMicros,
            long remainingMicros) {
        public Request {
            require(classIndex >= 0 && tenantIndex >= 0,
                "classIndex or tenantIndex of request " + id + " is negative");
            require(slots >= 0, "slots of request " + id + " is negative");
            require(expectedWorkMicros >= 0 && remainingMicros >= 0,
                "expectedWorkMicros or remainingMicros of request " + id + " is negative");
        }
    }

    /**
     * Limits which backends a request may use, and how many, in addition to the policy's own rules. It is
     * asked before each send and decides from the events below alone. The default methods limit nothing.
     */
    interface ZoneLimits {
        /** Returns the number of tiers of zones; a request tries them in order, from 0. */
        default int tierCount() {
            return 1;
        }

        /** Returns the tier in which a class may use a zone; -1 if it never may. */
        default int tierOf(int classIndex, int zone) {
            return 0;
        }

        /** Whether a backend may be looked for in a tier now. */
        default boolean isTierOpen(long now, Request request, boolean repeatable, int tier) {
            return true;
        }

        /**
         * Whether a backend may get a request.
         *
         * @param attempts number of attempts that the request has had
         * @param load     the backend's estimated load in slots: minus its free slots
         */
        default boolean admits(long now, Request request, boolean repeatable, int attempts, Backend backend,
                double load, int tier) {
            return true;
        }

        /** Returns when a backend started, as far as that is believed; 0 if long ago. */
        default long believedStartMicros(Backend backend) {
            return backend.startedAtMicros();
        }

        /** Whether a request that no backend may take now is refused at once and not held. */
        default boolean refusesUnplaced(long now, Request request) {
            return false;
        }

        /** A backend list or an update of it has come. */
        default void backendsListed(long now, ListUpdate update, List<Backend> backends) { }

        /** An attempt has been sent; {@code slotSeconds} is its expected work. */
        default void attemptSent(long now, Request request, int attemptNumber, Backend backend,
                double slotSeconds) { }

        /** An attempt has ended; {@code slotSeconds} is the work that it took, 0 if that is not known. */
        default void attemptEnded(long now, Request request, int attemptNumber, Backend backend,
                Outcome outcome, double slotSeconds) { }

        /** A backend has shown that it is alive. */
        default void backendResponded(long now, long backendId) { }

        /** A request has not started in time at a backend that seemed to have room for it. */
        default void startOverdue(long now, long backendId) { }

        /** A probe has ended; {@code slots} is the most slots that the backend ever reported. */
        default void probeEnded(long now, long backendId, boolean answered, double slots) { }

        /** Called ten times a second; returns the backends to be probed. */
        default List<Long> runPeriodicCheck(long now) {
            return List.of();
        }

        /** Returns the next log line for operators; null if there is none. */
        default String pollLogLine() {
            return null;
        }
    }

    /** A backend's load report. Figures that it does not contain are NaN. It is read during the call only. */
    final class LoadReport {
        /** Slots without a request. */
        public double freeSlots = Double.NaN;
        /** Slots of the requests at the backend, in its queue too. */
        public double inFlight = Double.NaN;
        /** Requests in the backend's queue. */
        public double queued = Double.NaN;
        /** Run time of recent requests, without their time in the queue. */
        public double recentRunMicros = Double.NaN;
    }

    /** Carries out the policy's decisions, in the order of the calls. */
    interface Actions {
        /**
         * Starts the next attempt of a request; attempts are numbered from 0. It may last until the client
         * gives up.
         */
        void send(long requestId, long backendId);

        /**
         * Final answer: the request was not done and may be tried again without harm.
         *
         * @param retryAfterMicros when the client should come back; 0 for no advice
         */
        void refuse(long requestId, long retryAfterMicros);

        /** Final answer: the request failed, and whether it had its effect is not known. */
        void fail(long requestId);

        /** Stops waiting for an attempt, which is still reported as ended. */
        void cancel(long requestId, int attemptNumber);

        /** Asks for {@link DispatchPolicy#timerFired} with this token after a delay. */
        void startTimer(long delayMicros, int token);

        /** Asks a backend for a load report; {@link DispatchPolicy#probeEnded} follows. */
        void probe(long backendId);

        /** Closes the idle connections to a backend. */
        void closeIdleConnections(long backendId);

        /** Asks discovery for changes of the backend list. */
        void watchBackendList();

        /** Writes a log line for operators. */
        void log(String line);
    }

    /** A backend list or an update of it has come; {@code backends} is empty if the call failed. */
    void backendsListed(long now, ListUpdate update, List<Backend> backends);

    /** A request has arrived. It gets exactly one final answer. */
    void requestReceived(long now, Request request);

    /** The backend has started to run an attempt. */
    void attemptStarted(long now, long requestId, int attemptNumber);

    /** The backend reports that an attempt is still running. */
    void attemptProgressed(long now, long requestId, int attemptNumber);

    /** The response of an attempt has begun to reach the client, so that no other can take its place. */
    void responseStreaming(long now, long requestId, int attemptNumber);

    /**
     * An attempt has ended.
     *
     * @param settled whether the request has its final answer
     * @param report  the backend's load report; may be null
     */
    void attemptEnded(long now, long requestId, int attemptNumber, long backendId, Outcome outcome,
        boolean settled, LoadReport report);

    /** A probe has been answered or has failed; {@code report} may be null. */
    void probeEnded(long now, long backendId, boolean answered, LoadReport report);

    /** The client has disconnected; the request needs no answer. */
    void clientDisconnected(long now, long requestId);

    /** A timer has fired. */
    void timerFired(long now, int token);

    /**
     * Returns what the next process with the same settings can use. Nothing may be sent to cold backends
     * after this call.
     */
    LearnedState exportLearnedState();

    /**
     * Takes over what the previous process exported just now; ignored if its size does not fit the settings.
     */
    void importLearnedState(LearnedState state);

    /** The process is about to exit: gives a request its final answer now, if it is still open. */
    void answerBeforeExit(long now, long requestId);

    /**
     * Whether a backend gets no requests as of the last event: it is unknown, not ready, ejected, or left its
     * last probe unanswered.
     */
    boolean isAvoided(long backendId);

    /** Whether the backend list may be used; requests are held until then. */
    default boolean hasUsableList(long now) {
        return true;
    }
}
