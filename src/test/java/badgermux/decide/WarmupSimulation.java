package badgermux.decide;

import badgermux.decide.DispatchPolicy.Actions;
import badgermux.decide.DispatchPolicy.Effect;
import badgermux.decide.DispatchPolicy.LearnedState;
import badgermux.decide.DispatchPolicy.Request;
import badgermux.decide.DispatchPolicy.RequestClass;
import badgermux.decide.DispatchPolicy.ListUpdate;
import badgermux.decide.DispatchPolicy.Outcome;
import badgermux.decide.DispatchPolicy.DedupScope;
import badgermux.decide.DispatchPolicy.Settings;
import badgermux.decide.DispatchPolicy.Backend;
import badgermux.decide.DispatchPolicy.BackendState;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * A whole fleet of dispatchers in virtual time, in front of workers that have just started and are all that there is: what
 * may be sent to a cold worker is sent. Everything is drawn from one seed: settings, how long jobs run, when each dispatcher
 * is told of the starts, bursts at any time and around the ends of windows, calm spells, restarts. Times are microseconds.
 */
final class WarmupSimulation {
    private static final long SECOND = 1_000_000, LATEST_NEWS = 6 * SECOND;
    private static final int CLASSES = 3, MOST_WORKERS = 24, WINDOWS = 7, MOST_BURSTS = 8;

    /** How a dispatcher of the fleet is started anew. */
    enum Restarts { NONE, HANDED_OVER, KILLED, STATE_LOST }

    private record Event(long at, int order, Runnable what) { }

    private record Sent(long at, double work) { }

    /** A worker, and the work that came from dispatchers which had been told of its start. */
    private static final class ColdBackend {
        final long id;
        final Deque<Sent> lately = new ArrayDeque<>();
        double sum;

        ColdBackend(long id) {
            this.id = id;
        }
    }

    private final class SimulatedDispatcher implements Actions {
        final int index;
        DefaultDispatchPolicy policy;
        long startKnownAt = Long.MAX_VALUE;
        int processNumber;

        SimulatedDispatcher(int index) {
            this.index = index;
        }

        void start(LearnedState left) {
            processNumber++;
            Settings own = settings();
            own.dispatcherIndex = index;
            policy = new DefaultDispatchPolicy(own, random.nextLong(), this);
            policy.backendsListed(now, ListUpdate.FULL, list());
            if (left != null) {
                policy.importLearnedState(left);
            }
        }

        private List<Backend> list() {
            if (now < startKnownAt && !listedBefore) {
                return List.of();
            }
            return workers.stream().map(w -> new Backend(w.id, 0, 0, 0, BackendState.READY, now < startKnownAt ? 0 : startedAt)).toList();
        }

        void learnStart() {
            startKnownAt = now;
            policy.backendsListed(now, ListUpdate.FULL, list());
        }

        void burst(int jobs, int jobClass) {
            for (int i = 0; i < jobs; i++) {
                // The longest first: who is first in turn spends most, and others what still fits.
                Request job = new Request(nextJob++, jobClass < 0 ? i * CLASSES / jobs : jobClass, 0, 1, 0, 3 * window);
                classOf.add(job.classIndex());
                attempts.add(0);
                policy.requestReceived(now, job);
            }
        }

        @Override public void send(long job, long worker) {
            int attempt = attempts.get((int) job);
            attempts.set((int) job, attempt + 1);
            sendCount++;
            if (now >= startKnownAt) {
                countWork(worker, runs[classOf.get((int) job)]);
            }
            int mine = processNumber;
            if (random.nextInt(3) == 0) {
                scheduleAt(now + 1 + random.nextInt(50_000), () -> {
                    if (mine == processNumber) {
                        policy.attemptEnded(now, job, attempt, worker, Outcome.REJECTED, false, null);
                    }
                });
            }
        }

        @Override public void startTimer(long delay, int token) {
            int mine = processNumber;
            scheduleAt(now + delay, () -> {
                if (mine == processNumber) {
                    policy.timerFired(now, token);
                }
            });
        }

        @Override public void refuse(long job, long comeBack) { }

        @Override public void fail(long job) { }

        @Override public void cancel(long job, int attempt) { }

        @Override public void probe(long worker) { }

        @Override public void closeIdleConnections(long worker) { }

        @Override public void watchBackendList() { }

        @Override public void log(String line) { }
    }

    private final Random random;
    private final int dispatchers;
    private final Restarts restarts;
    private final double allowedJobs;
    private final int slots;
    /** How long jobs of each class run, the longest first. */
    private final double[] runs = new double[CLASSES];
    private final long window;
    private final long coldFor;
    private final double coldShare;
    private final double multiple;
    private final boolean listedBefore;
    private final PriorityQueue<Event> events =
        new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : a.order - b.order);
    private final List<SimulatedDispatcher> members = new ArrayList<>();
    private final List<ColdBackend> workers = new ArrayList<>();
    private final List<Integer> classOf = new ArrayList<>();
    private final List<Integer> attempts = new ArrayList<>();
    private long now = 1_000 * SECOND;
    private long startedAt;
    private long nextJob;
    private int order;
    private double mean;
    /** The most work that came to a worker in any window, against N + 2 root N + 2 jobs of mean work. */
    double worstLimitRatio;
    /** How much was sent in all. */
    int sendCount;

    /**
     * Draws a fleet.
     *
     * @param mixed whether classes differ in how long they run
     */
    WarmupSimulation(long seed, int dispatchers, Restarts restarts, boolean mixed) {
        this.dispatchers = dispatchers;
        this.restarts = restarts;
        random = new Random(seed);
        multiple = 2 + random.nextDouble();
        window = SECOND / 2 + random.nextInt((int) (SECOND * 3 / 2));
        coldFor = 5 * SECOND + random.nextInt((int) (25 * SECOND));
        coldShare = 0.05 + 0.55 * random.nextDouble();
        slots = 1 + random.nextInt(16);
        allowedJobs = Math.exp(Math.log(0.1) + random.nextDouble() * Math.log(600));
        listedBefore = random.nextBoolean();
        for (int c = 0; c < CLASSES; c++) {
            runs[c] = multiple * window * slots * coldShare / allowedJobs;
            runs[c] *= mixed ? Math.exp(3 * random.nextDouble() - 2) : 1;
        }
        Arrays.sort(runs);
        for (int c = 0; c < CLASSES / 2; c++) {
            double shorter = runs[c];
            runs[c] = runs[CLASSES - 1 - c];
            runs[CLASSES - 1 - c] = shorter;
        }
        int count = 1 + random.nextInt(dispatchers > 100 ? MOST_WORKERS / 4 : MOST_WORKERS);
        for (int i = 0; i < count; i++) {
            workers.add(new ColdBackend(random.nextLong()));
        }
    }

    /** Plays some windows from the workers' start on. */
    void run() {
        LearnedState known = learnedState();
        mean = known.statistics()[0];
        startedAt = now + window;
        for (int i = 0; i < dispatchers; i++) {
            SimulatedDispatcher member = new SimulatedDispatcher(i);
            members.add(member);
            member.start(known);
            scheduleAt(startedAt + random.nextLong(Math.min(LATEST_NEWS, 2 * window)), member::learnStart);
        }
        long end = startedAt + WINDOWS * window;
        // After a calm spell dispatchers have used less than they might, and have more turns.
        int calm = random.nextInt(WINDOWS);
        int bursts = 1 + random.nextInt(MOST_BURSTS);
        for (int i = 0; i < bursts; i++) {
            burst(calm + random.nextInt(WINDOWS - calm));
        }
        for (int i = 0; restarts != Restarts.NONE && i < Math.max(1, dispatchers / 3); i++) {
            SimulatedDispatcher member = members.get(random.nextInt(dispatchers));
            scheduleAt(startedAt + random.nextLong(WINDOWS * window), () -> restart(member, known));
        }
        while (!events.isEmpty() && events.peek().at <= end) {
            Event event = events.poll();
            now = event.at;
            event.what.run();
        }
    }

    /** Jobs at most dispatchers around the end of a window, within a moment or a longer while. */
    private void burst(int after) {
        long edge = startedAt + after * window;
        long spread = 1 + random.nextLong(random.nextBoolean() ? 1_000 : window);
        int jobs = 1 + random.nextInt(dispatchers > 100 ? 4 : 12);
        int jobClass = random.nextInt(CLASSES + 1) - 1;
        for (SimulatedDispatcher member : members) {
            long at = edge + random.nextLong(2 * spread) - spread;
            if (random.nextInt(5) > 0) {
                scheduleAt(Math.max(now, at), () -> member.burst(jobs, jobClass));
            }
        }
    }

    private void restart(SimulatedDispatcher member, LearnedState known) {
        LearnedState left = member.policy.exportLearnedState();
        switch (restarts) {
            case HANDED_OVER -> member.start(left);
            case KILLED -> member.start(new LearnedState(known.statistics(), null));
            default -> member.start(null);
        }
    }

    private void scheduleAt(long at, Runnable what) {
        events.add(new Event(at, order++, what));
    }

    /** What a dispatcher knows that has served each class for a while at workers of this size. */
    private LearnedState learnedState() {
        PolicyFixture rig = new PolicyFixture();
        settings().classes.forEach(of -> rig.settings.classes.add(of));
        rig.settings.classes.subList(0, rig.settings.classes.size() - CLASSES).clear();
        rig.settings.dispatcherCount = dispatchers;
        rig.settings.kindCount = 1;
        rig.start(PolicyFixture.backend(1, BackendState.READY, 0));
        rig.answerProbe(1, slots);
        for (int i = 0; i < 10 * CLASSES; i++) {
            rig.serve(i % CLASSES, Math.round(runs[i % CLASSES]), PolicyFixture.reportOfFreeSlots(slots));
        }
        return rig.policy.exportLearnedState();
    }

    private Settings settings() {
        Settings s = new Settings();
        s.dispatcherCount = dispatchers;
        s.reportMode = DispatchPolicy.ReportMode.IN_RESPONSES;
        s.mayCancel = true;
        s.mayHedge = true;
        s.maxAttempts = 4;
        s.backendsReportStart = true;
        s.coldCapacityShare = coldShare;
        s.warmUpMicros = coldFor;
        s.overloadMultiple = multiple;
        s.overloadWindowMicros = window;
        for (int c = 0; c < CLASSES; c++) {
            s.classes.add(new RequestClass("class " + c, Effect.REPEATABLE, DedupScope.ALL, 100 * SECOND, 1.5, 3 * window, 0, 1, 0,
                null, null, false));
        }
        return s;
    }

    private void countWork(long worker, double work) {
        ColdBackend at = workers.stream().filter(w -> w.id == worker).findFirst().orElseThrow();
        if (now - startedAt >= coldFor) {
            return;
        }
        at.lately.add(new Sent(now, work));
        at.sum += work;
        while (at.lately.peek().at <= now - window) {
            at.sum -= at.lately.poll().work;
        }
        double warmth = coldShare + (1 - coldShare) * (now - startedAt) / coldFor;
        double n = multiple * window * slots * warmth / mean;
        worstLimitRatio = Math.max(worstLimitRatio, at.sum / mean / (n + 2 * Math.sqrt(n) + 2));
    }
}
