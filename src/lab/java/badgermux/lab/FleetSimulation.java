package badgermux.lab;

import badgermux.decide.DispatchPolicy;
import badgermux.decide.DispatchPolicy.Effect;
import badgermux.decide.DispatchPolicy.ListUpdate;
import badgermux.decide.DispatchPolicy.Outcome;
import badgermux.decide.DispatchPolicy.DedupScope;
import badgermux.decide.DispatchPolicy.BackendState;
import badgermux.decide.DefaultDispatchPolicy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * One run: clients, dispatchers, network, discovery and nodes. Each actor draws from a stream of its own (Commons RNG), so
 * that two policies meet the same arrivals and the same delays. The same seed gives the same run.
 */
final class FleetSimulation {
    /** The classes: name, mean run, slots of one or two, aim, stretch, give-up time, worth, effect. */
    record ClassModel(String name, double trafficShare, double meanRunSeconds, boolean mayNeedTwoSlots, double targetSeconds, double targetStretch, double clientTimeoutSeconds,
            double worth, Effect effect) { }

    static final List<ClassModel> CLASSES = List.of(
        new ClassModel("preview", 0.37, 0.84, false, 0.6, 1.75, 10, 1, Effect.REPEATABLE),
        new ClassModel("epaper-page", 0.36, 5.1, true, 1.5, 2.5, 25, 2, Effect.REPEATABLE),
        new ClassModel("publish", 0.27, 3.4, true, 2.5, 1.75, 25, 3, Effect.BY_KEY));
    private static final double[] SPEED_BY_KIND = {1.8, 0.88};
    private static final long CONNECT_TIMEOUT_MICROS = 250_000, PROBE_TIMEOUT_MICROS = 500_000, IDLE_TIMEOUT_MICROS = 15_000_000;
    private static final long DRAIN_MICROS = 5_000_000, BOOT_MICROS = 1_500_000;
    private static final int REPLACEMENT_STEPS = 6;
    private static final long RESTART_MICROS = 3_700_000;

    /** What a client wants, all its tries together. */
    static final class ClientRequest {
        final long key;
        final int classIndex;
        final int zone;
        final double workSeconds;
        final int slots;
        final long arrivedAtMicros;
        int sendCount;
        boolean servedInTime;

        ClientRequest(long key, int kind, int zone, double work, int slots, long at) {
            this.key = key;
            this.classIndex = kind;
            this.zone = zone;
            this.workSeconds = work;
            this.slots = slots;
            this.arrivedAtMicros = at;
        }

        double targetTimeMicros() {
            return arrivedAtMicros + (CLASSES.get(classIndex).targetSeconds + CLASSES.get(classIndex).targetStretch * workSeconds) * 1e6;
        }
    }

    /** One try, as a dispatcher has it. */
    static final class DispatcherRequest {
        final long id;
        final ClientRequest clientRequest;
        final int slots;
        final long deadlineMicros;
        int answerCount;
        final List<Attempt> attempts = new ArrayList<>(2);

        DispatcherRequest(long id, ClientRequest wish, long until) {
            this.id = id;
            this.clientRequest = wish;
            slots = wish.slots;
            this.deadlineMicros = until;
        }
    }

    /** One send. */
    static final class Attempt {
        final DispatcherRequest request;
        final int number;
        final SimulatedBackend backend;
        final SimulatedDispatcher dispatcher;
        boolean hasEnded;
        SimulatedBackend.Task task;

        Attempt(DispatcherRequest job, int number, SimulatedBackend node, SimulatedDispatcher from) {
            this.request = job;
            this.number = number;
            this.backend = node;
            this.dispatcher = from;
        }
    }

    /** What came of a run. */
    static final class Result {
        double offeredWorth;
        double worthInTime;
        final double[] offeredWorthByZone;
        final double[] worthInTimeByZone;
        final double[] offeredCountByClass = new double[CLASSES.size()];
        final double[] countInTimeByClass = new double[CLASSES.size()];
        double worthBound;
        int dispatcherRequestCount;
        int clientRequestCount;
        int failuresAfterAnswer;
        int repeatedKeyCount;
        int overloadedBackends;
        double maxOverloadRatio;
        double maxSpillShare;
        /** Worth in time and asked for, by five seconds of arrival. */
        final double[][] worthByArrivalBin = new double[2][64];
        final List<Double> darkDetectionSeconds = new ArrayList<>();
        double recoverySeconds = Double.NaN;
        /** By half seconds: work served by zone, then capacity by zone, then spilled slots. */
        final List<double[]> timeSeries = new ArrayList<>();

        Result(int zones) {
            offeredWorthByZone = new double[zones];
            worthInTimeByZone = new double[zones];
        }
    }

    /** A dispatcher: the real module, and its actions as they come out in this world. */
    final class SimulatedDispatcher implements DispatchPolicy.Actions {
        final int number;
        final int zone;
        private final UniformRandomProvider networkRandom;
        private final Map<Long, DispatcherRequest> requests = new HashMap<>();
        private final Map<Long, Long> connectionUsedAt = new HashMap<>();
        private DefaultDispatchPolicy dispatchPolicy;
        private DispatchPolicy.ZoneLimits zones;
        private int processNumber;
        private boolean isRestarting;

        SimulatedDispatcher(int number, int zone) {
            this.number = number;
            this.zone = zone;
            networkRandom = randomStream(1_000 + number);
        }

        void start() {
            processNumber++;
            isRestarting = false;
            requests.clear();
            connectionUsedAt.clear();
            DispatchPolicy.LearnedState left = dispatchPolicy == null || !scenario.keepsLearnedState ? null : dispatchPolicy.exportLearnedState();
            DispatchPolicy.Settings s = settings(number, zone);
            zones = limitsFactory.apply(s, randomStream(5_000 + 100L * processNumber + number));
            dispatchPolicy = new DefaultDispatchPolicy(s, new SplittableRandom(seed * 31 + number + 1_000L * processNumber).nextLong(), this, zones);
            List<DispatchPolicy.Backend> known = new ArrayList<>();
            for (SimulatedBackend node : backends.values()) {
                known.add(new DispatchPolicy.Backend(node.id, node.zone, node.kind, 0, listedReady.get(node.id) ? BackendState.READY
                    : BackendState.GONE, listedStartMicros.get(node.id)));
            }
            dispatchPolicy.backendsListed(nowMicros(), ListUpdate.FULL, known);
            if (left != null) {
                dispatchPolicy.importLearnedState(left);
            }
        }

        /** Serves what it has for as long as a planned stop lets it, while others take what comes; then begins anew. */
        void restart() {
            isRestarting = true;
            events.scheduleAfter(RESTART_MICROS, this::start);
        }

        void updateBackend(SimulatedBackend node, boolean ready, long startedAt) {
            dispatchPolicy.backendsListed(nowMicros(), ListUpdate.DELTA, List.of(new DispatchPolicy.Backend(node.id, node.zone, node.kind, 0,
                ready ? BackendState.READY : BackendState.GONE, startedAt)));
        }

        void receiveRequest(ClientRequest wish) {
            DispatcherRequest job = new DispatcherRequest(nextRequestId++, wish, nowMicros() + (long) (CLASSES.get(wish.classIndex).clientTimeoutSeconds * 1e6));
            result.dispatcherRequestCount++;
            requests.put(job.id, job);
            dispatchPolicy.requestReceived(nowMicros(), new DispatchPolicy.Request(job.id, wish.classIndex, 0, wish.slots, 0, job.deadlineMicros - 30_000 - nowMicros()));
        }

        private long networkDelayMicros(int to) {
            return zone == to ? 300 + networkRandom.nextInt(400) : 5_600 + networkRandom.nextInt(4_400);
        }

        @Override public void send(long id, long worker) {
            DispatcherRequest job = requests.get(id);
            SimulatedBackend node = backends.get(worker);
            Attempt a = new Attempt(job, job.attempts.size(), node, this);
            job.attempts.add(a);
            if (node.zone != zone) {
                countSpilledSlots(node, a, 1);
            }
            int mine = processNumber;
            long idle = nowMicros() - connectionUsedAt.getOrDefault(worker, Long.MIN_VALUE / 2);
            if (!node.isUp && !node.isSilent) {
                events.scheduleAfter(networkDelayMicros(node.zone), () -> endAttempt(a, Outcome.CONNECT_FAILED, mine));
            } else if (!node.isUp && idle > IDLE_TIMEOUT_MICROS) {
                events.scheduleAfter(CONNECT_TIMEOUT_MICROS, () -> endAttempt(a, Outcome.CONNECT_FAILED, mine));
            } else {
                connectionUsedAt.put(worker, nowMicros());
                events.scheduleAfter(networkDelayMicros(node.zone), () -> deliverAttempt(a, mine));
            }
            events.scheduleAt(job.deadlineMicros - 30_000, () -> endAttempt(a, Outcome.TIMED_OUT, mine));
        }

        private void deliverAttempt(Attempt a, int mine) {
            if (!a.hasEnded && a.backend.isUp && mine == processNumber) {
                receiveAttempt(a, mine);
            }
        }

        void reportStart(Attempt a, int mine) {
            events.scheduleAfter(networkDelayMicros(a.backend.zone), () -> {
                if (mine == processNumber && !a.hasEnded) {
                    dispatchPolicy.attemptStarted(nowMicros(), a.request.id, a.number);
                }
            });
        }

        void reportEnd(Attempt a, Outcome outcome, int mine) {
            events.scheduleAfter(networkDelayMicros(a.backend.zone), () -> endAttempt(a, outcome, mine));
        }

        private void endAttempt(Attempt a, Outcome outcome, int mine) {
            if (a.hasEnded) {
                return;
            }
            a.hasEnded = true;
            if (a.backend.zone != zone) {
                countSpilledSlots(a.backend, a, -1);
            }
            if (mine != processNumber) {
                return;
            }
            if (outcome == Outcome.SERVED) {
                connectionUsedAt.put(a.backend.id, nowMicros());
                answerRequest(a.request, true, 0);
            } else if (outcome != Outcome.REJECTED) {
                connectionUsedAt.remove(a.backend.id);
            }
            dispatchPolicy.attemptEnded(nowMicros(), a.request.id, a.number, a.backend.id, outcome, a.request.answerCount > 0, null);
        }

        @Override public void cancel(long id, int attempt) {
            DispatcherRequest job = requests.get(id);
            if (job == null || attempt >= job.attempts.size() || job.attempts.get(attempt).hasEnded) {
                return;
            }
            Attempt a = job.attempts.get(attempt);
            int mine = processNumber;
            if (a.task != null && !a.task.isRunning && !(scenario.ignoresCancel && a.backend.kind == 1)) {
                a.task.isCancelled = true;
            }
            events.scheduleAfter(0, () -> endAttempt(a, Outcome.CANCELLED, mine));
        }

        @Override public void refuse(long id, long comeBack) {
            answerRequest(requests.get(id), false, comeBack);
        }

        @Override public void fail(long id) {
            answerRequest(requests.get(id), false, -1);
        }

        private void answerRequest(DispatcherRequest job, boolean served, long comeBack) {
            if (job == null) {
                return;
            }
            if (job.answerCount++ > 0) {
                result.failuresAfterAnswer += served ? 0 : 1;
                return;
            }
            events.scheduleAfter(1_000 * CLASSES.size() * 20, () -> requests.remove(job.id));
            handleAnswer(job, served, comeBack);
        }

        @Override public void startTimer(long delay, int token) {
            int mine = processNumber;
            events.scheduleAfter(delay, () -> {
                if (mine == processNumber) {
                    dispatchPolicy.timerFired(nowMicros(), token);
                }
            });
        }

        @Override public void probe(long worker) {
            SimulatedBackend node = backends.get(worker);
            int mine = processNumber;
            boolean answers = node.isUp && !node.isOverloaded;
            events.scheduleAfter(answers ? 2 * networkDelayMicros(node.zone) : node.isSilent ? PROBE_TIMEOUT_MICROS : networkDelayMicros(node.zone), () -> {
                if (mine == processNumber) {
                    DispatchPolicy.LoadReport report = new DispatchPolicy.LoadReport();
                    report.freeSlots = Math.max(0, node.reportedFreeSlots);
                    report.recentRunMicros = scenario.reportsRunTimes ? 1e6 * CLASSES.stream().mapToDouble(k -> k.trafficShare * k.meanRunSeconds).sum()
                        / node.speed / node.capacityShare(nowMicros()) : Double.NaN;
                    dispatchPolicy.probeEnded(nowMicros(), worker, answers && node.isUp, answers ? report : null);
                }
            });
        }

        @Override public void closeIdleConnections(long worker) {
            connectionUsedAt.remove(worker);
        }

        @Override public void watchBackendList() { }

        @Override public void log(String line) {
            if (line.startsWith("zone ")) {
                recordDarkDetection(line);
            }
            if (logLines != null) {
                logLines.add(String.format(java.util.Locale.ROOT, "%7.3f dispatcher %d %s", nowMicros() / 1e6, number, line));
            }
        }
    }

    private final Scenario scenario;
    private final long seed;
    private final BiFunction<DispatchPolicy.Settings, UniformRandomProvider, DispatchPolicy.ZoneLimits> limitsFactory;
    private final EventQueue events = new EventQueue();
    private final Map<Long, SimulatedBackend> backends = new HashMap<>();
    private final Map<Long, Boolean> listedReady = new HashMap<>();
    private final Map<Long, Long> listedStartMicros = new HashMap<>();
    private final List<SimulatedDispatcher> dispatchers = new ArrayList<>();
    private final Map<Long, int[]> runsByKeyAndZone = new HashMap<>();
    private final Result result;
    private final double[] spilledSlotsByZone;
    private final double[] servedWorkByZone;
    private final UniformRandomProvider discoveryRandom;
    private final UniformRandomProvider clientRandom;
    private List<String> logLines;
    private long nextRequestId = 1;
    private long nextKey = 1;
    private double arrivalsPerSecond;
    private int zoneLossCount;

    FleetSimulation(Scenario scenario, long seed, BiFunction<DispatchPolicy.Settings, UniformRandomProvider, DispatchPolicy.ZoneLimits> policy) {
        this.scenario = scenario;
        this.seed = seed;
        this.limitsFactory = policy;
        result = new Result(scenario.zones);
        spilledSlotsByZone = new double[scenario.zones];
        servedWorkByZone = new double[scenario.zones];
        discoveryRandom = randomStream(1);
        clientRandom = randomStream(2);
    }

    private UniformRandomProvider randomStream(long actor) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {seed * 0x9E3779B97F4A7C15L + actor,
            actor * 0xBF58476D1CE4E5B9L ^ seed});
    }

    private long nowMicros() {
        return events.nowMicros();
    }

    /** Keeps what dispatchers log. */
    FleetSimulation logTo(List<String> to) {
        logLines = to;
        return this;
    }

    Result run() {
        UniformRandomProvider fleet = randomStream(3);
        double all = 0;
        for (int z = 0; z < scenario.zones; z++) {
            for (int i = 0; i < scenario.backendsPerZone; i++) {
                int kind = i % 3 == 2 ? 1 : 0;
                SimulatedBackend node = new SimulatedBackend(fleet.nextLong(), z, kind, SPEED_BY_KIND[kind], 15_000_000 + fleet.nextInt(8_000_000));
                backends.put(node.id, node);
                listedReady.put(node.id, true);
                listedStartMicros.put(node.id, 0L);
                all += node.slots * node.speed;
            }
        }
        double work = CLASSES.stream().mapToDouble(k -> k.trafficShare * k.meanRunSeconds * (k.mayNeedTwoSlots ? 1 + scenario.twoSlotShare : 1)).sum();
        backends.values().forEach(node -> node.meanRequestWork = scenario.countsMeanWork ? work : node.meanRequestWork);
        arrivalsPerSecond = scenario.load * all * (scenario.zones - 1) / scenario.zones / work;
        // The module takes 0 for long ago; the world begins a while after it.
        events.runUntil(100_000_000);
        backends.values().stream().limit(Math.round(scenario.initialColdShare * backends.size())).forEach(node -> {
            node.startCold(nowMicros());
            listedStartMicros.put(node.id, nowMicros());
        });
        for (int d = 0; d < scenario.zones * scenario.dispatchersPerZone; d++) {
            dispatchers.add(new SimulatedDispatcher(d, d % scenario.zones));
        }
        dispatchers.forEach(SimulatedDispatcher::start);
        long begin = nowMicros();
        for (Scenario.Loss loss : scenario.losses) {
            events.scheduleAt(begin + (long) (loss.startSeconds() * 1e6), () -> loseZone(loss.zone()));
            events.scheduleAt(begin + (long) (loss.endSeconds() * 1e6), () -> returnZone(loss.zone()));
        }
        if (scenario.restartedDispatcher >= 0) {
            events.scheduleAt(begin + (long) (scenario.restartAtSeconds * 1e6), () -> dispatchers.get(scenario.restartedDispatcher).start());
        }
        for (int i = 0; scenario.rollEndSeconds > 0 && i < dispatchers.size(); i++) {
            double step = Math.floorDiv(10 * i, dispatchers.size()) / 10.0 * (scenario.rollEndSeconds - scenario.rollStartSeconds);
            events.scheduleAt(begin + (long) ((scenario.rollStartSeconds + step) * 1e6), dispatchers.get(i)::restart);
        }
        List<SimulatedBackend> old = new ArrayList<>(backends.values());
        for (int i = 0; i < scenario.replacedShare * old.size(); i++) {
            double step = (i % REPLACEMENT_STEPS) / (double) REPLACEMENT_STEPS * (scenario.replaceEndSeconds - scenario.replaceStartSeconds);
            SimulatedBackend leaves = old.get(i);
            long id = fleet.nextLong();
            long coldFor = 15_000_000 + fleet.nextInt(8_000_000);
            events.scheduleAt(begin + (long) ((scenario.replaceStartSeconds + step) * 1e6), () -> replaceBackend(leaves, id, coldFor));
        }
        long end = begin + (long) (scenario.durationSeconds * 1e6);
        scheduleArrival(end);
        startLoadReports();
        sampleTimeSeries(begin, end);
        events.runUntil(end + 30_000_000);
        backends.values().forEach(node -> {
            result.maxOverloadRatio = Math.max(result.maxOverloadRatio, node.maxOverloadRatio);
            result.overloadedBackends += node.isOverloaded ? 1 : 0;
        });
        runsByKeyAndZone.values().forEach(zones -> {
            int ran = 0;
            for (int times : zones) {
                ran += times;
            }
            result.repeatedKeyCount += ran > 1 ? 1 : 0;
        });
        computeWorthBound(begin, end);
        return result;
    }

    // ---- Clients

    private void scheduleArrival(long end) {
        double gap = ZigguratSampler.Exponential.of(clientRandom, 1e6 / arrivalsPerSecond).sample();
        events.scheduleAfter((long) gap, () -> {
            if (nowMicros() < end) {
                int kind = 0;
                double draw = clientRandom.nextDouble();
                while (kind < CLASSES.size() - 1 && draw >= CLASSES.get(kind).trafficShare) {
                    draw -= CLASSES.get(kind++).trafficShare;
                }
                // A run of gamma shape 2: neither all alike nor without a scale.
                double work = (ZigguratSampler.Exponential.of(clientRandom, 1).sample()
                    + ZigguratSampler.Exponential.of(clientRandom, 1).sample()) / 2 * CLASSES.get(kind).meanRunSeconds;
                int slots = CLASSES.get(kind).mayNeedTwoSlots && clientRandom.nextDouble() < scenario.twoSlotShare ? 2 : 1;
                ClientRequest wish = new ClientRequest(nextKey++, kind, clientRandom.nextInt(scenario.zones), work, slots, nowMicros());
                result.clientRequestCount++;
                double worth = CLASSES.get(kind).worth;
                result.offeredWorth += worth;
                result.offeredCountByClass[kind]++;
                result.offeredWorthByZone[wish.zone] += worth;
                result.worthByArrivalBin[1][arrivalBin(wish)] += worth;
                arrivals.add(wish);
                sendToDispatcher(wish, clientRandom.nextInt(scenario.dispatchersPerZone));
                scheduleArrival(end);
            }
        });
    }

    private static int arrivalBin(ClientRequest wish) {
        return (int) Math.min(63, (wish.arrivedAtMicros - 100_000_000) / 5_000_000);
    }

    private final List<ClientRequest> arrivals = new ArrayList<>();

    private void sendToDispatcher(ClientRequest wish, int which) {
        wish.sendCount++;
        int at = which;
        for (int i = 0; i < scenario.dispatchersPerZone && dispatchers.get(at * scenario.zones + wish.zone).isRestarting; i++) {
            at = (at + 1) % scenario.dispatchersPerZone;
        }
        dispatchers.get(at * scenario.zones + wish.zone).receiveRequest(wish);
    }

    private void handleAnswer(DispatcherRequest job, boolean served, long comeBack) {
        ClientRequest wish = job.clientRequest;
        if (served) {
            if (!wish.servedInTime && nowMicros() <= wish.targetTimeMicros()) {
                wish.servedInTime = true;
                result.countInTimeByClass[wish.classIndex]++;
                result.worthInTime += CLASSES.get(wish.classIndex).worth;
                result.worthByArrivalBin[0][arrivalBin(wish)] += CLASSES.get(wish.classIndex).worth;
                result.worthInTimeByZone[wish.zone] += CLASSES.get(wish.classIndex).worth;
            }
        } else if (comeBack >= 0 && wish.sendCount <= 2) {
            long wait = Math.max(comeBack, 500_000);
            int which = (int) Math.floorMod(wish.key * 7 + wish.sendCount, (long) scenario.dispatchersPerZone);
            events.scheduleAfter(wait + Math.floorMod(wish.key * 7919, wait / 2), () -> sendToDispatcher(wish, which));
        }
    }

    // ---- Nodes

    private void receiveAttempt(Attempt a, int mine) {
        SimulatedBackend node = a.backend;
        if (node.isOverloaded) {
            return;
        }
        DispatcherRequest job = a.request;
        double work = scenario.countsMeanWork ? CLASSES.get(job.clientRequest.classIndex).meanRunSeconds : job.clientRequest.workSeconds;
        if (node.recordWork(nowMicros(), work * job.slots, a.dispatcher.number)) {
            node.isOverloaded = true;
            if (logLines != null) {
                logLines.add(String.format(java.util.Locale.ROOT, "%7.3f zone node %s falls, %.2f s old, work %s", nowMicros() / 1e6,
                    Long.toHexString(node.id), (nowMicros() - node.startedAtMicros) / 1e6, node.recentWorkText()));
            }
            node.discardWork();
            return;
        }
        if (node.isFull()) {
            a.dispatcher.reportEnd(a, Outcome.REJECTED, mine);
            return;
        }
        a.task = new SimulatedBackend.Task(a);
        node.queued.add(a.task);
        startQueued(node, mine);
    }

    /** In order: the first that waits starts as soon as it fits. */
    private void startQueued(SimulatedBackend node, int mine) {
        while (!node.queued.isEmpty()) {
            SimulatedBackend.Task task = node.queued.peek();
            if (task.isCancelled) {
                node.queued.poll();
                continue;
            }
            DispatcherRequest job = task.attempt.request;
            if (node.usedSlots + job.slots > node.slots) {
                return;
            }
            node.queued.poll();
            task.isRunning = true;
            node.usedSlots += job.slots;
            node.running.add(task);
            int life = node.processNumber;
            int[] zonesOfKey = CLASSES.get(job.clientRequest.classIndex).effect == Effect.BY_KEY
                ? runsByKeyAndZone.computeIfAbsent(job.clientRequest.key, k -> new int[scenario.zones]) : null;
            boolean repeat = zonesOfKey != null && zonesOfKey[node.zone] > 0;
            if (zonesOfKey != null && !repeat) {
                zonesOfKey[node.zone]++;
            }
            task.attempt.dispatcher.reportStart(task.attempt, task.attempt.dispatcher.processNumber);
            // A repeat inside one data centre is dropped: it costs next to nothing and brings the same result.
            double run = repeat ? 0.01 : job.clientRequest.workSeconds / (node.speed * Math.max(SimulatedBackend.COLD_CAPACITY_SHARE, node.capacityShare(nowMicros())));
            events.scheduleAfter((long) (run * 1e6), () -> {
                if (node.processNumber != life) {
                    return;
                }
                node.usedSlots -= job.slots;
                node.running.remove(task);
                if (node.isUp && !node.isOverloaded) {
                    servedWorkByZone[node.zone] += job.clientRequest.workSeconds * job.slots;
                    task.attempt.dispatcher.reportEnd(task.attempt, Outcome.SERVED, task.attempt.dispatcher.processNumber);
                }
                startQueued(node, mine);
            });
        }
    }

    private void loseZone(int zone) {
        zoneLossCount++;
        zoneLostAt = nowMicros();
        for (SimulatedBackend node : backends.values()) {
            if (node.zone == zone) {
                node.isUp = false;
                node.isSilent = scenario.isLossSilent;
                List<SimulatedBackend.Task> had = new ArrayList<>(node.running);
                had.addAll(node.queued);
                node.discardWork();
                if (!scenario.isLossSilent) {
                    had.forEach(task -> task.attempt.dispatcher.reportEnd(task.attempt, Outcome.RESET, task.attempt.dispatcher.processNumber));
                }
                publishBackend(node, false, listedStartMicros.get(node.id));
            }
        }
    }

    /** One drains and ends, with what still runs there; another begins cold in its place. */
    private void replaceBackend(SimulatedBackend leaves, long id, long coldFor) {
        publishBackend(leaves, false, listedStartMicros.get(leaves.id));
        events.scheduleAfter(DRAIN_MICROS, () -> {
            leaves.isUp = false;
            List<SimulatedBackend.Task> had = new ArrayList<>(leaves.running);
            had.addAll(leaves.queued);
            leaves.discardWork();
            had.forEach(task -> task.attempt.dispatcher.reportEnd(task.attempt, Outcome.RESET, task.attempt.dispatcher.processNumber));
        });
        events.scheduleAfter(BOOT_MICROS, () -> {
            SimulatedBackend next = new SimulatedBackend(id, leaves.zone, leaves.kind, leaves.speed, coldFor);
            next.meanRequestWork = leaves.meanRequestWork;
            next.startCold(nowMicros());
            backends.put(id, next);
            listedReady.put(id, false);
            listedStartMicros.put(id, 0L);
            scheduleLoadReport(next, randomStream(id));
            publishBackend(next, true, nowMicros());
        });
    }

    private void returnZone(int zone) {
        zoneReturnedAt = nowMicros();
        for (SimulatedBackend node : backends.values()) {
            if (node.zone == zone) {
                // Not all at one time: machines boot over some seconds.
                events.scheduleAfter(discoveryRandom.nextInt(3_000_000), () -> {
                    node.isUp = true;
                    node.isSilent = false;
                    node.startCold(nowMicros());
                    publishBackend(node, true, nowMicros());
                });
            }
        }
    }

    /** Each dispatcher hears of a change by itself, late. */
    private void publishBackend(SimulatedBackend node, boolean ready, long startedAt) {
        events.scheduleAfter((long) (scenario.minListDelaySeconds * 1e6), () -> {
            listedReady.put(node.id, ready);
            listedStartMicros.put(node.id, startedAt);
        });
        for (SimulatedDispatcher instance : dispatchers) {
            double late = scenario.minListDelaySeconds + discoveryRandom.nextDouble() * (scenario.maxListDelaySeconds - scenario.minListDelaySeconds);
            events.scheduleAfter((long) (late * 1e6), () -> instance.updateBackend(node, ready, startedAt));
        }
    }

    private void startLoadReports() {
        for (SimulatedBackend node : backends.values()) {
            scheduleLoadReport(node, randomStream(node.id));
        }
    }

    private void scheduleLoadReport(SimulatedBackend node, UniformRandomProvider own) {
        events.scheduleAfter(310_000 + own.nextInt(570_000), () -> {
            // What is reported are slots that nothing runs in: one may be kept by a wide job that waits for a second.
            double free = node.slots - node.usedSlots;
            events.scheduleAfter(scenario.reportLagMicros, () -> node.reportedFreeSlots = free);
            scheduleLoadReport(node, own);
        });
    }

    // ---- What is watched

    private long zoneLostAt;
    private long zoneReturnedAt;

    private void recordDarkDetection(String line) {
        if (line.contains(" is dark") && zoneLossCount > 0) {
            result.darkDetectionSeconds.add((nowMicros() - zoneLostAt) / 1e6);
        }
    }

    private void countSpilledSlots(SimulatedBackend node, Attempt a, int sign) {
        spilledSlotsByZone[node.zone] += sign * a.request.slots;
        double slots = 0;
        for (SimulatedBackend each : backends.values()) {
            slots += each.zone == node.zone ? each.slots : 0;
        }
        result.maxSpillShare = Math.max(result.maxSpillShare, spilledSlotsByZone[node.zone] / slots);
    }

    private void sampleTimeSeries(long begin, long end) {
        double[] before = servedWorkByZone.clone();
        events.scheduleAfter(500_000, () -> {
            double[] row = new double[3 * scenario.zones + 1];
            row[0] = (nowMicros() - begin) / 1e6;
            for (int z = 0; z < scenario.zones; z++) {
                row[1 + z] = (servedWorkByZone[z] - before[z]) * 2;
                for (SimulatedBackend node : backends.values()) {
                    row[1 + scenario.zones + z] += node.zone == z ? node.capacity(nowMicros()) : 0;
                }
                row[1 + 2 * scenario.zones + z] = spilledSlotsByZone[z];
            }
            result.timeSeries.add(row);
            if (nowMicros() < end) {
                sampleTimeSeries(begin, end);
            } else {
                measureRecovery(begin);
            }
        });
    }

    /** From the first node that is up again to 95% of the work that the zone did before. */
    private void measureRecovery(long begin) {
        if (scenario.losses.isEmpty()) {
            return;
        }
        int zone = scenario.losses.get(0).zone();
        double lost = scenario.losses.get(0).startSeconds();
        double steady = result.timeSeries.stream().filter(r -> r[0] > lost / 2 && r[0] <= lost).mapToDouble(r -> r[1 + zone])
            .average().orElse(0);
        double from = (zoneReturnedAt - begin) / 1e6;
        double sum = 0;
        int count = 0;
        for (int i = 0; i < result.timeSeries.size(); i++) {
            double[] row = result.timeSeries.get(i);
            if (row[0] < from) {
                continue;
            }
            sum += row[1 + zone];
            count++;
            if (count > 6) {
                sum -= result.timeSeries.get(i - 6)[1 + zone];
                count--;
            }
            if (count == 6 && sum / count >= 0.95 * steady) {
                result.recoverySeconds = row[0] - from;
                return;
            }
        }
    }

    /**
     * What no dispatcher could exceed: in steps of half a second all work that waits is poured, the dearest by the
     * second first, into all capacity that there is, in whatever node, without queues, parts or distance, as long as it
     * can still be in time.
     */
    private void computeWorthBound(long begin, long end) {
        List<ClientRequest> open = new ArrayList<>();
        int next = 0;
        Map<ClientRequest, Double> left = new HashMap<>();
        for (double[] row : result.timeSeries) {
            long until = begin + (long) (row[0] * 1e6);
            while (next < arrivals.size() && arrivals.get(next).arrivedAtMicros < until) {
                ClientRequest wish = arrivals.get(next++);
                open.add(wish);
                left.put(wish, wish.workSeconds * wish.slots);
            }
            double capacity = 0;
            for (int z = 0; z < scenario.zones; z++) {
                capacity += row[1 + scenario.zones + z] / 2;
            }
            open.removeIf(wish -> until - 500_000 > wish.targetTimeMicros());
            open.sort((a, b) -> Double.compare(CLASSES.get(b.classIndex).worth / (b.workSeconds * b.slots),
                CLASSES.get(a.classIndex).worth / (a.workSeconds * a.slots)));
            for (int i = 0; i < open.size() && capacity > 0;) {
                ClientRequest wish = open.get(i);
                double use = Math.min(capacity, left.get(wish));
                capacity -= use;
                if (use >= left.get(wish)) {
                    result.worthBound += CLASSES.get(wish.classIndex).worth;
                    open.remove(i);
                } else {
                    left.put(wish, left.get(wish) - use);
                    i++;
                }
            }
        }
    }

    private DispatchPolicy.Settings settings(int number, int zone) {
        DispatchPolicy.Settings s = new DispatchPolicy.Settings();
        s.dispatcherCount = scenario.zones * scenario.dispatchersPerZone;
        s.dispatcherIndex = number;
        s.ownZone = zone;
        s.kindCount = 2;
        for (ClassModel kind : CLASSES) {
            s.classes.add(new DispatchPolicy.RequestClass(kind.name, kind.effect, DedupScope.ZONE, (long) (kind.targetSeconds * 1e6), kind.targetStretch,
                (long) (kind.clientTimeoutSeconds * 1e6), 40_000_000, kind.worth, 0, -1, false));
        }
        s.reportMode = DispatchPolicy.ReportMode.ON_PROBE;
        s.mayProbe = true;
        s.listPushed = true;
        s.idleTimeoutMicros = IDLE_TIMEOUT_MICROS;
        s.connectCost = 0.01;
        s.mayCancel = true;
        s.mayHedge = true;
        s.maxAttempts = 3;
        s.maxRetryAfterMicros = 2_000_000;
        s.backendsReportStart = true;
        s.coldCapacityShare = SimulatedBackend.COLD_CAPACITY_SHARE;
        s.warmUpMicros = 23_000_000;
        s.overloadMultiple = SimulatedBackend.OVERLOAD_MULTIPLE;
        s.overloadWindowMicros = SimulatedBackend.OVERLOAD_WINDOW_MICROS;
        return s.validated();
    }
}
