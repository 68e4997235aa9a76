package badgermux.decide;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * The interface of the decision module: its settings, the events it is told of, and the {@link Actions} it answers
 * with. Every time and every span is a {@code long} count of microseconds on the caller's clock.
 */
public interface DispatchPolicy {

    /** What a repeat of a job does: nothing bad, nothing inside a group of workers that knows its key, or harm. */
    enum Effect { REPEATABLE, BY_KEY, ONCE }

    /** The workers that drop each other's repeats of a keyed job. */
    enum DedupScope { ALL, ZONE, CELL }

    /** How load reports reach the dispatcher. */
    enum ReportMode { IN_RESPONSES, ON_PROBE, NEVER }

    /** What a list of workers is: changes, the whole, the whole as last seen before a restart, or a failed call. */
    enum ListUpdate { DELTA, FULL, CACHED, FAILED }

    /** What the list says of a worker. */
    enum BackendState { GONE, READY, DRAINING }

    /** How an attempt ended. UNFIT: the worker can't use the request, which may be the fault of either. */
    enum Outcome {
        SERVED, ERROR, REJECTED, TIMED_OUT, CONNECT_FAILED, RESET, CANCELLED, MOOT, UNFIT;

        /** Whether this outcome proves that the attempt did not run (but see {@link Settings#rejectedMayHaveRun}). */
        public boolean neverRan() {
            return this == REJECTED || this == CONNECT_FAILED || this == MOOT;
        }

        /** Whether the attempt ended on the dispatcher's side: it tells nothing of the worker. */
        boolean isLocal() {
            return this == CANCELLED || this == MOOT;
        }

        /** Whether the worker said so itself: the connection stands, and is idle now. */
        boolean isResponse() {
            return this == SERVED || this == ERROR || this == REJECTED || this == UNFIT;
        }
    }

    /**
     * A class of jobs.
     *
     * @param name      for messages only
     * @param effect    what a repeat does
     * @param dedupScope     the workers that drop repeats, where {@code effect} is BY_KEY
     * @param targetMicros       an answer within this span, plus {@code stretch} times the job's own work, earns the full worth
     * @param targetStretch   see {@code aim}
     * @param clientTimeoutMicros  how long a client waits in all
     * @param dedupWindowMicros    how long the workers of a scope remember a key
     * @param worth     what an answer in time earns, against other classes
     * @param lateWorthShare the share of it that a late answer earns
     * @param allowedKinds     the only kinds of workers that it may be sent to; null: any
     * @param allowedZones     the only zones that it may be sent to; null: any
     * @param streamed    whether its answers are streamed
     */
    record RequestClass(String name, Effect effect, DedupScope dedupScope, long targetMicros, double targetStretch, long clientTimeoutMicros, long dedupWindowMicros,
                    double worth, double lateWorthShare, Set<Integer> allowedKinds, Set<Integer> allowedZones, boolean streamed) {
        public RequestClass {
            require(effect != null && dedupScope != null, "effect and scope of class " + name + " are needed");
            require(targetMicros >= 0 && clientTimeoutMicros > 0 && dedupWindowMicros >= 0, "aim, deadline or window of class " + name + " is negative");
            require(targetStretch >= 0 && worth >= 0 && lateWorthShare >= 0, "stretch, worth or lateShare of class " + name
                + " is negative");
        }

        /** A class that may run in any zone, and on one kind of worker, or on any where {@code kind} is -1. */
        public RequestClass(String name, Effect effect, DedupScope dedupScope, long targetMicros, double targetStretch, long clientTimeoutMicros, long dedupWindowMicros,
                double worth, double lateWorthShare, int kind, boolean streamed) {
            this(name, effect, dedupScope, targetMicros, targetStretch, clientTimeoutMicros, dedupWindowMicros, worth, lateWorthShare, kind < 0 ? null : Set.of(kind),
                null, streamed);
        }

        /** Whether it may be sent to a worker; nothing that fails elsewhere changes that. */
        boolean mayRunOn(Backend worker) {
            return (allowedKinds == null || allowedKinds.contains(worker.kind())) && (allowedZones == null || allowedZones.contains(worker.zone()));
        }

        /** How long a job that runs for {@code run} may wait before it starts and still be in time. */
        double slackMicros(double run) {
            return targetMicros + Math.max(0, targetStretch - 1) * run;
        }
    }

    /** A tenant, and how many of its jobs a second, over all dispatchers, count in full (0: not limited). */
    record Tenant(String name, double quotaPerSecond) {
        public Tenant {
            require(quotaPerSecond >= 0, "quotaPerSecond of tenant " + name + " is negative");
        }
    }

    private static void require(boolean holds, String otherwise) {
        if (!holds) {
            throw new IllegalArgumentException(otherwise);
        }
    }

    /** What a dispatcher is told once, at its start. Defaults are those of a site that says nothing. */
    final class Settings {
        /** How many dispatchers push to the same workers, this one included. */
        public int dispatcherCount = 1;
        /** The number of this dispatcher among them, from 0. */
        public int dispatcherIndex;
        /** The zone of this dispatcher. */
        public int ownZone;
        /** How many kinds of workers there are. */
        public int kindCount = 1;
        /** The classes of jobs; a job names its class by its place here. */
        public List<RequestClass> classes = new ArrayList<>();
        /** The tenants; a job names its tenant by its place here. */
        public List<Tenant> tenants = new ArrayList<>();
        /** How load reports come. */
        public ReportMode reportMode = ReportMode.NEVER;
        /** Whether changes of the list come unasked; else it has to be watched. */
        public boolean listPushed = true;
        /** Whether workers may be probed. */
        public boolean mayProbe;
        /** How long a new connection may take to come up. */
        public long connectTimeoutMicros;
        /** How long a connection stays open unused. */
        public long idleTimeoutMicros;
        /** What a new connection costs, against the worth of a job. */
        public double connectCost;
        /** Whether attempts may be cancelled. */
        public boolean mayCancel;
        /** Whether a job may have two attempts out at once. */
        public boolean mayHedge;
        /** Whether worth is counted by work, not by job. */
        public boolean worthByWork;
        /** What a job beyond its tenant's quota is worth, as a share of its class's worth. */
        public double overQuotaWorthShare = 1;
        /** How many attempts a job may have in all. */
        public int maxAttempts = 1;
        /** Whether a worker may also turn away a job that it had begun, so that REJECTED proves nothing. */
        public boolean rejectedMayHaveRun;
        /** How long a refused client waits at most if told to before it comes back; 0: it cannot be told. */
        public long maxRetryAfterMicros;
        /** Whether workers tell when they start a job. */
        public boolean backendsReportStart;
        /** How often workers tell of a running job's progress; 0: never. */
        public long progressIntervalMicros;
        /** The shortest span that a timer can wait. */
        public long timerGranularityMicros = 1_000;
        /** The longest span between two looks at the list, where it has to be watched. */
        public long maxWatchIntervalMicros = 10_000_000;
        /** A worker starts with this share of its capacity and has all of it after {@code coldFor}. */
        public double coldCapacityShare = 1;
        /** How long a worker is cold at most. */
        public long warmUpMicros;
        /** A cold worker falls over when sent more than this multiple of its capacity for {@code fallWindow}. */
        public double overloadMultiple = 1;
        /** See {@code fallMultiple}. */
        public long overloadWindowMicros;

        /** These settings, if they make sense; an exception that names the one that does not. */
        public Settings validated() {
            require(dispatcherCount >= 1 && kindCount >= 1 && ownZone >= 0, "dispatchers, kinds or zone is too small");
            require(dispatcherIndex >= 0 && dispatcherIndex < dispatcherCount, "index " + dispatcherIndex + " of " + dispatcherCount + " dispatchers");
            require(reportMode != null && classes != null && tenants != null, "reports, classes and tenants are needed");
            require(maxAttempts >= 1, "maxAttempts must be 1 or more");
            require(timerGranularityMicros >= 1 && progressIntervalMicros >= 0 && maxWatchIntervalMicros >= 1, "tick, progressEvery or askEvery is too short");
            require(overQuotaWorthShare >= 0 && coldCapacityShare >= 0 && overloadMultiple >= 0,
                "overShareWorth, coldShare or fallMultiple is negative");
            require(connectCost >= 0 && connectTimeoutMicros >= 0, "connectPrice or connectTimeout is negative");
            require(warmUpMicros >= 0 && overloadWindowMicros >= 0 && maxRetryAfterMicros >= 0,
                "coldFor, fallWindow or longestComeBack is negative");
            for (RequestClass of : classes) {
                require(of.allowedKinds() == null || of.allowedKinds().stream().allMatch(k -> k >= 0 && k < kindCount),
                    "class " + of.name() + " runs on kinds " + of.allowedKinds() + " of " + kindCount);
            }
            return this;
        }

        RequestClass classOf(Request job) {
            require(job != null, "job is needed");
            require(job.classIndex() < classes.size(), "jobClass " + job.classIndex() + " of " + classes.size());
            return classes.get(job.classIndex());
        }
    }

    /** A worker as the list shows it; {@code startedAt} is 0 where its start is long past. */
    record Backend(long id, int zone, int kind, int cell, BackendState state, long startedAtMicros) {
        public Backend {
            require(state != null, "state of worker " + Long.toHexString(id) + " is needed");
            require(kind >= 0 && startedAtMicros >= 0, "kind or startedAt of worker " + Long.toHexString(id) + " is negative");
        }

        /** Whether the same classes may run on it as on another, which may be null: it stays in its groups then. */
        boolean hasSameZoneAndKind(Backend other) {
            return other != null && kind == other.kind && zone == other.zone;
        }
    }

    /** Work sent to a worker: when, and how many microseconds of a slot were expected of it, 0 where that was not known. */
    record SentWork(long backendId, long sentAtMicros, double slotMicros) { }

    /**
     * What one process leaves to the next: what it has learnt of classes and kinds, and what cold workers were sent lately,
     * null where that is not known.
     */
    record LearnedState(double[] statistics, List<SentWork> recentSends) { }

    /** A client's request; {@code hint} is its expected work on a standard core, 0 where unknown. */
    record Request(long id, int classIndex, int tenantIndex, double slots, long expectedWorkMicros, long remainingMicros) {
        public Request {
            require(classIndex >= 0 && tenantIndex >= 0, "jobClass or tenant of job " + id + " is negative");
            require(slots >= 0, "slots of job " + id + " is negative");
            require(expectedWorkMicros >= 0 && remainingMicros >= 0, "hint or left of job " + id + " is negative");
        }
    }

    /**
     * What limits which workers a job may use, and how many, beside the rules: asked before each send, told of all that
     * happens. It decides from what it is told, and from nothing else. As it stands here it limits nothing.
     */
    interface ZoneLimits {
        /** How many tiers of preference there are; a job looks through them in order, from 0. */
        default int tierCount() {
            return 1;
        }

        /** The tier in which a class may use a zone; -1 for never. */
        default int tierOf(int jobClass, int zone) {
            return 0;
        }

        /** Whether a job may look for a worker in a tier now. */
        default boolean isTierOpen(long now, Request job, boolean repeatable, int tier) {
            return true;
        }

        /** Whether a worker may get a job after so many attempts; {@code load} is minus its free slots. */
        default boolean admits(long now, Request job, boolean repeatable, int attempts, Backend worker, double load, int tier) {
            return true;
        }

        /** When a worker started, as far as that can be believed; 0 for long ago. */
        default long believedStartMicros(Backend worker) {
            return worker.startedAtMicros();
        }

        /** Whether a job that nobody may take now is given up at once, and not held. */
        default boolean refusesUnplaced(long now, Request job) {
            return false;
        }

        /** The list, or news of it. */
        default void backendsListed(long now, ListUpdate update, List<Backend> workers) { }

        /** A job has been sent; {@code work} is what is expected of it, in slot-seconds. */
        default void attemptSent(long now, Request job, int attempt, Backend worker, double work) { }

        /** An attempt has ended; {@code ran} is how long it ran, in slot-seconds, 0 where that is not known. */
        default void attemptEnded(long now, Request job, int attempt, Backend worker, Outcome outcome, double ran) { }

        /** A worker has given a sign of life. */
        default void backendResponded(long now, long worker) { }

        /** A job does not start at a worker that should have room for it. */
        default void startOverdue(long now, long worker) { }

        /** A probe's answer, and the most slots that the worker was ever seen to have. */
        default void probeEnded(long now, long worker, boolean answered, double slots) { }

        /** Called ten times a second; the workers that are to be probed. */
        default List<Long> runPeriodicCheck(long now) {
            return List.of();
        }

        /** The next line for on-call staff; null for none. */
        default String pollLogLine() {
            return null;
        }
    }

    /** A worker's load report; a figure that did not come is NaN. The module reads it during the call only. */
    final class LoadReport {
        public double freeSlots = Double.NaN;
        public double inFlight = Double.NaN;
        public double queued = Double.NaN;
        /** How long its jobs ran lately, without waiting, in microseconds. */
        public double recentRunMicros = Double.NaN;
    }

    /** What the dispatcher decides; calls are made in the order in which they are to take effect. */
    interface Actions {
        /** Starts the next attempt of a job; attempts are numbered from 0. It may last until the client gives up. */
        void send(long job, long worker);

        /** Final answer: not done, and trying again is harmless, best after {@code comeBack} (0: no advice). */
        void refuse(long job, long comeBack);

        /** Final answer: failed, with no promise. */
        void fail(long job);

        /** Stops waiting for an attempt; its outcome still comes. */
        void cancel(long job, int attempt);

        /** Asks for {@link DispatchPolicy#timerFired} with this token after a span. */
        void startTimer(long delay, int token);

        /** Asks a worker for a load report. */
        void probe(long worker);

        /** Closes the idle connections to a worker. */
        void closeIdleConnections(long worker);

        /** Subscribes to changes of the worker list. */
        void watchBackendList();

        /** Writes a line for on-call staff. */
        void log(String line);
    }

    /** The list of workers, or news of it; {@code workers} is empty where the call failed. */
    void backendsListed(long now, ListUpdate update, List<Backend> workers);

    /** A job has come in; it gets exactly one final answer. */
    void requestReceived(long now, Request job);

    /** The worker has started the attempt's job. */
    void attemptStarted(long now, long job, int attempt);

    /** The worker tells that the attempt's job goes on. */
    void attemptProgressed(long now, long job, int attempt);

    /** A streamed answer has begun: the attempt belongs to the client from here on. */
    void responseStreaming(long now, long job, int attempt);

    /** An attempt has ended; {@code settled} says that the job is over; {@code report} may be null. */
    void attemptEnded(long now, long job, int attempt, long worker, Outcome outcome, boolean settled, LoadReport report);

    /** A probe's answer; {@code report} may be null. */
    void probeEnded(long now, long worker, boolean answered, LoadReport report);

    /** The client has left; the job is over. */
    void clientDisconnected(long now, long job);

    /** A timer asked for has come due. */
    void timerFired(long now, int token);

    /** What is left to the next process with the same settings. Nothing may be sent to cold workers from then on. */
    LearnedState exportLearnedState();

    /** Goes on from what the process before left, which was just now; figures that these settings can't have are passed over. */
    void importLearnedState(LearnedState left);

    /** The process is about to be ended: a job, if it is still open, gets its final answer now. */
    void answerBeforeExit(long now, long job);

    /** Whether a worker gets no work, as of the last event: unknown, not ready, set aside, or silent when probed. */
    boolean isAvoided(long worker);
}
