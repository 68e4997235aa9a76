package badgermux.lab;

import badgermux.decide.DefaultDispatchPolicy;
import badgermux.decide.DispatchPolicy;
import badgermux.decide.DispatchPolicy.BackendState;
import badgermux.decide.DispatchPolicy.DedupScope;
import badgermux.decide.DispatchPolicy.Effect;
import badgermux.decide.DispatchPolicy.ListUpdate;
import badgermux.decide.DispatchPolicy.Outcome;
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
 * Simulates one run of clients, dispatchers, network, discovery and backends in virtual time. Each actor draws random numbers
 * from its own stream, so two policies see the same arrivals and the same delays. The same seed gives the same run.
 */
final class FleetSimulation {
    /**
     * A request class.
     *
     * @param trafficShare    the share of all arrivals
     * @param meanRunSeconds  the mean work of a request, which is its run time on a warm backend of speed 1
     * @param mayNeedTwoSlots whether some requests need two slots, see {@link Scenario#twoSlotShare}
     * @param targetSeconds   the fixed part of the target time
     * @param targetStretch   the further target time for each second of the request's work, in seconds
     */
    record ClassModel(String name, double trafficShare, double meanRunSeconds, boolean mayNeedTwoSlots, double targetSeconds,
            double targetStretch, double clientTimeoutSeconds, double worth, Effect effect) { }

    static final List<ClassModel> CLASSES = List.of(
        new ClassModel("preview", 0.37, 0.84, false, 0.6, 1.75, 10, 1, Effect.REPEATABLE),
        new ClassModel("epaper-page", 0.36, 5.1, true, 1.5, 2.5, 25, 2, Effect.REPEATABLE),
        new ClassModel("publish", 0.27, 3.4, true, 2.5, 1.75, 25, 3, Effect.BY_KEY));
    /** Seconds of work that a slot of each machine kind does per second. */
    private static final double[] SPEED_BY_KIND = {1.8, 0.88};
    /** Time of the simulated clock at which a run begins. */
    private static final long BEGIN_MICROS = 100_000_000;
    /** Time before a request's deadline at which its attempts time out. */
    private static final long ANSWER_SLACK_MICROS = 30_000;
    private static final long CONNECT_TIMEOUT_MICROS = 250_000;
    private static final long PROBE_TIMEOUT_MICROS = 500_000;
    private static final long IDLE_TIMEOUT_MICROS = 15_000_000;
    /** From the start of a backend's drain until it stops. */
    private static final long DRAIN_MICROS = 5_000_000;
    /** From the start of a backend's drain until its replacement is up. */
    private static final long BOOT_MICROS = 1_500_000;
    private static final int REPLACEMENT_STEPS = 6;
    /** Time for which a dispatcher takes no new requests during a planned restart. */
    private static final long RESTART_MICROS = 3_700_000;

    /** A request of a client, including its client retries. */
    static final class ClientRequest {
        final long key;
        final int classIndex;
        final int zone;
        final double workSeconds;
        final int slots;
        final long arrivedAtMicros;
        int sendCount;
        boolean servedInTime;

        ClientRequest(long key, int classIndex, int zone, double workSeconds, int slots, long arrivedAtMicros) {
            this.key = key;
            this.classIndex = classIndex;
            this.zone = zone;
            this.workSeconds = workSeconds;
            this.slots = slots;
            this.arrivedAtMicros = arrivedAtMicros;
        }

        /** Returns the latest time at which an answer earns the worth of the request. */
        double targetTimeMicros() {
            return arrivedAtMicros
                + (CLASSES.get(classIndex).targetSeconds + CLASSES.get(classIndex).targetStretch * workSeconds) * 1e6;
        }
    }

    /** A request as a dispatcher receives it; each client retry is a request of its own. */
    static final class DispatcherRequest {
        final long id;
        final ClientRequest clientRequest;
        final int slots;
        final long deadlineMicros;
        int answerCount;
        final List<Attempt> attempts = new ArrayList<>(2);

        DispatcherRequest(long id, ClientRequest clientRequest, long deadlineMicros) {
            this.id = id;
            this.clientRequest = clientRequest;
            slots = clientRequest.slots;
            this.deadlineMicros = deadlineMicros;
        }
    }

    /** One sending of a request to a backend. */
    static final class Attempt {
        final DispatcherRequest request;
        final int number;
        final SimulatedBackend backend;
        final SimulatedDispatcher dispatcher;
        boolean hasEnded;
        SimulatedBackend.Task task;

        Attempt(DispatcherRequest request, int number, SimulatedBackend backend, SimulatedDispatcher dispatcher) {
            this.request = request;
            this.number = number;
            this.backend = backend;
            this.dispatcher = dispatcher;
        }
    }

    /** The figures of one run. */
    static final class Result {
        double offeredWorth;
        double worthInTime;
        final double[] offeredWorthByZone;
        final double[] worthInTimeByZone;
        final double[] offeredCountByClass = new double[CLASSES.size()];
        final double[] countInTimeByClass = new double[CLASSES.size()];
        /** An upper bound of the worth that any policy could serve in time. */
        double worthBound;
        int dispatcherRequestCount;
        int clientRequestCount;
        /** Refusals and failures of requests that already had a final answer. */
        int failuresAfterAnswer;
        /** Idempotency keys whose request ran in more than one zone. */
        int repeatedKeyCount;
        /** Backends that failed because they were sent too much work while cold. */
        int overloadedBackends;
        /** The highest ratio of work sent to one backend in a window to the work that it could do in it. */
        double maxOverloadRatio;
        /** The highest share of a zone's slots that attempts from other zones used. */
        double maxSpillShare;
        /** Worth served in time [0] and worth offered [1], in bins of five seconds of arrival time. */
        final double[][] worthByArrivalBin = new double[2][64];
        /** For each report of a dark zone, the time since the last loss. */
        final List<Double> darkDetectionSeconds = new ArrayList<>();
        /** From the return of the first lost zone to 95% of its earlier throughput; NaN if it did not get there. */
        double recoverySeconds = Double.NaN;
        /** One row per half second: time in seconds, work served by zone, capacity by zone, spilled slots by zone. */
        final List<double[]> timeSeries = new ArrayList<>();

        Result(int zoneCount) {
            offeredWorthByZone = new double[zoneCount];
            worthInTimeByZone = new double[zoneCount];
        }
    }

    /** A dispatcher: the real dispatch policy, whose actions take effect in the simulation. */
    final class SimulatedDispatcher implements DispatchPolicy.Actions {
        final int number;
        final int zone;
        private final UniformRandomProvider networkRandom;
        private final Map<Long, DispatcherRequest> requests = new HashMap<>();
        private final Map<Long, Long> connectionUsedAtMicros = new HashMap<>();
        private DefaultDispatchPolicy dispatchPolicy;
        private DispatchPolicy.ZoneLimits zoneLimits;
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
            connectionUsedAtMicros.clear();
            DispatchPolicy.LearnedState learnedState = dispatchPolicy == null || !scenario.keepsLearnedState ? null
                : dispatchPolicy.exportLearnedState();
            DispatchPolicy.Settings settings = settings(number, zone);
            zoneLimits = limitsFactory.apply(settings, randomStream(5_000 + 100L * processNumber + number));
            dispatchPolicy = new DefaultDispatchPolicy(settings,
                new SplittableRandom(seed * 31 + number + 1_000L * processNumber).nextLong(), this, zoneLimits);
            List<DispatchPolicy.Backend> listed = new ArrayList<>();
            for (SimulatedBackend backend : backends.values()) {
                listed.add(new DispatchPolicy.Backend(backend.id, backend.zone, backend.kind, 0,
                    listedReady.get(backend.id) ? BackendState.READY : BackendState.GONE, listedStartMicros.get(backend.id)));
            }
            dispatchPolicy.backendsListed(nowMicros(), ListUpdate.FULL, listed);
            if (learnedState != null) {
                dispatchPolicy.importLearnedState(learnedState);
            }
        }

        /**
         * Performs a planned restart: the dispatcher serves its open requests until the process stops, while the others
         * receive the new ones. Then it starts again.
         */
        void restart() {
            isRestarting = true;
            events.scheduleAfter(RESTART_MICROS, this::start);
        }

        void updateBackend(SimulatedBackend backend, boolean ready, long startedAtMicros) {
            dispatchPolicy.backendsListed(nowMicros(), ListUpdate.DELTA, List.of(new DispatchPolicy.Backend(backend.id,
                backend.zone, backend.kind, 0, ready ? BackendState.READY : BackendState.GONE, startedAtMicros)));
        }

        void receiveRequest(ClientRequest clientRequest) {
            DispatcherRequest request = new DispatcherRequest(nextRequestId++, clientRequest,
                nowMicros() + (long) (CLASSES.get(clientRequest.classIndex).clientTimeoutSeconds * 1e6));
            result.dispatcherRequestCount++;
            requests.put(request.id, request);
            dispatchPolicy.requestReceived(nowMicros(), new DispatchPolicy.Request(request.id, clientRequest.classIndex, 0,
                clientRequest.slots, 0, request.deadlineMicros - ANSWER_SLACK_MICROS - nowMicros()));
        }

        private long networkDelayMicros(int otherZone) {
            return zone == otherZone ? 300 + networkRandom.nextInt(400) : 5_600 + networkRandom.nextInt(4_400);
        }

        @Override public void send(long id, long backendId) {
            DispatcherRequest request = requests.get(id);
            SimulatedBackend backend = backends.get(backendId);
            Attempt attempt = new Attempt(request, request.attempts.size(), backend, this);
            request.attempts.add(attempt);
            if (backend.zone != zone) {
                countSpilledSlots(backend, attempt, 1);
            }
            int process = processNumber;
            long idleMicros = nowMicros() - connectionUsedAtMicros.getOrDefault(backendId, Long.MIN_VALUE / 2);
            if (!backend.isUp && !backend.isSilent) {
                events.scheduleAfter(networkDelayMicros(backend.zone),
                    () -> endAttempt(attempt, Outcome.CONNECT_FAILED, process));
            } else if (!backend.isUp && idleMicros > IDLE_TIMEOUT_MICROS) {
                events.scheduleAfter(CONNECT_TIMEOUT_MICROS, () -> endAttempt(attempt, Outcome.CONNECT_FAILED, process));
            } else {
                connectionUsedAtMicros.put(backendId, nowMicros());
                events.scheduleAfter(networkDelayMicros(backend.zone), () -> deliverAttempt(attempt, process));
            }
            events.scheduleAt(request.deadlineMicros - ANSWER_SLACK_MICROS,
                () -> endAttempt(attempt, Outcome.TIMED_OUT, process));
        }

        private void deliverAttempt(Attempt attempt, int process) {
            if (!attempt.hasEnded && attempt.backend.isUp && process == processNumber) {
                receiveAttempt(attempt, process);
            }
        }

        void reportStart(Attempt attempt, int process) {
            events.scheduleAfter(networkDelayMicros(attempt.backend.zone), () -> {
                if (process == processNumber && !attempt.hasEnded) {
                    dispatchPolicy.attemptStarted(nowMicros(), attempt.request.id, attempt.number);
                }
            });
        }

        void reportEnd(Attempt attempt, Outcome outcome, int process) {
            events.scheduleAfter(networkDelayMicros(attempt.backend.zone), () -> endAttempt(attempt, outcome, process));
        }

        private void endAttempt(Attempt attempt, Outcome outcome, int process) {
            if (attempt.hasEnded) {
                return;
            }
            attempt.hasEnded = true;
            if (attempt.backend.zone != zone) {
                countSpilledSlots(attempt.backend, attempt, -1);
            }
            if (process != processNumber) {
                return;
            }
            if (outcome == Outcome.SERVED) {
                connectionUsedAtMicros.put(attempt.backend.id, nowMicros());
                answerRequest(attempt.request, true, 0);
            } else if (outcome != Outcome.REJECTED) {
                connectionUsedAtMicros.remove(attempt.backend.id);
            }
            dispatchPolicy.attemptEnded(nowMicros(), attempt.request.id, attempt.number, attempt.backend.id, outcome,
                attempt.request.answerCount > 0, null);
        }

        @Override public void cancel(long id, int attemptNumber) {
            DispatcherRequest request = requests.get(id);
            if (request == null || attemptNumber >= request.attempts.size() || request.attempts.get(attemptNumber).hasEnded) {
                return;
            }
            Attempt attempt = request.attempts.get(attemptNumber);
            int process = processNumber;
            if (attempt.task != null && !attempt.task.isRunning && !(scenario.ignoresCancel && attempt.backend.kind == 1)) {
                attempt.task.isCancelled = true;
            }
            events.scheduleAfter(0, () -> endAttempt(attempt, Outcome.CANCELLED, process));
        }

        @Override public void refuse(long id, long retryAfterMicros) {
            answerRequest(requests.get(id), false, retryAfterMicros);
        }

        @Override public void fail(long id) {
            answerRequest(requests.get(id), false, -1);
        }

        private void answerRequest(DispatcherRequest request, boolean served, long retryAfterMicros) {
            if (request == null) {
                return;
            }
            if (request.answerCount++ > 0) {
                result.failuresAfterAnswer += served ? 0 : 1;
                return;
            }
            events.scheduleAfter(1_000 * CLASSES.size() * 20, () -> requests.remove(request.id));
            handleAnswer(request, served, retryAfterMicros);
        }

        @Override public void startTimer(long delayMicros, int token) {
            int process = processNumber;
            events.scheduleAfter(delayMicros, () -> {
                if (process == processNumber) {
                    dispatchPolicy.timerFired(nowMicros(), token);
                }
            });
        }

        @Override public void probe(long backendId) {
            SimulatedBackend backend = backends.get(backendId);
            int process = processNumber;
            boolean answers = backend.isUp && !backend.isOverloaded;
            events.scheduleAfter(answers ? 2 * networkDelayMicros(backend.zone) : backend.isSilent ? PROBE_TIMEOUT_MICROS
                : networkDelayMicros(backend.zone), () -> {
                if (process == processNumber) {
                    DispatchPolicy.LoadReport report = new DispatchPolicy.LoadReport();
                    report.freeSlots = Math.max(0, backend.reportedFreeSlots);
                    report.recentRunMicros = scenario.reportsRunTimes
                        ? 1e6 * CLASSES.stream().mapToDouble(model -> model.trafficShare * model.meanRunSeconds).sum()
                        / backend.speed / backend.capacityShare(nowMicros()) : Double.NaN;
                    dispatchPolicy.probeEnded(nowMicros(), backendId, answers && backend.isUp, answers ? report : null);
                }
            });
        }

        @Override public void closeIdleConnections(long backendId) {
            connectionUsedAtMicros.remove(backendId);
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
    /** Whether the newest backend list says of each backend that it is ready; dispatchers learn of a change later. */
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

    /** {@code limitsFactory} creates the zone limits of a dispatcher from its settings; null limits switch them off. */
    FleetSimulation(Scenario scenario, long seed,
            BiFunction<DispatchPolicy.Settings, UniformRandomProvider, DispatchPolicy.ZoneLimits> limitsFactory) {
        this.scenario = scenario;
        this.seed = seed;
        this.limitsFactory = limitsFactory;
        result = new Result(scenario.zones);
        spilledSlotsByZone = new double[scenario.zones];
        servedWorkByZone = new double[scenario.zones];
        discoveryRandom = randomStream(1);
        clientRandom = randomStream(2);
    }

    /** Returns the stream of random numbers of one actor. */
    private UniformRandomProvider randomStream(long actor) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {seed * 0x9E3779B97F4A7C15L + actor,
            actor * 0xBF58476D1CE4E5B9L ^ seed});
    }

    private long nowMicros() {
        return events.nowMicros();
    }

    /** Appends the log lines of all dispatchers, with their times, to a list. */
    FleetSimulation logTo(List<String> lines) {
        logLines = lines;
        return this;
    }

    /** Runs the scenario once and returns its figures. */
    Result run() {
        UniformRandomProvider fleetRandom = randomStream(3);
        double totalCapacity = 0;
        for (int z = 0; z < scenario.zones; z++) {
            for (int i = 0; i < scenario.backendsPerZone; i++) {
                int kind = i % 3 == 2 ? 1 : 0;
                SimulatedBackend backend = new SimulatedBackend(fleetRandom.nextLong(), z, kind, SPEED_BY_KIND[kind],
                    15_000_000 + fleetRandom.nextInt(8_000_000));
                backends.put(backend.id, backend);
                listedReady.put(backend.id, true);
                listedStartMicros.put(backend.id, 0L);
                totalCapacity += backend.slots * backend.speed;
            }
        }
        double meanWork = CLASSES.stream().mapToDouble(model -> model.trafficShare * model.meanRunSeconds
            * (model.mayNeedTwoSlots ? 1 + scenario.twoSlotShare : 1)).sum();
        backends.values().forEach(backend ->
            backend.meanRequestWork = scenario.countsMeanWork ? meanWork : backend.meanRequestWork);
        arrivalsPerSecond = scenario.load * totalCapacity * (scenario.zones - 1) / scenario.zones / meanWork;
        // The policy reads a start time of 0 as "long ago", so the run begins well after time 0.
        events.runUntil(BEGIN_MICROS);
        backends.values().stream().limit(Math.round(scenario.initialColdShare * backends.size())).forEach(backend -> {
            backend.startCold(nowMicros());
            listedStartMicros.put(backend.id, nowMicros());
        });
        for (int d = 0; d < scenario.zones * scenario.dispatchersPerZone; d++) {
            dispatchers.add(new SimulatedDispatcher(d, d % scenario.zones));
        }
        dispatchers.forEach(SimulatedDispatcher::start);
        long beginMicros = nowMicros();
        for (Scenario.Loss loss : scenario.losses) {
            events.scheduleAt(beginMicros + (long) (loss.startSeconds() * 1e6), () -> loseZone(loss.zone()));
            events.scheduleAt(beginMicros + (long) (loss.endSeconds() * 1e6), () -> returnZone(loss.zone()));
        }
        if (scenario.restartedDispatcher >= 0) {
            events.scheduleAt(beginMicros + (long) (scenario.restartAtSeconds * 1e6),
                () -> dispatchers.get(scenario.restartedDispatcher).start());
        }
        for (int i = 0; scenario.rollEndSeconds > 0 && i < dispatchers.size(); i++) {
            double delaySeconds = Math.floorDiv(10 * i, dispatchers.size()) / 10.0
                * (scenario.rollEndSeconds - scenario.rollStartSeconds);
            events.scheduleAt(beginMicros + (long) ((scenario.rollStartSeconds + delaySeconds) * 1e6),
                dispatchers.get(i)::restart);
        }
        List<SimulatedBackend> initialBackends = new ArrayList<>(backends.values());
        for (int i = 0; i < scenario.replacedShare * initialBackends.size(); i++) {
            double delaySeconds = (i % REPLACEMENT_STEPS) / (double) REPLACEMENT_STEPS
                * (scenario.replaceEndSeconds - scenario.replaceStartSeconds);
            SimulatedBackend replaced = initialBackends.get(i);
            long id = fleetRandom.nextLong();
            long warmUpMicros = 15_000_000 + fleetRandom.nextInt(8_000_000);
            events.scheduleAt(beginMicros + (long) ((scenario.replaceStartSeconds + delaySeconds) * 1e6),
                () -> replaceBackend(replaced, id, warmUpMicros));
        }
        long endMicros = beginMicros + (long) (scenario.durationSeconds * 1e6);
        scheduleArrival(endMicros);
        startLoadReports();
        sampleTimeSeries(beginMicros, endMicros);
        events.runUntil(endMicros + 30_000_000);
        backends.values().forEach(backend -> {
            result.maxOverloadRatio = Math.max(result.maxOverloadRatio, backend.maxOverloadRatio);
            result.overloadedBackends += backend.isOverloaded ? 1 : 0;
        });
        runsByKeyAndZone.values().forEach(runsByZone -> {
            int runs = 0;
            for (int count : runsByZone) {
                runs += count;
            }
            result.repeatedKeyCount += runs > 1 ? 1 : 0;
        });
        computeWorthBound(beginMicros, endMicros);
        return result;
    }

    // ---- Clients

    /** Schedules the next request of a client, which schedules its successor, until {@code endMicros}. */
    private void scheduleArrival(long endMicros) {
        double gapMicros = ZigguratSampler.Exponential.of(clientRandom, 1e6 / arrivalsPerSecond).sample();
        events.scheduleAfter((long) gapMicros, () -> {
            if (nowMicros() < endMicros) {
                int classIndex = 0;
                double draw = clientRandom.nextDouble();
                while (classIndex < CLASSES.size() - 1 && draw >= CLASSES.get(classIndex).trafficShare) {
                    draw -= CLASSES.get(classIndex++).trafficShare;
                }
                // A gamma distribution of shape 2: run times vary, but concentrate around their mean.
                double workSeconds = (ZigguratSampler.Exponential.of(clientRandom, 1).sample()
                    + ZigguratSampler.Exponential.of(clientRandom, 1).sample()) / 2 * CLASSES.get(classIndex).meanRunSeconds;
                int slots = CLASSES.get(classIndex).mayNeedTwoSlots && clientRandom.nextDouble() < scenario.twoSlotShare ? 2 : 1;
                ClientRequest clientRequest = new ClientRequest(nextKey++, classIndex, clientRandom.nextInt(scenario.zones),
                    workSeconds, slots, nowMicros());
                result.clientRequestCount++;
                double worth = CLASSES.get(classIndex).worth;
                result.offeredWorth += worth;
                result.offeredCountByClass[classIndex]++;
                result.offeredWorthByZone[clientRequest.zone] += worth;
                result.worthByArrivalBin[1][arrivalBin(clientRequest)] += worth;
                arrivals.add(clientRequest);
                sendToDispatcher(clientRequest, clientRandom.nextInt(scenario.dispatchersPerZone));
                scheduleArrival(endMicros);
            }
        });
    }

    /** Returns the bin of {@link Result#worthByArrivalBin} for the arrival time of a request. */
    private static int arrivalBin(ClientRequest clientRequest) {
        return (int) Math.min(63, (clientRequest.arrivedAtMicros - BEGIN_MICROS) / 5_000_000);
    }

    private final List<ClientRequest> arrivals = new ArrayList<>();

    /** Sends a request to a dispatcher of its zone: to the first choice, or to the next one that is not restarting. */
    private void sendToDispatcher(ClientRequest clientRequest, int firstChoice) {
        clientRequest.sendCount++;
        int choice = firstChoice;
        for (int i = 0; i < scenario.dispatchersPerZone
                && dispatchers.get(choice * scenario.zones + clientRequest.zone).isRestarting; i++) {
            choice = (choice + 1) % scenario.dispatchersPerZone;
        }
        dispatchers.get(choice * scenario.zones + clientRequest.zone).receiveRequest(clientRequest);
    }

    /**
     * Counts a served request. Sends a refused one again, at most twice, after its Retry-After, but at least 0.5 s; the wait is
     * prolonged by up to a half.
     */
    private void handleAnswer(DispatcherRequest request, boolean served, long retryAfterMicros) {
        ClientRequest clientRequest = request.clientRequest;
        if (served) {
            if (!clientRequest.servedInTime && nowMicros() <= clientRequest.targetTimeMicros()) {
                clientRequest.servedInTime = true;
                result.countInTimeByClass[clientRequest.classIndex]++;
                result.worthInTime += CLASSES.get(clientRequest.classIndex).worth;
                result.worthByArrivalBin[0][arrivalBin(clientRequest)] += CLASSES.get(clientRequest.classIndex).worth;
                result.worthInTimeByZone[clientRequest.zone] += CLASSES.get(clientRequest.classIndex).worth;
            }
        } else if (retryAfterMicros >= 0 && clientRequest.sendCount <= 2) {
            long waitMicros = Math.max(retryAfterMicros, 500_000);
            int dispatcher = (int) Math.floorMod(clientRequest.key * 7 + clientRequest.sendCount,
                (long) scenario.dispatchersPerZone);
            events.scheduleAfter(waitMicros + Math.floorMod(clientRequest.key * 7919, waitMicros / 2),
                () -> sendToDispatcher(clientRequest, dispatcher));
        }
    }

    // ---- Backends

    private void receiveAttempt(Attempt attempt, int process) {
        SimulatedBackend backend = attempt.backend;
        if (backend.isOverloaded) {
            return;
        }
        DispatcherRequest request = attempt.request;
        double workSeconds = scenario.countsMeanWork ? CLASSES.get(request.clientRequest.classIndex).meanRunSeconds
            : request.clientRequest.workSeconds;
        if (backend.recordWork(nowMicros(), workSeconds * request.slots, attempt.dispatcher.number)) {
            backend.isOverloaded = true;
            if (logLines != null) {
                logLines.add(String.format(java.util.Locale.ROOT, "%7.3f zone backend %s overloaded, up for %.2f s, work %s",
                    nowMicros() / 1e6, Long.toHexString(backend.id), (nowMicros() - backend.startedAtMicros) / 1e6,
                    backend.recentWorkText()));
            }
            backend.discardWork();
            return;
        }
        if (backend.isFull()) {
            attempt.dispatcher.reportEnd(attempt, Outcome.REJECTED, process);
            return;
        }
        attempt.task = new SimulatedBackend.Task(attempt);
        backend.queued.add(attempt.task);
        startQueued(backend, process);
    }

    /** Starts queued requests in order, as long as the first one fits into the free slots. */
    private void startQueued(SimulatedBackend backend, int process) {
        while (!backend.queued.isEmpty()) {
            SimulatedBackend.Task task = backend.queued.peek();
            if (task.isCancelled) {
                backend.queued.poll();
                continue;
            }
            DispatcherRequest request = task.attempt.request;
            if (backend.usedSlots + request.slots > backend.slots) {
                return;
            }
            backend.queued.poll();
            task.isRunning = true;
            backend.usedSlots += request.slots;
            backend.running.add(task);
            int backendProcess = backend.processNumber;
            int[] keyRunsByZone = CLASSES.get(request.clientRequest.classIndex).effect == Effect.BY_KEY
                ? runsByKeyAndZone.computeIfAbsent(request.clientRequest.key, k -> new int[scenario.zones]) : null;
            boolean isRepeat = keyRunsByZone != null && keyRunsByZone[backend.zone] > 0;
            if (keyRunsByZone != null && !isRepeat) {
                keyRunsByZone[backend.zone]++;
            }
            task.attempt.dispatcher.reportStart(task.attempt, task.attempt.dispatcher.processNumber);
            // A zone recognizes a key that it has seen: the repeat costs almost nothing and returns the same result.
            double runSeconds = isRepeat ? 0.01 : request.clientRequest.workSeconds
                / (backend.speed * Math.max(SimulatedBackend.COLD_CAPACITY_SHARE, backend.capacityShare(nowMicros())));
            events.scheduleAfter((long) (runSeconds * 1e6), () -> {
                if (backend.processNumber != backendProcess) {
                    return;
                }
                backend.usedSlots -= request.slots;
                backend.running.remove(task);
                if (backend.isUp && !backend.isOverloaded) {
                    servedWorkByZone[backend.zone] += request.clientRequest.workSeconds * request.slots;
                    task.attempt.dispatcher.reportEnd(task.attempt, Outcome.SERVED, task.attempt.dispatcher.processNumber);
                }
                startQueued(backend, process);
            });
        }
    }

    private void loseZone(int zone) {
        zoneLossCount++;
        zoneLostAtMicros = nowMicros();
        for (SimulatedBackend backend : backends.values()) {
            if (backend.zone == zone) {
                backend.isUp = false;
                backend.isSilent = scenario.isLossSilent;
                List<SimulatedBackend.Task> lostTasks = new ArrayList<>(backend.running);
                lostTasks.addAll(backend.queued);
                backend.discardWork();
                if (!scenario.isLossSilent) {
                    lostTasks.forEach(task -> task.attempt.dispatcher.reportEnd(task.attempt, Outcome.RESET,
                        task.attempt.dispatcher.processNumber));
                }
                publishBackend(backend, false, listedStartMicros.get(backend.id));
            }
        }
    }

    /** Drains and stops a backend, which resets its remaining attempts; a cold one with another id replaces it. */
    private void replaceBackend(SimulatedBackend replaced, long id, long warmUpMicros) {
        publishBackend(replaced, false, listedStartMicros.get(replaced.id));
        events.scheduleAfter(DRAIN_MICROS, () -> {
            replaced.isUp = false;
            List<SimulatedBackend.Task> lostTasks = new ArrayList<>(replaced.running);
            lostTasks.addAll(replaced.queued);
            replaced.discardWork();
            lostTasks.forEach(task -> task.attempt.dispatcher.reportEnd(task.attempt, Outcome.RESET,
                task.attempt.dispatcher.processNumber));
        });
        events.scheduleAfter(BOOT_MICROS, () -> {
            SimulatedBackend next = new SimulatedBackend(id, replaced.zone, replaced.kind, replaced.speed, warmUpMicros);
            next.meanRequestWork = replaced.meanRequestWork;
            next.startCold(nowMicros());
            backends.put(id, next);
            listedReady.put(id, false);
            listedStartMicros.put(id, 0L);
            scheduleLoadReport(next, randomStream(id));
            publishBackend(next, true, nowMicros());
        });
    }

    private void returnZone(int zone) {
        zoneReturnedAtMicros = nowMicros();
        for (SimulatedBackend backend : backends.values()) {
            if (backend.zone == zone) {
                // Machines boot at different times within some seconds.
                events.scheduleAfter(discoveryRandom.nextInt(3_000_000), () -> {
                    backend.isUp = true;
                    backend.isSilent = false;
                    backend.startCold(nowMicros());
                    publishBackend(backend, true, nowMicros());
                });
            }
        }
    }

    /** Tells each dispatcher of a changed backend, each after its own delay. */
    private void publishBackend(SimulatedBackend backend, boolean ready, long startedAtMicros) {
        events.scheduleAfter((long) (scenario.minListDelaySeconds * 1e6), () -> {
            listedReady.put(backend.id, ready);
            listedStartMicros.put(backend.id, startedAtMicros);
        });
        for (SimulatedDispatcher dispatcher : dispatchers) {
            double delaySeconds = scenario.minListDelaySeconds
                + discoveryRandom.nextDouble() * (scenario.maxListDelaySeconds - scenario.minListDelaySeconds);
            events.scheduleAfter((long) (delaySeconds * 1e6), () -> dispatcher.updateBackend(backend, ready, startedAtMicros));
        }
    }

    private void startLoadReports() {
        for (SimulatedBackend backend : backends.values()) {
            scheduleLoadReport(backend, randomStream(backend.id));
        }
    }

    private void scheduleLoadReport(SimulatedBackend backend, UniformRandomProvider random) {
        events.scheduleAfter(310_000 + random.nextInt(570_000), () -> {
            // A slot counts as free even while a queued request of two slots waits for a second one.
            double freeSlots = backend.slots - backend.usedSlots;
            events.scheduleAfter(scenario.reportLagMicros, () -> backend.reportedFreeSlots = freeSlots);
            scheduleLoadReport(backend, random);
        });
    }

    // ---- Measurements

    private long zoneLostAtMicros;
    private long zoneReturnedAtMicros;

    private void recordDarkDetection(String line) {
        if (line.contains(" is dark") && zoneLossCount > 0) {
            result.darkDetectionSeconds.add((nowMicros() - zoneLostAtMicros) / 1e6);
        }
    }

    private void countSpilledSlots(SimulatedBackend backend, Attempt attempt, int sign) {
        spilledSlotsByZone[backend.zone] += sign * attempt.request.slots;
        double slots = 0;
        for (SimulatedBackend each : backends.values()) {
            slots += each.zone == backend.zone ? each.slots : 0;
        }
        result.maxSpillShare = Math.max(result.maxSpillShare, spilledSlotsByZone[backend.zone] / slots);
    }

    private void sampleTimeSeries(long beginMicros, long endMicros) {
        double[] workBefore = servedWorkByZone.clone();
        events.scheduleAfter(500_000, () -> {
            double[] row = new double[3 * scenario.zones + 1];
            row[0] = (nowMicros() - beginMicros) / 1e6;
            for (int z = 0; z < scenario.zones; z++) {
                row[1 + z] = (servedWorkByZone[z] - workBefore[z]) * 2;
                for (SimulatedBackend backend : backends.values()) {
                    row[1 + scenario.zones + z] += backend.zone == z ? backend.capacity(nowMicros()) : 0;
                }
                row[1 + 2 * scenario.zones + z] = spilledSlotsByZone[z];
            }
            result.timeSeries.add(row);
            if (nowMicros() < endMicros) {
                sampleTimeSeries(beginMicros, endMicros);
            } else {
                measureRecovery(beginMicros);
            }
        });
    }

    /**
     * Measures the time from the return of a lost zone until its throughput, averaged over six rows, reaches 95% of what it
     * was before the loss.
     */
    private void measureRecovery(long beginMicros) {
        if (scenario.losses.isEmpty()) {
            return;
        }
        int zone = scenario.losses.get(0).zone();
        double lostAtSeconds = scenario.losses.get(0).startSeconds();
        double throughputBefore = result.timeSeries.stream()
            .filter(r -> r[0] > lostAtSeconds / 2 && r[0] <= lostAtSeconds)
            .mapToDouble(r -> r[1 + zone]).average().orElse(0);
        double returnedAtSeconds = (zoneReturnedAtMicros - beginMicros) / 1e6;
        double sum = 0;
        int count = 0;
        for (int i = 0; i < result.timeSeries.size(); i++) {
            double[] row = result.timeSeries.get(i);
            if (row[0] < returnedAtSeconds) {
                continue;
            }
            sum += row[1 + zone];
            count++;
            if (count > 6) {
                sum -= result.timeSeries.get(i - 6)[1 + zone];
                count--;
            }
            if (count == 6 && sum / count >= 0.95 * throughputBefore) {
                result.recoverySeconds = row[0] - returnedAtSeconds;
                return;
            }
        }
    }

    /**
     * Computes an upper bound of the worth that any policy could serve in time. In steps of half a second, all open work that
     * can still be in time is assigned to the capacity of all backends together, highest worth per slot-second first. Queues,
     * the distribution over backends and network delays are ignored.
     */
    private void computeWorthBound(long beginMicros, long endMicros) {
        List<ClientRequest> openRequests = new ArrayList<>();
        int nextArrival = 0;
        Map<ClientRequest, Double> remainingWork = new HashMap<>();
        for (double[] row : result.timeSeries) {
            long stepEndMicros = beginMicros + (long) (row[0] * 1e6);
            while (nextArrival < arrivals.size() && arrivals.get(nextArrival).arrivedAtMicros < stepEndMicros) {
                ClientRequest clientRequest = arrivals.get(nextArrival++);
                openRequests.add(clientRequest);
                remainingWork.put(clientRequest, clientRequest.workSeconds * clientRequest.slots);
            }
            double unusedCapacity = 0;
            for (int z = 0; z < scenario.zones; z++) {
                unusedCapacity += row[1 + scenario.zones + z] / 2;
            }
            openRequests.removeIf(clientRequest -> stepEndMicros - 500_000 > clientRequest.targetTimeMicros());
            openRequests.sort((a, b) -> Double.compare(CLASSES.get(b.classIndex).worth / (b.workSeconds * b.slots),
                CLASSES.get(a.classIndex).worth / (a.workSeconds * a.slots)));
            for (int i = 0; i < openRequests.size() && unusedCapacity > 0;) {
                ClientRequest clientRequest = openRequests.get(i);
                double assignedWork = Math.min(unusedCapacity, remainingWork.get(clientRequest));
                unusedCapacity -= assignedWork;
                if (assignedWork >= remainingWork.get(clientRequest)) {
                    result.worthBound += CLASSES.get(clientRequest.classIndex).worth;
                    openRequests.remove(i);
                } else {
                    remainingWork.put(clientRequest, remainingWork.get(clientRequest) - assignedWork);
                    i++;
                }
            }
        }
    }

    /** Returns the settings of one dispatcher. */
    private DispatchPolicy.Settings settings(int number, int zone) {
        DispatchPolicy.Settings settings = new DispatchPolicy.Settings();
        settings.dispatcherCount = scenario.zones * scenario.dispatchersPerZone;
        settings.dispatcherIndex = number;
        settings.ownZone = zone;
        settings.kindCount = 2;
        for (ClassModel model : CLASSES) {
            settings.classes.add(new DispatchPolicy.RequestClass(model.name, model.effect, DedupScope.ZONE,
                (long) (model.targetSeconds * 1e6), model.targetStretch, (long) (model.clientTimeoutSeconds * 1e6), 40_000_000,
                model.worth, 0, -1, false));
        }
        settings.reportMode = DispatchPolicy.ReportMode.ON_PROBE;
        settings.mayProbe = true;
        settings.listPushed = true;
        settings.idleTimeoutMicros = IDLE_TIMEOUT_MICROS;
        settings.connectCost = 0.01;
        settings.mayCancel = true;
        settings.mayHedge = true;
        settings.maxAttempts = 3;
        settings.maxRetryAfterMicros = 2_000_000;
        settings.backendsReportStart = true;
        settings.coldCapacityShare = SimulatedBackend.COLD_CAPACITY_SHARE;
        settings.warmUpMicros = 23_000_000;
        settings.overloadMultiple = SimulatedBackend.OVERLOAD_MULTIPLE;
        settings.overloadWindowMicros = SimulatedBackend.OVERLOAD_WINDOW_MICROS;
        return settings.validated();
    }
}
