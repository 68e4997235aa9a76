package badgermux.decide;

import badgermux.decide.DispatchPolicy.Actions;
import badgermux.decide.DispatchPolicy.Backend;
import badgermux.decide.DispatchPolicy.BackendState;
import badgermux.decide.DispatchPolicy.DedupScope;
import badgermux.decide.DispatchPolicy.Effect;
import badgermux.decide.DispatchPolicy.LearnedState;
import badgermux.decide.DispatchPolicy.ListUpdate;
import badgermux.decide.DispatchPolicy.Outcome;
import badgermux.decide.DispatchPolicy.Request;
import badgermux.decide.DispatchPolicy.RequestClass;
import badgermux.decide.DispatchPolicy.Settings;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Simulates a fleet of dispatchers whose backends have all just started, so that everything that may be sent to a cold backend
 * is sent. One seed determines the settings, the run times, when each dispatcher learns of the starts, bursts of requests at
 * any time and around the ends of windows, calm periods and restarts of dispatchers. Times are microseconds of virtual time.
 */
final class WarmupSimulation {
    private static final long SECOND = 1_000_000;
    /** Latest time after the start of the backends at which a dispatcher learns of it. */
    private static final long MAX_PROPAGATION = 6 * SECOND;
    private static final int CLASSES = 3;
    private static final int MAX_BACKENDS = 24;
    /** Simulated overload windows. */
    private static final int WINDOWS = 7;
    private static final int MAX_BURSTS = 8;

    /** How dispatchers restart: with the learned state, without its recent sends, or without any of it. */
    enum Restarts { NONE, HANDED_OVER, KILLED, STATE_LOST }

    private record Event(long at, int order, Runnable task) { }

    private record CountedSend(long at, double work) { }

    /** A backend, and the work that it got in the last window from dispatchers that knew of its start. */
    private static final class ColdBackend {
        final long id;
        final Deque<CountedSend> recentSends = new ArrayDeque<>();
        double recentWork;

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

        /** Starts a process, with learned state unless {@code state} is null. */
        void start(LearnedState state) {
            processNumber++;
            Settings settings = settings();
            settings.dispatcherIndex = index;
            policy = new DefaultDispatchPolicy(settings, random.nextLong(), this);
            policy.backendsListed(now, ListUpdate.FULL, knownBackends());
            if (state != null) {
                policy.importLearnedState(state);
            }
        }

        private List<Backend> knownBackends() {
            if (now < startKnownAt && !listedBefore) {
                return List.of();
            }
            return backends.stream()
                .map(cold -> new Backend(cold.id, 0, 0, 0, BackendState.READY, now < startKnownAt ? 0 : startedAt)).toList();
        }

        void learnStart() {
            startKnownAt = now;
            policy.backendsListed(now, ListUpdate.FULL, knownBackends());
        }

        /** Receives requests of one class, or of all classes if {@code classIndex} is negative. */
        void receiveBurst(int requests, int classIndex) {
            for (int i = 0; i < requests; i++) {
                // The longest come first: the dispatcher of the first rank spends most, and the others what still fits.
                Request request = new Request(nextRequestId++,
                    classIndex < 0 ? i * CLASSES / requests : classIndex, 0, 1, 0, 3 * window);
                classOf.add(request.classIndex());
                attempts.add(0);
                policy.requestReceived(now, request);
            }
        }

        @Override public void send(long requestId, long backendId) {
            int attempt = attempts.get((int) requestId);
            attempts.set((int) requestId, attempt + 1);
            sendCount++;
            if (now >= startKnownAt) {
                countWork(backendId, runs[classOf.get((int) requestId)]);
            }
            int sendingProcess = processNumber;
            if (random.nextInt(3) == 0) {
                scheduleAt(now + 1 + random.nextInt(50_000), () -> {
                    if (sendingProcess == processNumber) {
                        policy.attemptEnded(now, requestId, attempt, backendId, Outcome.REJECTED, false, null);
                    }
                });
            }
        }

        @Override public void startTimer(long delayMicros, int token) {
            int sendingProcess = processNumber;
            scheduleAt(now + delayMicros, () -> {
                if (sendingProcess == processNumber) {
                    policy.timerFired(now, token);
                }
            });
        }

        @Override public void refuse(long requestId, long retryAfterMicros) { }

        @Override public void fail(long requestId) { }

        @Override public void cancel(long requestId, int attemptNumber) { }

        @Override public void probe(long backendId) { }

        @Override public void closeIdleConnections(long backendId) { }

        @Override public void watchBackendList() { }

        @Override public void log(String line) { }
    }

    private final Random random;
    private final int dispatchers;
    private final Restarts restarts;
    private final double allowedRequests;
    private final int slots;
    /** Run time of each class, the longest first. */
    private final double[] runs = new double[CLASSES];
    private final long window;
    private final long warmUp;
    private final double coldCapacityShare;
    private final double overloadMultiple;
    /** Whether dispatchers that do not know of the start have the backends in their lists as warm ones. */
    private final boolean listedBefore;
    private final PriorityQueue<Event> events =
        new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : a.order - b.order);
    private final List<SimulatedDispatcher> fleet = new ArrayList<>();
    private final List<ColdBackend> backends = new ArrayList<>();
    /** Class of each request, by its id. */
    private final List<Integer> classOf = new ArrayList<>();
    /** Number of attempts of each request, by its id. */
    private final List<Integer> attempts = new ArrayList<>();
    private long now = 1_000 * SECOND;
    private long startedAt;
    private long nextRequestId;
    private int order;
    /** Mean run time that the dispatchers have learned. */
    private double meanRun;
    /** Most work that a backend got in any window, in relation to N + 2 * sqrt(N) + 2 requests of mean work. */
    double worstLimitRatio;
    /** Attempts that were sent in all. */
    int sendCount;

    /**
     * Draws the settings of a fleet.
     *
     * @param mixed whether the classes have different run times
     */
    WarmupSimulation(long seed, int dispatchers, Restarts restarts, boolean mixed) {
        this.dispatchers = dispatchers;
        this.restarts = restarts;
        random = new Random(seed);
        overloadMultiple = 2 + random.nextDouble();
        window = SECOND / 2 + random.nextInt((int) (SECOND * 3 / 2));
        warmUp = 5 * SECOND + random.nextInt((int) (25 * SECOND));
        coldCapacityShare = 0.05 + 0.55 * random.nextDouble();
        slots = 1 + random.nextInt(16);
        allowedRequests = Math.exp(Math.log(0.1) + random.nextDouble() * Math.log(600));
        listedBefore = random.nextBoolean();
        for (int c = 0; c < CLASSES; c++) {
            runs[c] = overloadMultiple * window * slots * coldCapacityShare / allowedRequests;
            runs[c] *= mixed ? Math.exp(3 * random.nextDouble() - 2) : 1;
        }
        Arrays.sort(runs);
        for (int c = 0; c < CLASSES / 2; c++) {
            double shorter = runs[c];
            runs[c] = runs[CLASSES - 1 - c];
            runs[CLASSES - 1 - c] = shorter;
        }
        int count = 1 + random.nextInt(dispatchers > 100 ? MAX_BACKENDS / 4 : MAX_BACKENDS);
        for (int i = 0; i < count; i++) {
            backends.add(new ColdBackend(random.nextLong()));
        }
    }

    /** Simulates {@link #WINDOWS} windows from the start of the backends on. */
    void run() {
        LearnedState known = learnedState();
        meanRun = known.statistics()[0];
        startedAt = now + window;
        for (int i = 0; i < dispatchers; i++) {
            SimulatedDispatcher dispatcher = new SimulatedDispatcher(i);
            fleet.add(dispatcher);
            dispatcher.start(known);
            scheduleAt(startedAt + random.nextLong(Math.min(MAX_PROPAGATION, 2 * window)), dispatcher::learnStart);
        }
        long end = startedAt + WINDOWS * window;
        // After a calm period dispatchers have used little of their allowance, and may send more.
        int calm = random.nextInt(WINDOWS);
        int bursts = 1 + random.nextInt(MAX_BURSTS);
        for (int i = 0; i < bursts; i++) {
            scheduleBurst(calm + random.nextInt(WINDOWS - calm));
        }
        for (int i = 0; restarts != Restarts.NONE && i < Math.max(1, dispatchers / 3); i++) {
            SimulatedDispatcher dispatcher = fleet.get(random.nextInt(dispatchers));
            scheduleAt(startedAt + random.nextLong(WINDOWS * window), () -> restart(dispatcher, known));
        }
        while (!events.isEmpty() && events.peek().at <= end) {
            Event event = events.poll();
            now = event.at;
            event.task.run();
        }
    }

    /** Schedules requests at most dispatchers around the end of a window, close together or spread. */
    private void scheduleBurst(int windowNumber) {
        long edge = startedAt + windowNumber * window;
        long spread = 1 + random.nextLong(random.nextBoolean() ? 1_000 : window);
        int requests = 1 + random.nextInt(dispatchers > 100 ? 4 : 12);
        int classIndex = random.nextInt(CLASSES + 1) - 1;
        for (SimulatedDispatcher dispatcher : fleet) {
            long at = edge + random.nextLong(2 * spread) - spread;
            if (random.nextInt(5) > 0) {
                scheduleAt(Math.max(now, at), () -> dispatcher.receiveBurst(requests, classIndex));
            }
        }
    }

    private void restart(SimulatedDispatcher dispatcher, LearnedState known) {
        LearnedState exported = dispatcher.policy.exportLearnedState();
        switch (restarts) {
            case HANDED_OVER -> dispatcher.start(exported);
            case KILLED -> dispatcher.start(new LearnedState(known.statistics(), null));
            default -> dispatcher.start(null);
        }
    }

    private void scheduleAt(long at, Runnable task) {
        events.add(new Event(at, order++, task));
    }

    /** Returns the state of a dispatcher that has served each class for a while at backends of this size. */
    private LearnedState learnedState() {
        PolicyFixture fixture = new PolicyFixture();
        settings().classes.forEach(type -> fixture.settings.classes.add(type));
        fixture.settings.classes.subList(0, fixture.settings.classes.size() - CLASSES).clear();
        fixture.settings.dispatcherCount = dispatchers;
        fixture.settings.kindCount = 1;
        fixture.start(PolicyFixture.backend(1, BackendState.READY, 0));
        fixture.answerProbe(1, slots);
        for (int i = 0; i < 10 * CLASSES; i++) {
            fixture.serve(i % CLASSES, Math.round(runs[i % CLASSES]), PolicyFixture.reportOfFreeSlots(slots));
        }
        return fixture.policy.exportLearnedState();
    }

    private Settings settings() {
        Settings s = new Settings();
        s.dispatcherCount = dispatchers;
        s.reportMode = DispatchPolicy.ReportMode.IN_RESPONSES;
        s.mayCancel = true;
        s.mayHedge = true;
        s.maxAttempts = 4;
        s.backendsReportStart = true;
        s.coldCapacityShare = coldCapacityShare;
        s.warmUpMicros = warmUp;
        s.overloadMultiple = overloadMultiple;
        s.overloadWindowMicros = window;
        for (int c = 0; c < CLASSES; c++) {
            s.classes.add(new RequestClass("class " + c, Effect.REPEATABLE, DedupScope.ALL, 100 * SECOND, 1.5, 3 * window, 0,
                1, 0, null, null, false));
        }
        return s;
    }

    /** Adds work to a backend's sum over the last window and updates the worst ratio. */
    private void countWork(long backendId, double work) {
        ColdBackend cold = backends.stream().filter(each -> each.id == backendId).findFirst().orElseThrow();
        if (now - startedAt >= warmUp) {
            return;
        }
        cold.recentSends.add(new CountedSend(now, work));
        cold.recentWork += work;
        while (cold.recentSends.peek().at <= now - window) {
            cold.recentWork -= cold.recentSends.poll().work;
        }
        double warmth = coldCapacityShare + (1 - coldCapacityShare) * (now - startedAt) / warmUp;
        double n = overloadMultiple * window * slots * warmth / meanRun;
        worstLimitRatio = Math.max(worstLimitRatio, cold.recentWork / meanRun / (n + 2 * Math.sqrt(n) + 2));
    }
}
