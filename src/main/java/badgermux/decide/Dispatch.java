package badgermux.decide;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * The interface of the decision module: its settings, the events it is told of, and the {@link Actions} it answers
 * with. Every time and every span is a {@code long} count of microseconds on the caller's clock.
 */
public interface Dispatch {

    /** What a repeat of a job does: nothing bad, nothing inside a group of workers that knows its key, or harm. */
    enum Effect { REPEATABLE, BY_KEY, ONCE }

    /** The workers that drop each other's repeats of a keyed job. */
    enum Scope { ALL, ZONE, CELL }

    /** How load reports reach the dispatcher. */
    enum ReportMode { IN_ANSWERS, ON_PROBE, NEVER }

    /** What a list of workers is: changes, the whole, the whole as last seen before a restart, or a failed call. */
    enum ListUpdate { DELTA, FULL, CACHED, FAILED }

    /** What the list says of a worker. */
    enum WorkerState { GONE, READY, DRAINING }

    /** How an attempt ended. UNFIT: the worker can't use the request, which may be the fault of either. */
    enum Outcome {
        SERVED, ERROR, REJECTED, TIMED_OUT, CONNECT_FAILED, RESET, CANCELLED, MOOT, UNFIT;

        /** Whether this outcome proves that the attempt did not run (but see {@link Settings#rejectedMayHaveRun}). */
        public boolean neverRan() {
            return this == REJECTED || this == CONNECT_FAILED || this == MOOT;
        }

        /** Whether the attempt ended on the dispatcher's side: it tells nothing of the worker. */
        boolean ours() {
            return this == CANCELLED || this == MOOT;
        }

        /** Whether the worker said so itself: the connection stands, and is idle now. */
        boolean answered() {
            return this == SERVED || this == ERROR || this == REJECTED || this == UNFIT;
        }
    }

    /**
     * A class of jobs.
     *
     * @param name      for messages only
     * @param effect    what a repeat does
     * @param scope     the workers that drop repeats, where {@code effect} is BY_KEY
     * @param aim       an answer within this span, plus {@code stretch} times the job's own work, earns the full worth
     * @param stretch   see {@code aim}
     * @param deadline  how long a client waits in all
     * @param window    how long the workers of a scope remember a key
     * @param worth     what an answer in time earns, against other classes
     * @param lateShare the share of it that a late answer earns
     * @param kinds     the only kinds of workers that it may be sent to; null: any
     * @param zones     the only zones that it may be sent to; null: any
     * @param stream    whether its answers are streamed
     */
    record JobClass(String name, Effect effect, Scope scope, long aim, double stretch, long deadline, long window,
                    double worth, double lateShare, Set<Integer> kinds, Set<Integer> zones, boolean stream) {
        public JobClass {
            require(effect != null && scope != null, "effect and scope of class " + name + " are needed");
            require(aim >= 0 && deadline > 0 && window >= 0, "aim, deadline or window of class " + name + " is negative");
            require(stretch >= 0 && worth >= 0 && lateShare >= 0, "stretch, worth or lateShare of class " + name
                + " is negative");
        }

        /** A class that may run in any zone, and on one kind of worker, or on any where {@code kind} is -1. */
        public JobClass(String name, Effect effect, Scope scope, long aim, double stretch, long deadline, long window,
                double worth, double lateShare, int kind, boolean stream) {
            this(name, effect, scope, aim, stretch, deadline, window, worth, lateShare, kind < 0 ? null : Set.of(kind),
                null, stream);
        }

        /** Whether it may be sent to a worker; nothing that fails elsewhere changes that. */
        boolean mayRunOn(Worker worker) {
            return (kinds == null || kinds.contains(worker.kind())) && (zones == null || zones.contains(worker.zone()));
        }

        /** How long a job that runs for {@code run} may wait before it starts and still be in time. */
        double slack(double run) {
            return aim + Math.max(0, stretch - 1) * run;
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
        public int dispatchers = 1;
        /** The number of this dispatcher among them, from 0. */
        public int index;
        /** The zone of this dispatcher. */
        public int zone;
        /** How many kinds of workers there are. */
        public int kinds = 1;
        /** The classes of jobs; a job names its class by its place here. */
        public List<JobClass> classes = new ArrayList<>();
        /** The tenants; a job names its tenant by its place here. */
        public List<Tenant> tenants = new ArrayList<>();
        /** How load reports come. */
        public ReportMode reports = ReportMode.NEVER;
        /** Whether changes of the list come unasked; else it has to be watched. */
        public boolean listPushed = true;
        /** Whether workers may be probed. */
        public boolean probes;
        /** How long a new connection may take to come up. */
        public long connectTimeout;
        /** How long a connection stays open unused. */
        public long connectionIdle;
        /** What a new connection costs, against the worth of a job. */
        public double connectPrice;
        /** Whether attempts may be cancelled. */
        public boolean cancels;
        /** Whether a job may have two attempts out at once. */
        public boolean parallelAttempts;
        /** Whether worth is counted by work, not by job. */
        public boolean worthByWork;
        /** What a job beyond its tenant's quota is worth, as a share of its class's worth. */
        public double overShareWorth = 1;
        /** How many attempts a job may have in all. */
        public int maxAttempts = 1;
        /** Whether a worker may also turn away a job that it had begun, so that REJECTED proves nothing. */
        public boolean rejectedMayHaveRun;
        /** How long a refused client waits at most if told to before it comes back; 0: it cannot be told. */
        public long longestComeBack;
        /** Whether workers tell when they start a job. */
        public boolean tellsStart;
        /** How often workers tell of a running job's progress; 0: never. */
        public long progressEvery;
        /** The shortest span that a timer can wait. */
        public long tick = 1_000;
        /** The longest span between two looks at the list, where it has to be watched. */
        public long askEvery = 10_000_000;
        /** A worker starts with this share of its capacity and has all of it after {@code coldFor}. */
        public double coldShare = 1;
        /** How long a worker is cold at most. */
        public long coldFor;
        /** A cold worker falls over when sent more than this multiple of its capacity for {@code fallWindow}. */
        public double fallMultiple = 1;
        /** See {@code fallMultiple}. */
        public long fallWindow;

        /** These settings, if they make sense; an exception that names the one that does not. */
        public Settings checked() {
            require(dispatchers >= 1 && kinds >= 1 && zone >= 0, "dispatchers, kinds or zone is too small");
            require(index >= 0 && index < dispatchers, "index " + index + " of " + dispatchers + " dispatchers");
            require(reports != null && classes != null && tenants != null, "reports, classes and tenants are needed");
            require(maxAttempts >= 1, "maxAttempts must be 1 or more");
            require(tick >= 1 && progressEvery >= 0 && askEvery >= 1, "tick, progressEvery or askEvery is too short");
            require(overShareWorth >= 0 && coldShare >= 0 && fallMultiple >= 0,
                "overShareWorth, coldShare or fallMultiple is negative");
            require(connectPrice >= 0 && connectTimeout >= 0, "connectPrice or connectTimeout is negative");
            require(coldFor >= 0 && fallWindow >= 0 && longestComeBack >= 0,
                "coldFor, fallWindow or longestComeBack is negative");
            for (JobClass of : classes) {
                require(of.kinds() == null || of.kinds().stream().allMatch(k -> k >= 0 && k < kinds),
                    "class " + of.name() + " runs on kinds " + of.kinds() + " of " + kinds);
            }
            return this;
        }

        JobClass classOf(Job job) {
            require(job != null, "job is needed");
            require(job.jobClass() < classes.size(), "jobClass " + job.jobClass() + " of " + classes.size());
            return classes.get(job.jobClass());
        }
    }

    /** A worker as the list shows it; {@code startedAt} is 0 where its start is long past. */
    record Worker(long id, int zone, int kind, int cell, WorkerState state, long startedAt) {
        public Worker {
            require(state != null, "state of worker " + Long.toHexString(id) + " is needed");
            require(kind >= 0 && startedAt >= 0, "kind or startedAt of worker " + Long.toHexString(id) + " is negative");
        }

        /** Whether the same classes may run on it as on another, which may be null: it stays in its groups then. */
        boolean isAlike(Worker other) {
            return other != null && kind == other.kind && zone == other.zone;
        }
    }

    /** Work sent to a worker: when, and how many microseconds of a slot were expected of it, 0 where that was not known. */
    record Push(long worker, long at, double work) { }

    /**
     * What one process leaves to the next: what it has learnt of classes and kinds, and what cold workers were sent lately,
     * null where that is not known.
     */
    record Heritage(double[] learnt, List<Push> pushes) { }

    /** A client's request; {@code hint} is its expected work on a standard core, 0 where unknown. */
    record Job(long id, int jobClass, int tenant, double slots, long hint, long left) {
        public Job {
            require(jobClass >= 0 && tenant >= 0, "jobClass or tenant of job " + id + " is negative");
            require(slots >= 0, "slots of job " + id + " is negative");
            require(hint >= 0 && left >= 0, "hint or left of job " + id + " is negative");
        }
    }

    /**
     * What limits which workers a job may use, and how many, beside the rules: asked before each send, told of all that
     * happens. It decides from what it is told, and from nothing else. As it stands here it limits nothing.
     */
    interface Zones {
        /** How many tiers of preference there are; a job looks through them in order, from 0. */
        default int tiers() {
            return 1;
        }

        /** The tier in which a class may use a zone; -1 for never. */
        default int tier(int jobClass, int zone) {
            return 0;
        }

        /** Whether a job may look for a worker in a tier now. */
        default boolean opens(long now, Job job, boolean repeatable, int tier) {
            return true;
        }

        /** Whether a worker may get a job after so many attempts; {@code load} is minus its free slots. */
        default boolean admits(long now, Job job, boolean repeatable, int attempts, Worker worker, double load, int tier) {
            return true;
        }

        /** When a worker started, as far as that can be believed; 0 for long ago. */
        default long startedAt(Worker worker) {
            return worker.startedAt();
        }

        /** Whether a job that nobody may take now is given up at once, and not held. */
        default boolean givesUp(long now, Job job) {
            return false;
        }

        /** The list, or news of it. */
        default void listed(long now, ListUpdate update, List<Worker> workers) { }

        /** A job has been sent; {@code work} is what is expected of it, in slot-seconds. */
        default void sent(long now, Job job, int attempt, Worker worker, double work) { }

        /** An attempt has ended; {@code ran} is how long it ran, in slot-seconds, 0 where that is not known. */
        default void ended(long now, Job job, int attempt, Worker worker, Outcome outcome, double ran) { }

        /** A worker has given a sign of life. */
        default void alive(long now, long worker) { }

        /** A job does not start at a worker that should have room for it. */
        default void late(long now, long worker) { }

        /** A probe's answer, and the most slots that the worker was ever seen to have. */
        default void probed(long now, long worker, boolean answered, double slots) { }

        /** Called ten times a second; the workers that are to be probed. */
        default List<Long> round(long now) {
            return List.of();
        }

        /** The next line for on-call staff; null for none. */
        default String news() {
            return null;
        }
    }

    /** A worker's load report; a figure that did not come is NaN. The module reads it during the call only. */
    final class Report {
        public double freeSlots = Double.NaN;
        public double inFlight = Double.NaN;
        public double queued = Double.NaN;
        /** How long its jobs ran lately, without waiting, in microseconds. */
        public double recentRun = Double.NaN;
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

        /** Asks for {@link Dispatch#timer} with this token after a span. */
        void timer(long delay, int token);

        /** Asks a worker for a load report. */
        void probe(long worker);

        /** Closes the idle connections to a worker. */
        void release(long worker);

        /** Subscribes to changes of the worker list. */
        void watch();

        /** Writes a line for on-call staff. */
        void log(String line);
    }

    /** The list of workers, or news of it; {@code workers} is empty where the call failed. */
    void workers(long now, ListUpdate update, List<Worker> workers);

    /** A job has come in; it gets exactly one final answer. */
    void request(long now, Job job);

    /** The worker has started the attempt's job. */
    void started(long now, long job, int attempt);

    /** The worker tells that the attempt's job goes on. */
    void progress(long now, long job, int attempt);

    /** A streamed answer has begun: the attempt belongs to the client from here on. */
    void streaming(long now, long job, int attempt);

    /** An attempt has ended; {@code settled} says that the job is over; {@code report} may be null. */
    void outcome(long now, long job, int attempt, long worker, Outcome outcome, boolean settled, Report report);

    /** A probe's answer; {@code report} may be null. */
    void probed(long now, long worker, boolean answered, Report report);

    /** The client has left; the job is over. */
    void clientGone(long now, long job);

    /** A timer asked for has come due. */
    void timer(long now, int token);

    /** What is left to the next process with the same settings. Nothing may be sent to cold workers from then on. */
    Heritage leave();

    /** Goes on from what the process before left, which was just now; figures that these settings can't have are passed over. */
    void inherit(Heritage left);

    /** The process is about to be ended: a job, if it is still open, gets its final answer now. */
    void ending(long now, long job);

    /** Whether a worker gets no work, as of the last event: unknown, not ready, set aside, or silent when probed. */
    boolean avoids(long worker);
}
