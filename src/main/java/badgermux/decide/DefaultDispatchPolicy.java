package badgermux.decide;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.DoubleStream;
import java.util.stream.IntStream;

/**
 * Makes all decisions of one dispatcher: which backend gets a request, when an attempt is retried or hedged,
 * and when a request is held, refused or failed.
 *
 * <p>Four rules hold whatever the load reports say:
 * <ol>
 * <li>a request gets one final answer in time, and nothing is sent for it afterwards;
 * <li>no effect happens twice: a request that may have run is sent again only as its class allows;
 * <li>a backend that drains or has left the list gets no new work and keeps no idle connection;
 * <li>all dispatchers together send a cold backend no more work than it can bear, in any overload window.
 * </ol>
 *
 * <p>Times and spans are microseconds on the caller's clock, also where the type is double. Loads are in
 * slots. Work is slot-microseconds: slots multiplied by run time. Used by one thread. The design and its
 * reasons are in docs/design.md.
 */
public final class DefaultDispatchPolicy implements DispatchPolicy {
    /**
     * Backends in a group: comparing two groups keeps the load small and constant (Kenthapadi and Panigrahy,
     * "Balanced Allocation on Graphs", section 4).
     */
    private static final int GROUP_SIZE = 3;
    /** Loads that differ by less than this always count as equal, as load reports are no more precise. */
    private static final double MIN_TIE_SLOTS = 0.5;
    /** Load difference that counts as equal where very many dispatchers send between two reports. */
    private static final double MAX_TIE_SLOTS = 1.5;
    /**
     * Difference between the summed loads of two groups that counts as equal: each of the reports in them may
     * be outdated.
     */
    private static final double GROUP_TIE_SLOTS = 1.6;
    /** Weight of a new sample in a moving average. */
    private static final double SAMPLE_WEIGHT = 0.05;
    /**
     * Age of a load report, in mean run times, by which all requests that it counted have ended: the time
     * constant by which {@link #usualLoadWeight} falls.
     */
    private static final double USUAL_LOAD_DECAY_RUNS = 10;
    /** Usual age of a report on arrival: attempts sent in this span before are not in it. */
    private static final long REPORT_LAG_MICROS = 400_000;
    /** How long a backend that has left keeps its place in its group, so that the groups do not shift. */
    private static final long GONE_RETENTION_MICROS = 60_000_000;
    /** Interval of the periodic round, which updates averages and tries held requests again. */
    private static final long ROUND_MICROS = 100_000;
    /** First ejection of a backend after a failure; doubled by further failures, up to 16 times this. */
    private static final long FIRST_EJECTION_MICROS = 500_000;
    /** All dispatchers together may send a cold backend this share of the work that would overload it. */
    private static final double COLD_BUDGET_MARGIN = 0.5;
    /** Ratio of an even share of the cold budget to the smallest share that is given out. */
    private static final double COLD_SHARE_SPREAD = 2.4;
    /**
     * Divisor of a target time for the wait for load reports and, doubled, for the start timeout without
     * probes; also of a client timeout for the slack after a restart.
     */
    private static final int WAIT_DIVISOR = 4;
    /** Leniency of {@link #findCandidate} that looks at cold backends with a free slot only. */
    private static final int COLD_ONLY = -1;
    /** Held requests that are tried at a time, from the front. */
    private static final int HELD_REQUESTS_PER_PASS = 3;
    /** Log lines about backends that one process writes at most. */
    private static final int MAX_LOG_LINES = 100;
    /** Rank for {@link #coldBudgetShare} of a request that is larger than the share of any rank. */
    private static final int LARGE_REQUEST_RANK = -1;
    /** Largest share of the cold budget for one dispatcher, in requests of mean work. */
    private static final int MAX_SHARE_REQUESTS = 2;

    /** What the backend list, the load reports and the attempts of this dispatcher say about a backend. */
    private static final class BackendStatus {
        /** Its latest entry in the backend list. */
        Backend entry;
        BackendState state;
        /** Whether it has failed since its last success; it stays suspect when its ejection is over. */
        boolean suspect;
        /** Whether it left its last probe unanswered. */
        boolean unresponsive;
        /** Free slots of the last report, less a part of its queue; negative where requests wait. */
        double freeSlots;
        /** Moving average of {@link #freeSlots}. */
        double usualFreeSlots;
        /** Most free slots that it ever reported. */
        double peakFreeSlots;
        /** Moving average of its free and busy slots, from reports that show a free slot. */
        double meanTotalSlots;
        /** Requests that waited there at the last report. */
        double queuedRequests;
        long stateChangedAt;
        /** When it last sent a response: a connection to it may have been idle since then. */
        long lastResponseAt = Long.MIN_VALUE / 4;
        /** End of its ejection. */
        long ejectedUntil;
        /** Length of its ejection. */
        long ejectionMicros = FIRST_EJECTION_MICROS;
        /** Value of {@link #listCount} at the last list or update that contained it. */
        long lastListNumber;
        /** Time of its last report; negative where it never reported. */
        long reportedAt = Long.MIN_VALUE / 4;
        /** Time of the last probe. */
        long probedAt = Long.MIN_VALUE / 4;
        /** Attempts that count as load: outstanding ones, and timed-out ones until the next report. */
        final List<Attempt> attempts = new ArrayList<>();
        /** Requests that are placed when its report comes. */
        final List<OpenRequest> requestsAwaitingReport = new ArrayList<>(0);
        /** End of its ejection for single tenants, by the tenant's index. */
        final Map<Integer, Long> ejectedUntilByTenant = new HashMap<>(0);
    }

    /** A drawn group, its load scaled to {@link #GROUP_SIZE} backends, and its least-loaded backend. */
    private record Candidate(List<BackendStatus> group, double groupLoad, BackendStatus backend) { }

    /** One sending of a request to a backend. */
    private static final class Attempt {
        OpenRequest request;
        BackendStatus backend;
        long sentAt;
        /** When the backend started it; -1 while that is not known. */
        long startedAt = -1;
        /** When the backend started it or last reported progress; 0 before. */
        long lastProgressAt;
        /** How long the connection it was sent on had probably been idle; 0 for a new connection. */
        long connectionIdleMicros;
        /** How long the backend may take to start it before the attempt is checked. */
        long startTimeoutMicros;
        /** Whether the backend seemed to have a free slot for it when it was sent. */
        boolean hadFreeSlot;
        /** How it ended; null while it is outstanding. */
        Outcome outcome;
    }

    /** A client's request, from its arrival until it has its final answer and all attempts have ended. */
    private static final class OpenRequest {
        /** The request as it was received. */
        Request details;
        RequestClass requestClass;
        /** When the client gives up. */
        long deadline;
        /** Latest start that lets the answer come within the target time. */
        long latestStart;
        /** Random bits that choose its two groups. */
        long randomDraw;
        /** Whether it has its final answer or its client has disconnected. */
        boolean finished;
        /** Whether its response has begun to reach the client: it is not retried from then on. */
        boolean streaming;
        /** Whether it exceeds its tenant's quota. */
        boolean overQuota;
        /** Whether it counts in {@link #stalledSlots}: sent, but not started in time or rejected. */
        boolean stalled;
        /** Whether the client has already waited for an earlier try of it. */
        boolean clientRetry;
        /** Load reports that it still waits for, and 1 more while {@link #startPlacement} runs. */
        int awaitedReports;
        /** Tier of zones where it is being placed. */
        int tier;
        /** Its attempts; an attempt's number is its place here. */
        final List<Attempt> attempts = new ArrayList<>(2);
    }

    private final Settings settings;
    private final Actions actions;
    private final ZoneLimits zoneLimits;
    private final SplittableRandom random;
    /** Whether backends are probed for their load reports. */
    private final boolean probesForReports;
    /** Whether backends with newer reports are preferred: no probes for them, and connections are free. */
    private final boolean prefersKnownBackends;
    /** Load difference that counts as equal where reports are old. */
    private final double staleTieSlots;
    /** How long a request waits for the load reports of its drawn backends. */
    private final double reportWaitMicros;
    /** All backends by id; their order determines the groups. */
    private final Map<Long, BackendStatus> backends = new TreeMap<>(Long::compareUnsigned);
    /** Backends that have left the list and still keep their places in {@link #backends}. */
    private final List<BackendStatus> goneBackends = new ArrayList<>();
    private final Map<Long, OpenRequest> openRequests = new HashMap<>();
    /** What to run when a timer fires, by its token. */
    private final Map<Integer, Runnable> timerTasks = new HashMap<>();
    /** Requests that wait here for a backend, in the order in which they are tried. */
    private final List<OpenRequest> heldRequests = new ArrayList<>();
    private final ColdSendLedger sentWork = new ColdSendLedger();
    private final InitialListCheck initialList;
    /** Groups by class index * number of tiers + tier; empty when they have to be built anew. */
    private final List<List<List<BackendStatus>>> groupsByClassAndTier = new ArrayList<>();
    /** Number of ready backends of each kind. */
    private final double[] readyByKind;
    /** Moving average of {@link BackendStatus#freeSlots} for each kind. */
    private final double[] meanFreeSlotsByKind;
    /** Moving average of the slots of a backend, for each kind. */
    private final double[] meanSlotsByKind;
    /** Moving average of log(run time / expected run time) for each kind: above 0 for slow kinds. */
    private final double[] logRunFactorByKind;
    /** Mean run time of each class. */
    private final double[] meanRunByClass;
    /** Runs counted in {@link #meanRunByClass}. */
    private final double[] runCountByClass;
    /** Mean ratio of run time to the work that the request announced, for each class. */
    private final double[] runPerWorkByClass;
    /** Longest time until its deadline with which a request of each class came: that of a first try. */
    private final double[] maxRemainingByClass;
    private final TenantQuotas tenantQuotas;
    /** Slots of all attempts without an outcome. */
    private double outstandingSlots;
    /** The part of {@link #outstandingSlots} that has started. */
    private double runningSlots;
    /** Slots of requests that were sent and do not start. */
    private double stalledSlots;
    /** Work of the requests that arrived since the last round, without client retries. */
    private double arrivedWork;
    /** Mean run time of all requests; 0 while none is known. */
    private double meanRunMicros;
    /** Estimated share of the traffic of all dispatchers that comes to this one. */
    private double trafficShare;
    /** Whether requests have been held because the backend list may not be used yet. */
    private boolean awaitsUsableList;
    /** Time of the current event. */
    private long now;
    /** When the first list came; earlier where the sends of the previous process are known; -1 before. */
    private long processStartedAt = -1;
    /** Pause before the next watch after a failed one, before jitter. */
    private long watchPauseMicros;
    /** Connections idle for longer than this are taken to be dead. */
    private long trustedIdleMicros;
    /** When the last of the cold backends seen so far will be warm. */
    private long allWarmAt;
    private int nextTimerToken;
    /** Log lines written about backends. */
    private int loggedLines;
    /** Backend lists and updates received. */
    private int listCount;
    /** Successive sends on idle connections that seem to be lost, though the backend had a free slot. */
    private int suspectedDeadConnections;

    /**
     * Makes decisions that no zone limits restrict.
     *
     * @param seed of all random draws: equal events with equal seeds lead to equal actions
     */
    public DefaultDispatchPolicy(Settings dispatchSettings, long seed, Actions actions) {
        this(dispatchSettings, seed, actions, null);
    }

    /** Makes decisions within {@code zoneLimits}; null for no limits. */
    public DefaultDispatchPolicy(Settings dispatchSettings, long seed, Actions actions,
            ZoneLimits zoneLimits) {
        this.zoneLimits = Objects.requireNonNullElse(zoneLimits, new ZoneLimits() { });
        settings = dispatchSettings.validated();
        this.actions = Objects.requireNonNull(actions, "actions");
        initialList = new InitialListCheck(actions::log);
        random = new SplittableRandom(seed);
        staleTieSlots = Math.max(MIN_TIE_SLOTS, MAX_TIE_SLOTS * (1 - 4.0 / settings.dispatcherCount));
        trustedIdleMicros = settings.idleTimeoutMicros;
        probesForReports = settings.mayProbe && settings.reportMode == ReportMode.ON_PROBE;
        prefersKnownBackends = !probesForReports && settings.connectCost == 0;
        reportWaitMicros = settings.classes.stream().mapToLong(c -> c.targetMicros() / WAIT_DIVISOR).min()
            .orElse(ROUND_MICROS);
        readyByKind = new double[settings.kindCount];
        meanFreeSlotsByKind = new double[settings.kindCount];
        meanSlotsByKind = new double[settings.kindCount];
        logRunFactorByKind = new double[settings.kindCount];
        trafficShare = 1.0 / settings.dispatcherCount;
        meanRunByClass = new double[settings.classes.size()];
        runPerWorkByClass = new double[settings.classes.size()];
        maxRemainingByClass = new double[settings.classes.size()];
        runCountByClass = new double[settings.classes.size()];
        tenantQuotas = new TenantQuotas(settings.tenants, trafficShare);
    }

    // ---- Events

    @Override public void backendsListed(long time, ListUpdate update, List<Backend> list) {
        now = time;
        if (processStartedAt < 0) {
            processStartedAt = now;
            runRound();
            if (!settings.listPushed) actions.watchBackendList();
        }
        if (update == ListUpdate.CACHED && settings.holdsUntilListConfirmed)
            initialList.cachedListReceived(now);
        else if (update == ListUpdate.FAILED) initialList.callFailed(now);
        else initialList.listReceived();
        watchPauseMicros = update == ListUpdate.FAILED
            ? WatchTiming.nextRetryPauseMicros(watchPauseMicros, settings.maxWatchIntervalMicros)
            : FIRST_EJECTION_MICROS / 2;
        if (update != ListUpdate.FAILED) applyList(update, list);
        // A failed watch is repeated after a pause with jitter, which grows until a list comes.
        else if (!settings.listPushed) schedule((long) (watchPauseMicros * (0.5 + random.nextDouble())),
            this::watchBackendList);
        zoneLimits.backendsListed(now, update, list);
        placeRequestsAwaitingList();
        sendHeldRequests();
    }

    private void watchBackendList() {
        initialList.callStarted(now);
        actions.watchBackendList();
    }

    /** Starts to place the requests that were held while the list could not be used. */
    private void placeRequestsAwaitingList() {
        if (!awaitsUsableList || !hasUsableList(now)) return;
        awaitsUsableList = false;
        List<OpenRequest> waiting = List.copyOf(heldRequests);
        heldRequests.clear();
        waiting.stream().filter(request -> !request.finished).forEach(this::startPlacement);
    }

    @Override public boolean hasUsableList(long time) {
        return initialList.isUsable(time);
    }

    @Override public void requestReceived(long time, Request received) {
        now = time;
        OpenRequest request = new OpenRequest();
        request.details = received;
        request.requestClass = settings.classOf(received);
        request.deadline = now + received.remainingMicros();
        // The longest remaining time is that of a first try; a request with less has waited elsewhere.
        maxRemainingByClass[received.classIndex()] =
            Math.max(maxRemainingByClass[received.classIndex()], received.remainingMicros());
        double slack = request.requestClass.slackMicros(expectedRunMicros(request));
        // Soon after a start only short requests have ended, so the expected run time is too short. Without
        // the larger slack, all clients that waited while this process restarted would count as late.
        boolean waitedForRestart = received.expectedWorkMicros() == 0
            && request.deadline - request.requestClass.clientTimeoutMicros() < processStartedAt;
        if (waitedForRestart)
            slack = Math.max(slack, request.requestClass.clientTimeoutMicros() / WAIT_DIVISOR);
        request.latestStart = (long) (request.deadline - maxRemainingByClass[received.classIndex()] + slack);
        request.clientRetry = received.remainingMicros()
            < maxRemainingByClass[received.classIndex()] - settings.timerGranularityMicros;
        arrivedWork += request.clientRetry ? 0 : received.slots() * expectedRunMicros(request);
        request.overQuota =
            tenantQuotas.isExceeded(received.tenantIndex(), !request.clientRetry, trafficShare);
        openRequests.put(received.id(), request);
        startPlacement(request);
    }

    @Override public void attemptStarted(long time, long requestId, int attemptNumber) {
        now = time;
        Attempt attempt = findAttempt(requestId, attemptNumber);
        if (attempt == null || attempt.outcome != null || attempt.startedAt >= 0) return;
        attempt.startedAt = attempt.lastProgressAt = now;
        suspectedDeadConnections = attempt.connectionIdleMicros > 0 ? 0 : suspectedDeadConnections;
        runningSlots += attempt.request.details.slots();
        setStalled(attempt.request, false);
        clearSuspicion(attempt.backend);
        zoneLimits.backendResponded(now, attempt.backend.entry.id());
        // The first attempt to start wins; cancelling those that still wait loses no work.
        attempt.request.attempts.stream().filter(other -> other.startedAt < 0).forEach(this::cancelAttempt);
    }

    @Override public void attemptProgressed(long time, long requestId, int attemptNumber) {
        now = time;
        Attempt attempt = findAttempt(requestId, attemptNumber);
        if (attempt != null) attempt.lastProgressAt = now;
    }

    @Override public void responseStreaming(long time, long requestId, int attemptNumber) {
        now = time;
        Attempt attempt = findAttempt(requestId, attemptNumber);
        if (attempt != null) attempt.request.streaming = true;
    }

    @Override public void attemptEnded(long time, long requestId, int attemptNumber, long backendId,
            Outcome outcome, boolean settled, LoadReport report) {
        now = time;
        Attempt attempt = findAttempt(requestId, attemptNumber);
        // A backend with free slots and no queue that rejects a request limits this tenant. It is ejected for
        // the tenant alone, since others can still use it.
        boolean tenantRejected = attempt != null && outcome == Outcome.REJECTED && report != null
            && report.queued < MIN_TIE_SLOTS
            && report.freeSlots > attempt.request.details.slots() + MIN_TIE_SLOTS;
        if (tenantRejected) attempt.backend.ejectedUntilByTenant.put(attempt.request.details.tenantIndex(),
            now + 4 * FIRST_EJECTION_MICROS);
        if (attempt != null && attempt.outcome == null) recordOutcome(attempt, outcome, tenantRejected);
        applyReport(backends.get(backendId), report);
        closeConnectionsUnlessReady(backends.get(backendId));
        if (attempt != null && (settled || attempt.request.finished)) finish(attempt.request);
        else if (attempt != null && outcome == Outcome.UNFIT && unfitCount(attempt.request) > 1)
            refuseOrFail(attempt.request);
        else if (attempt != null && !attempt.request.streaming && outstandingCount(attempt.request) == 0)
            startPlacement(attempt.request);
        sendHeldRequests();
    }

    @Override public void probeEnded(long time, long backendId, boolean answered, LoadReport report) {
        now = time;
        BackendStatus backend = backends.get(backendId);
        if (backend == null) return;
        applyReport(backend, answered ? report : null);
        zoneLimits.probeEnded(now, backendId, answered, backend.peakFreeSlots);
        backend.requestsAwaitingReport.forEach(request -> reportsArrived(request, 1));
        backend.requestsAwaitingReport.clear();
        closeConnectionsUnlessReady(backend);
    }

    @Override public void clientDisconnected(long time, long requestId) {
        now = time;
        if (openRequests.containsKey(requestId)) finish(openRequests.get(requestId));
    }

    @Override public void timerFired(long time, int token) {
        now = time;
        Objects.requireNonNullElse(timerTasks.remove(token), () -> { }).run();
    }

    /** Returns the arrays of learned statistics; their order is that of the exported state. */
    private double[][] statisticsArrays() {
        return new double[][] {meanFreeSlotsByKind, meanSlotsByKind, logRunFactorByKind, meanRunByClass,
            runCountByClass, runPerWorkByClass, maxRemainingByClass};
    }

    @Override public LearnedState exportLearnedState() {
        DoubleStream learned = Arrays.stream(statisticsArrays()).flatMapToDouble(Arrays::stream);
        return new LearnedState(
            DoubleStream.concat(DoubleStream.of(meanRunMicros, trafficShare), learned).toArray(),
            sentWork.sendsSince(now - settings.overloadWindowMicros).stream()
                .filter(send -> isCold(backends.get(send.backendId()))).toList());
    }

    @Override public void importLearnedState(LearnedState state) {
        if (state.statistics().length != exportLearnedState().statistics().length) return;
        int next = 2;
        for (double[] array : statisticsArrays())
            for (int i = 0; i < array.length; i++) array[i] = state.statistics()[next++];
        meanRunMicros = state.statistics()[0];
        trafficShare = state.statistics()[1];
        if (state.recentSends() != null) state.recentSends().forEach(send -> sentWork.record(send, false));
        // All recent sends are known, so cold backends may be used before a whole window has passed.
        processStartedAt -= state.recentSends() == null ? 0 : settings.overloadWindowMicros;
    }

    @Override public void answerBeforeExit(long time, long requestId) {
        now = time;
        if (openRequests.containsKey(requestId) && !openRequests.get(requestId).finished)
            refuseOrFail(openRequests.get(requestId));
    }

    @Override public boolean isAvoided(long backendId) {
        BackendStatus backend = backends.get(backendId);
        return backend == null || backend.state != BackendState.READY || backend.unresponsive
            || isEjected(backend);
    }

    private void schedule(long delay, Runnable task) {
        timerTasks.put(nextTimerToken, task);
        actions.startTimer(Math.max(delay, settings.timerGranularityMicros), nextTimerToken++);
    }

    /** Updates averages, credits and budgets, sorts the held requests by worth and tries them again. */
    private void runRound() {
        schedule(ROUND_MICROS, this::runRound);  // first, so that an exception below does not end the rounds
        double usedSlots = IntStream.range(0, settings.kindCount)
            .mapToDouble(k -> readyByKind[k] * (meanSlotsByKind[k] - meanFreeSlotsByKind[k])).sum();
        // The share of the traffic is the work that arrives here against the slots that all dispatchers use.
        // It is not updated under overload, where a dispatcher that sheds more would seem to have more.
        if (heldRequests.isEmpty() && usedSlots >= 1 && meanRunMicros > 0)
            trafficShare += SAMPLE_WEIGHT / 5 * (arrivedWork / ROUND_MICROS / usedSlots - trafficShare);
        arrivedWork = 0;
        double coldBudgets =
            backends.values().stream().filter(this::isCold).mapToDouble(this::coldBudget).sum();
        sentWork.expire(now - settings.overloadWindowMicros,
            coldBudgets / settings.dispatcherCount * ROUND_MICROS / settings.overloadWindowMicros,
            SAMPLE_WEIGHT / 5);
        zoneLimits.runPeriodicCheck(now).forEach(id -> { if (settings.mayProbe) actions.probe(id); });
        for (String line = zoneLimits.pollLogLine(); line != null; line = zoneLimits.pollLogLine())
            actions.log(line);
        trustedIdleMicros =
            Math.min(settings.idleTimeoutMicros, trustedIdleMicros + trustedIdleMicros / 100 + 1);
        heldRequests.removeIf(this::finishIfHopeless);
        placeRequestsAwaitingList();
        tenantQuotas.addCredit(ROUND_MICROS, trafficShare);
        heldRequests.sort((a, b) -> worthRate(a) != worthRate(b) ? Double.compare(worthRate(b), worthRate(a))
            : Long.compare(b.latestStart, a.latestStart));
        sendHeldRequests();
    }

    // ---- Placement: the least-loaded backend of the less loaded of two groups that are drawn at random

    /**
     * Returns the backend for a request's next attempt, or null where none may take it. Ejected and
     * unresponsive backends are considered only if there is no other, then also those that have tried the
     * request before.
     *
     * @param healthyOnly whether to consider only healthy backends that have not tried the request
     */
    private Candidate chooseBackend(OpenRequest request, boolean healthyOnly) {
        for (int leniency = 0; leniency <= (healthyOnly ? 0 : 2); leniency++) {
            Candidate first = findCandidate(request, (int) request.randomDraw, null, leniency);
            Candidate second = first == null ? null
                : findCandidate(request, (int) (request.randomDraw >> 32), first, leniency);
            boolean tied = second != null && Math.abs(first.groupLoad - second.groupLoad)
                < Math.max(GROUP_TIE_SLOTS, GROUP_SIZE * (tieSlots(first.backend) - MIN_TIE_SLOTS));
            boolean takesFirst = second == null
                || (tied ? isPreferred(first.backend, second.backend) : first.groupLoad <= second.groupLoad);
            if (first != null) return takesFirst ? first : second;
        }
        return null;
    }

    /**
     * Returns the first group from {@code start} on, in circular order, that has a backend for a request;
     * null if there is none.
     *
     * @param excluded a candidate whose group is skipped; may be null
     * @param leniency 0 for healthy backends, 1 to include ejected and unresponsive ones, 2 to include those
     *                 that have tried the request before, {@link #COLD_ONLY} for cold ones with a free slot
     */
    private Candidate findCandidate(OpenRequest request, int start, Candidate excluded, int leniency) {
        if (groupsByClassAndTier.isEmpty()) buildGroups();
        List<List<BackendStatus>> groups =
            groupsByClassAndTier.get(request.details.classIndex() * zoneLimits.tierCount() + request.tier);
        for (int i = 0; i < groups.size(); i++) {
            List<BackendStatus> group = groups.get(Math.floorMod(start + i, groups.size()));
            Candidate candidate = excluded != null && group == excluded.group ? null
                : evaluateGroup(group, request, leniency);
            if (candidate != null) return candidate;
        }
        return null;
    }

    /**
     * Returns a group's load and its least-loaded backend, or null if no backend of it may take the request.
     * The load is scaled to a full group where the group is short or some of its backends may not be used.
     */
    private Candidate evaluateGroup(List<BackendStatus> group, OpenRequest request, int leniency) {
        boolean repeatable = request.requestClass.effect() == Effect.REPEATABLE;
        BackendStatus leastLoaded = null;
        double loadSum = 0, leastLoad = 0, eligibleCount = 0;
        for (BackendStatus backend : group) {
            if (!isEligible(backend, request, leniency)
                || leniency == COLD_ONLY && !isCold(backend)) continue;
            if (checkUnresponsive(backend, request) && leniency < 1
                || leniency == COLD_ONLY && !hasFreeSlot(backend, request)) continue;
            double load = estimatedLoad(backend);
            if (!zoneLimits.admits(now, request.details, repeatable, request.attempts.size(), backend.entry,
                load, request.tier)) continue;
            loadSum += load;
            eligibleCount++;
            if (leastLoaded == null || (Math.abs(load - leastLoad) < tieSlots(backend)
                ? isPreferred(backend, leastLoaded) : load < leastLoad)) {
                leastLoaded = backend;
                leastLoad = load;
            }
        }
        return leastLoaded == null ? null
            : new Candidate(group, loadSum * GROUP_SIZE / eligibleCount, leastLoaded);
    }

    /**
     * Breaks a tie between loads: prefers an idle connection, then the own zone, then the newer report, then
     * the faster kind, then chance. With a fixed order all dispatchers would choose the same backend.
     */
    private boolean isPreferred(BackendStatus backend, BackendStatus other) {
        double speedAdvantage =
            logRunFactorByKind[other.entry.kind()] - logRunFactorByKind[backend.entry.kind()];
        if (hasIdleConnection(backend) != hasIdleConnection(other)) return hasIdleConnection(backend);
        if (backend.entry.zone() == settings.ownZone != (other.entry.zone() == settings.ownZone))
            return backend.entry.zone() == settings.ownZone;
        // Where reports come in responses only, using a few backends keeps their reports fresh. Spreading the
        // requests over all would leave every report old.
        boolean bothReported = prefersKnownBackends && Math.min(backend.reportedAt, other.reportedAt) >= 0;
        if (bothReported && backend.reportedAt != other.reportedAt)
            return backend.reportedAt > other.reportedAt;
        return speedAdvantage == 0 ? random.nextBoolean() : speedAdvantage > 0;
    }

    /**
     * Returns the load difference that counts as equal. It grows with the number of dispatchers, whose sends
     * are not known here, and, with {@link #prefersKnownBackends}, with the age of the last report.
     */
    private double tieSlots(BackendStatus backend) {
        return MIN_TIE_SLOTS + (staleTieSlots - MIN_TIE_SLOTS) * (1 - usualLoadWeight(backend));
    }

    /**
     * Returns the weight, from 1 to 0, of a backend's own {@link BackendStatus#usualFreeSlots} against its
     * kind's mean. It falls with the age of the last report, and is 0 without {@link #prefersKnownBackends}.
     */
    private double usualLoadWeight(BackendStatus backend) {
        return !prefersKnownBackends ? 0
            : Math.exp((backend.reportedAt - now) / Math.max(1, USUAL_LOAD_DECAY_RUNS * meanRunMicros));
    }

    /** Whether a connection to it is probably idle; opening a new one costs time and work. */
    private boolean hasIdleConnection(BackendStatus backend) {
        return backend.attempts.isEmpty() && now - backend.lastResponseAt < trustedIdleMicros;
    }

    /**
     * Returns a backend's load in slots, below 0 while slots are free: the slots that this dispatcher has
     * used since the last report, less the free slots in that report.
     */
    private double estimatedLoad(BackendStatus backend) {
        double ownSlots = 0, slotsSinceReport = 0, staleness = reportStaleness(backend);
        for (Attempt attempt : backend.attempts) {
            ownSlots += attempt.request.details.slots();
            slotsSinceReport += attempt.sentAt > backend.reportedAt - REPORT_LAG_MICROS
                ? attempt.request.details.slots() : 0;
        }
        // As a report grows old, the estimate moves to the usual free slots: first those of the backend
        // itself, so that a slow or busy one does not count as an average one of its kind at once.
        double usualFreeSlots = meanFreeSlotsByKind[backend.entry.kind()]
            + usualLoadWeight(backend) * (backend.usualFreeSlots - meanFreeSlotsByKind[backend.entry.kind()]);
        return (1 - staleness) * (slotsSinceReport - backend.freeSlots)
            + staleness * (ownSlots - usualFreeSlots);
    }

    /**
     * Returns how outdated the last report is, from 0 to 1: the requests that it counted end over time. If
     * reports stayed valid, a backend that once reported no free slot would never be used again.
     */
    private double reportStaleness(BackendStatus backend) {
        return 1 - Math.exp((backend.reportedAt - now - REPORT_LAG_MICROS)
            / Math.max(meanRunMicros / 2, REPORT_LAG_MICROS));
    }

    private boolean hasFreeSlot(BackendStatus backend, OpenRequest request) {
        return estimatedLoad(backend) + request.details.slots() <= MIN_TIE_SLOTS;
    }

    /**
     * Returns a backend's slots: the most that it ever reported free, or the mean of its kind if it never
     * reported a free one.
     */
    private double estimatedSlots(BackendStatus backend) {
        return backend.peakFreeSlots < 1 ? meanSlotsByKind[backend.entry.kind()] : backend.peakFreeSlots;
    }

    /** Whether it is ejected, or its ejection is over and the attempt that tests it is outstanding. */
    private boolean isEjected(BackendStatus backend) {
        return backend.suspect && (now < backend.ejectedUntil || !backend.attempts.isEmpty());
    }

    /** Whether rules 2 to 4 and ejections allow an attempt; leniency as in {@link #findCandidate}. */
    private boolean isEligible(BackendStatus backend, OpenRequest request, int leniency) {
        boolean ejected = isEjected(backend)
            || now < backend.ejectedUntilByTenant.getOrDefault(request.details.tenantIndex(), 0L);
        if (backend.state != BackendState.READY || ejected && leniency < 1) return false;
        for (Attempt attempt : request.attempts) {
            // Rule 2: a keyed request that may have run goes only to backends that recognize its repeats.
            boolean sameScope = backend.entry.zone() == attempt.backend.entry.zone()
                && (request.requestClass.dedupScope() == DedupScope.ZONE
                    || backend.entry.cell() == attempt.backend.entry.cell());
            boolean outOfScope = request.requestClass.effect() == Effect.BY_KEY
                && request.requestClass.dedupScope() != DedupScope.ALL && !sameScope;
            if (outOfScope && mayHaveRun(attempt)
                || attempt.backend == backend && (attempt.outcome == null || leniency < 2)) return false;
        }
        return !isCold(backend)
            || now - processStartedAt >= settings.overloadWindowMicros
                && isWithinColdBudget(backend, request);
    }

    /**
     * Probes a backend if its last report is old, and adds the request to those that wait for the answer
     * while the request may still wait. Returns whether the backend has left its last probe unanswered.
     */
    private boolean checkUnresponsive(BackendStatus backend, OpenRequest request) {
        if (!probesForReports) return false;
        backend.unresponsive |= backend.probedAt > backend.reportedAt
            && now - backend.probedAt >= reportWaitMicros;
        if (now - Math.max(backend.reportedAt, backend.probedAt) > Math.max(meanRunMicros, ROUND_MICROS)) {
            backend.probedAt = now;
            actions.probe(backend.entry.id());
        }
        if (request.awaitedReports > 0 && !backend.unresponsive && backend.probedAt > backend.reportedAt
            && backend.requestsAwaitingReport.add(request)) request.awaitedReports++;
        return backend.unresponsive;
    }

    // ---- Attempts

    /**
     * Starts to place a request that has no outstanding attempt. It is sent, held or given its final answer
     * at once, or as soon as the reports of the drawn backends that are being probed have come.
     */
    private void startPlacement(OpenRequest request) {
        if (!hasUsableList(now)) {
            awaitsUsableList = true;
            if (!finishIfHopeless(request)) heldRequests.add(request);
            return;
        }
        request.randomDraw = random.nextLong();
        request.awaitedReports = 1;
        while (request.tier + 1 < zoneLimits.tierCount() && !isTierOpen(request)) request.tier++;
        // Cold backends are drawn rarely. They are probed here as well, since a dispatcher's turn to send to
        // them would pass unused without a report.
        boolean probesCold = probesForReports && !cannotSucceed(request)
            && (chooseBackend(request, false) == null || now < allWarmAt);
        if (probesCold) findCandidate(request, (int) request.randomDraw, null, COLD_ONLY);
        if (request.awaitedReports > 1)
            schedule((long) reportWaitMicros, () -> reportsArrived(request, request.awaitedReports));
        reportsArrived(request, 1);
    }

    /**
     * Counts reports that a request waits for, and sends or holds it when all have come. Choosing a backend
     * by old reports would cost more than the short wait for new ones.
     */
    private void reportsArrived(OpenRequest request, int reportCount) {
        if (request.awaitedReports == 0) return;
        request.awaitedReports = Math.max(0, request.awaitedReports - reportCount);
        if (request.awaitedReports == 0 && !request.finished && !trySend(request)
            && !finishIfHopeless(request))
            heldRequests.add(request);
    }

    /** Whether no further attempt may be made, or none could earn anything. */
    private boolean cannotSucceed(OpenRequest request) {
        double minRemainingMicros = settings.timerGranularityMicros
            + Math.max(ROUND_MICROS, request.attempts.isEmpty() ? 0 : expectedRunMicros(request));
        // A client retry gets one attempt though it is late. It often comes from a dispatcher that died, and
        // a request that had run there for long is longer than the mean, with more slack than assumed here.
        boolean lateCounts = !probesForReports || !request.clientRetry || !request.attempts.isEmpty();
        return request.deadline - now <= minRemainingMicros || !mayRetry(request)
            || lateCounts && now > request.latestStart && request.requestClass.lateWorthShare() == 0;
    }

    /** Gives a request its final answer if it is late or cannot succeed; returns whether it is finished. */
    private boolean finishIfHopeless(OpenRequest request) {
        return request.finished || (cannotSucceed(request) || isLate(request)) && refuseOrFail(request);
    }

    /** Whether a request that was never sent has missed its latest start. */
    private boolean isLate(OpenRequest request) {
        return request.attempts.isEmpty() && now > request.latestStart;
    }

    /**
     * Sends a request to the first tier that has a backend for it. Returns whether the request was sent or,
     * if the zone limits say that it is not to be held, given its final answer.
     */
    private boolean trySend(OpenRequest request) {
        if (!hasUsableList(now)) return false;
        boolean anyCandidate = false;
        // With several tiers, the first pass considers healthy backends only. Otherwise the suspect backends
        // of a lost zone would be tried one after another while the next tier is healthy.
        for (int pass = zoneLimits.tierCount() > 1 ? 0 : 1; pass < 2; pass++) {
            for (request.tier = 0; request.tier < zoneLimits.tierCount() && !cannotSucceed(request);
                request.tier++) {
                Candidate candidate = isTierOpen(request) ? chooseBackend(request, pass == 0) : null;
                anyCandidate |= candidate != null;
                // A request that would queue looks for a cold backend with a free slot, whose turn for this
                // dispatcher may otherwise pass unused.
                boolean seeksCold = candidate != null && now < allWarmAt && !isLate(request)
                    && !hasFreeSlot(candidate.backend, request);
                if (seeksCold) candidate = Objects.requireNonNullElse(
                    findCandidate(request, (int) request.randomDraw, null, COLD_ONLY), candidate);
                if (candidate != null && mayQueueAt(request, candidate)) {
                    sendAttempt(request, candidate.backend);
                    return true;
                }
            }
        }
        request.tier = 0;
        request.randomDraw = random.nextLong();
        // A request beyond the work that other zones may take over is refused at once and not held.
        return !anyCandidate && zoneLimits.refusesUnplaced(now, request.details) && refuseOrFail(request);
    }

    private boolean isTierOpen(OpenRequest request) {
        return zoneLimits.isTierOpen(now, request.details, request.requestClass.effect() == Effect.REPEATABLE,
            request.tier);
    }

    /**
     * Tries the first held requests, as sorted by worth and slack in the last round, again and again while
     * any of them is sent or finished.
     */
    private void sendHeldRequests() {
        while (heldRequests.subList(0, Math.min(heldRequests.size(), HELD_REQUESTS_PER_PASS))
            .removeIf(request -> finishIfHopeless(request) || trySend(request))) continue;
    }

    private void sendAttempt(OpenRequest request, BackendStatus backend) {
        Attempt attempt = new Attempt();
        attempt.request = request;
        attempt.backend = backend;
        attempt.sentAt = now;
        outstandingSlots += request.details.slots();
        request.attempts.add(attempt);
        attempt.connectionIdleMicros = backend.attempts.isEmpty() ? now - backend.lastResponseAt : 0;
        // A start is not overdue while a new connection is being opened. Where probes report the queues, it
        // may take longer than where they are not known.
        attempt.startTimeoutMicros = Math.max(
            request.requestClass.targetMicros() / (probesForReports ? 2 : 2 * WAIT_DIVISOR),
            hasIdleConnection(backend) ? 0 : settings.connectTimeoutMicros);
        // Something on the way to a backend may drop idle connections without notice. A connection that has
        // been idle for as long as those that were lost is closed instead of used.
        if (attempt.connectionIdleMicros > trustedIdleMicros
            && attempt.connectionIdleMicros < settings.idleTimeoutMicros)
            actions.closeIdleConnections(backend.entry.id());
        if (attempt.connectionIdleMicros > trustedIdleMicros) attempt.connectionIdleMicros = 0;
        attempt.hadFreeSlot = hasFreeSlot(backend, request);
        backend.attempts.add(attempt);
        sentWork.record(new SentWork(backend.entry.id(), now, expectedSlotMicros(backend, request)),
            isCold(backend));
        double slotSeconds =
            Math.max(meanRunMicros / 4, expectedRunMicros(request)) * request.details.slots() / 1e6;
        zoneLimits.attemptSent(now, request.details, request.attempts.size() - 1, backend.entry, slotSeconds);
        actions.send(request.details.id(), backend.entry.id());
        if (settings.mayCancel && !request.requestClass.streamed())
            schedule(attempt.startTimeoutMicros, () -> checkAttempt(attempt));
    }

    /**
     * Checks an outstanding attempt. If it has not started in time, or two progress reports are missing, a
     * hedged request goes to a backend that can probably start it at once.
     */
    private void checkAttempt(Attempt attempt) {
        OpenRequest request = attempt.request;
        if (attempt.outcome != null || request.finished) return;
        boolean waits = settings.backendsReportStart
            && request.attempts.stream().allMatch(other -> other.startedAt < 0);
        // A request that does not start though its backend had a free slot was probably lost on a dead idle
        // connection. It does not count as backlog, which would stop the sends to all backends.
        boolean probablyLost = probesForReports && waits && attempt.hadFreeSlot
            && attempt.connectionIdleMicros > 0;
        if (probablyLost && ++suspectedDeadConnections > 1)
            trustedIdleMicros = Math.min(trustedIdleMicros, attempt.connectionIdleMicros / 2);
        if (waits && !probablyLost) setStalled(request, true);
        if (waits && attempt.hadFreeSlot) zoneLimits.startOverdue(now, attempt.backend.entry.id());
        // A repeatable request that can no longer start in time gives its place in the queue to others, if an
        // even chance of an answer in time for one of them is worth more than its own late answer.
        boolean isWorthDropping = request.requestClass.effect() == Effect.REPEATABLE
            && request.requestClass.lateWorthShare() < 1.0 / 3;
        if (waits && isWorthDropping && now > request.latestStart && refuseOrFail(request)) return;
        // Only a started attempt can fall silent. Hedging one that waits in a queue would waste capacity.
        boolean silent = attempt.lastProgressAt > 0 && settings.progressIntervalMicros > 0
            && now - attempt.lastProgressAt > 5 * settings.progressIntervalMicros / 2;
        boolean overdue = !settings.backendsReportStart
            ? now - attempt.sentAt > 3 * expectedRunMicros(request) : attempt.startedAt < 0 || silent;
        boolean mayGain = backlogRuns() < 1 && outstandingCount(request) < (probesForReports ? 2 : 3)
            && request.deadline - now > expectedRunMicros(request);
        if (overdue && mayGain && settings.mayHedge && mayRetry(request)) {
            request.randomDraw = random.nextLong();
            Candidate candidate = chooseBackend(request, true);
            boolean lessLoaded = settings.reportMode == ReportMode.NEVER && candidate != null
                && estimatedLoad(candidate.backend) < estimatedLoad(attempt.backend);
            // A hedged request that queues, or runs after the first has answered, only takes capacity.
            // Reports in responses come too late to show a free slot, so none is sent because of them.
            if (candidate != null
                && (silent || (probesForReports ? hasFreeSlot(candidate.backend, request) : lessLoaded))) {
                sendAttempt(request, candidate.backend);
                return;
            }
        }
        schedule(attempt.startedAt < 0 ? attempt.startTimeoutMicros
            : Math.max(ROUND_MICROS, settings.progressIntervalMicros), () -> checkAttempt(attempt));
    }

    /** Marks whether a request was sent and does not start; see {@link #backlogRuns}. */
    private void setStalled(OpenRequest request, boolean stalled) {
        stalledSlots += request.stalled == stalled ? 0
            : stalled ? request.details.slots() : -request.details.slots();
        request.stalled = stalled;
    }

    /**
     * Returns how long the queues of all backends are, in mean run times: the requests that were sent and do
     * not start, in relation to those that run. The square root allows for requests that stall by chance.
     */
    private double backlogRuns() {
        return outstandingSlots < 1 ? 0 : (stalledSlots - Math.sqrt(stalledSlots)) / (runningSlots + 1);
    }

    private void cancelAttempt(Attempt attempt) {
        if (settings.mayCancel && attempt.outcome == null)
            actions.cancel(attempt.request.details.id(), attempt.request.attempts.indexOf(attempt));
    }

    /**
     * Records how an attempt ended, for its backend, the averages and the zone limits.
     *
     * @param tenantRejected whether the backend rejected the tenant, which says nothing about its health
     */
    private void recordOutcome(Attempt attempt, Outcome outcome, boolean tenantRejected) {
        attempt.outcome = outcome;
        double slotSeconds = attempt.startedAt >= 0
            ? (now - attempt.startedAt) * attempt.request.details.slots() / 1e6 : 0;
        zoneLimits.attemptEnded(now, attempt.request.details, attempt.request.attempts.indexOf(attempt),
            attempt.backend.entry, outcome, slotSeconds);
        outstandingSlots -= attempt.request.details.slots();
        runningSlots -= attempt.startedAt >= 0 ? attempt.request.details.slots() : 0;
        // A timed-out attempt may still run: it counts as load until the next report, see applyReport.
        if (outcome == Outcome.TIMED_OUT) return;
        attempt.backend.attempts.remove(attempt);
        if (outcome == Outcome.REJECTED && !tenantRejected)
            setStalled(attempt.request, !attempt.request.finished);
        // A reset right after a send on an idle connection shows that idle connections are dropped. It does
        // not show that the backend fails.
        boolean staleConnection = attempt.connectionIdleMicros > 0 && attempt.startedAt < 0
            && now - attempt.sentAt < ROUND_MICROS;
        if (outcome.isResponse()) attempt.backend.lastResponseAt = now;
        if (outcome == Outcome.SERVED) learnRunTime(attempt);
        else if (outcome == Outcome.RESET && staleConnection)
            trustedIdleMicros = Math.min(trustedIdleMicros, attempt.connectionIdleMicros / 2);
        else if (!tenantRejected && !outcome.isLocal() && outcome != Outcome.UNFIT)
            eject(attempt.backend, outcome);
        // UNFIT may be the client's fault. It counts as the backend's if another backend serves it.
        if (outcome == Outcome.SERVED) attempt.request.attempts.stream()
            .filter(other -> other.outcome == Outcome.UNFIT)
            .forEach(other -> eject(other.backend, Outcome.ERROR));
    }

    /** Returns how many backends found a request unfit; when two agree, it is not tried again. */
    private static int unfitCount(OpenRequest request) {
        return (int) request.attempts.stream().filter(a -> a.outcome == Outcome.UNFIT).count();
    }

    /**
     * Whether rule 2 and the limit of attempts allow a further one, with the time to open its connection.
     * {@link #isEligible} decides which backends it may go to.
     */
    private boolean mayRetry(OpenRequest request) {
        long retryWindow = request.requestClass.effect() == Effect.REPEATABLE ? Long.MAX_VALUE
            : request.requestClass.effect() == Effect.BY_KEY ? request.requestClass.dedupWindowMicros()
                - 2 * settings.timerGranularityMicros - settings.connectTimeoutMicros : 0;
        return request.attempts.size() < settings.maxAttempts && request.attempts.stream()
            .noneMatch(attempt -> mayHaveRun(attempt) && now - attempt.sentAt >= retryWindow);
    }

    /** Whether an attempt may have run; REJECTED proves nothing if backends reject work that has begun. */
    private boolean mayHaveRun(Attempt attempt) {
        boolean rejectedLate = settings.rejectedMayHaveRun && attempt.outcome == Outcome.REJECTED;
        return attempt.outcome == null || !attempt.outcome.neverRan() || rejectedLate;
    }

    /** Returns the number of attempts without an outcome. */
    private static int outstandingCount(OpenRequest request) {
        return (int) request.attempts.stream().filter(a -> a.outcome == null).count();
    }

    /** Returns an attempt of an open request; null if there is none with this number. */
    private Attempt findAttempt(long requestId, int attemptNumber) {
        OpenRequest request = openRequests.get(requestId);
        return request == null || attemptNumber >= request.attempts.size() ? null
            : request.attempts.get(attemptNumber);
    }

    /**
     * Gives a request its final answer without a result: a refusal if rule 2 lets the client try again
     * without harm, otherwise a failure. Always returns true, for use in conditions.
     */
    private boolean refuseOrFail(OpenRequest request) {
        boolean harmless = request.requestClass.effect() == Effect.REPEATABLE
            || request.requestClass.effect() == Effect.BY_KEY
                && request.requestClass.dedupScope() == DedupScope.ALL;
        // The client is told to come back when the requests that run and wait now will have ended.
        long retryAfter = (long) Math.min(settings.maxRetryAfterMicros,
            meanRunMicros * Math.max(1, backlogRuns()));
        boolean refused = unfitCount(request) == 0
            && (harmless || request.attempts.stream().noneMatch(this::mayHaveRun));
        if (refused) actions.refuse(request.details.id(), retryAfter);
        else actions.fail(request.details.id());
        finish(request);
        return true;
    }

    /** Rule 1: sends nothing more for a request and cancels its outstanding attempts. */
    private void finish(OpenRequest request) {
        request.finished = true;
        setStalled(request, false);
        request.attempts.forEach(this::cancelAttempt);
        if (outstandingCount(request) == 0) openRequests.remove(request.details.id());
    }

    // ---- Load shedding

    /**
     * Whether a request may be sent to a backend where it has to queue; otherwise it is held. It may queue
     * for a part of its own slack, and no longer than a request of any other class could wait behind it.
     */
    private boolean mayQueueAt(OpenRequest request, Candidate candidate) {
        double ownWorthRate = worthRate(request), betterClassShare = 0;
        double runFactor = Math.exp(logRunFactorByKind[candidate.backend.entry.kind()]);
        double work = request.details.expectedWorkMicros() > 0 ? request.details.expectedWorkMicros()
            : expectedRunMicros(request);
        double slack = request.requestClass.targetMicros() + request.requestClass.targetStretch() * work
            - expectedRunMicros(request) * runFactor;
        for (int c = 0; c < runCountByClass.length; c++) {
            betterClassShare += worthRate(c) > ownWorthRate ? 1.0 / runCountByClass.length : 0;
            if (c != request.details.classIndex())
                slack = Math.min(slack, settings.classes.get(c).slackMicros(classRunMicros(c)));
        }
        // A request held until its slack is nearly spent may only queue for what is left of it.
        double remaining = Math.max(request.latestStart - now, request.requestClass.lateWorthShare() * slack);
        // Other dispatchers send to the same queue unseen. The less a late answer earns, the more of the
        // slack is kept in reserve; the part that classes of more worth may need is kept as well.
        double fraction = isLate(request) ? 0
            : (1 - betterClassShare) * (1 + request.requestClass.lateWorthShare()) / 2;
        return expectedQueueMicros(candidate.backend, request) * runFactor
            <= Math.max(0, Math.min(remaining, fraction * slack));
    }

    /**
     * Returns a class's worth per microsecond of its run time; the worth alone where that is counted by work.
     */
    private double worthRate(int classIndex) {
        return settings.classes.get(classIndex).worth()
            / (settings.worthByWork ? 1 : Math.max(1, classRunMicros(classIndex)));
    }

    /** Returns the same for a request: reduced if it is late or exceeds its tenant's quota. */
    private double worthRate(OpenRequest request) {
        double lateFactor = isLate(request) ? request.requestClass.lateWorthShare() : 1;
        return worthRate(request.details.classIndex()) * lateFactor
            * (request.overQuota ? settings.overQuotaWorthShare : 1);
    }

    /**
     * Returns how long a request would wait at a backend. The report of a full backend may hide requests that
     * wait, so one more is assumed where backends are probed.
     */
    private long expectedQueueMicros(BackendStatus backend, OpenRequest request) {
        boolean idle = !probesForReports && !request.overQuota && backend.attempts.isEmpty()
            && now - backend.reportedAt > meanRunMicros / 2;
        // Requests over quota leave the square root of the slots free as reports grow old. They would
        // otherwise fill slots whose use is not known, and requests within their quota would be rejected.
        double reserve = request.overQuota
            ? reportStaleness(backend) * Math.sqrt(estimatedSlots(backend)) : 0;
        double load = estimatedLoad(backend) + request.details.slots() + reserve;
        double queue = backend.queuedRequests
            * Math.exp((backend.reportedAt - now) / Math.max(1, meanRunMicros));
        double slotsAhead =
            Math.max(queue, idle || load <= MIN_TIE_SLOTS ? 0 : load + (probesForReports ? 1 : 0));
        return (long) (meanRunMicros
            * Math.max(backlogRuns(), slotsAhead / Math.max(1, estimatedSlots(backend))));
    }

    // ---- Load reports and health

    /** Takes over a load report; ignored if it does not contain the free slots or an argument is null. */
    private void applyReport(BackendStatus backend, LoadReport report) {
        if (backend == null || report == null || Double.isNaN(report.freeSlots)) return;
        backend.attempts.removeIf(attempt -> attempt.outcome != null);
        int kind = backend.entry.kind();
        boolean first = backend.reportedAt < 0;
        backend.reportedAt = now;
        // Until a request has ended here, the run times that backends report are used: with little traffic
        // none would be known for a long time.
        boolean usesReportedRun = report.recentRunMicros > 0 && !isCold(backend)
            && Arrays.stream(runCountByClass).sum() == 0;
        if (usesReportedRun)
            meanRunMicros += (meanRunMicros == 0 ? 1 : SAMPLE_WEIGHT)
                * (report.recentRunMicros - meanRunMicros);
        backend.unresponsive = false;
        // Requests in flight are added: by its free slots alone, a busy backend would seem small.
        boolean full = report.freeSlots < MIN_TIE_SLOTS;
        boolean showsTotal = !full && !Double.isNaN(report.inFlight);
        if (showsTotal) backend.meanTotalSlots += (backend.meanTotalSlots == 0 ? 1 : SAMPLE_WEIGHT)
            * (report.freeSlots + report.inFlight - backend.meanTotalSlots);
        backend.peakFreeSlots = Math.max(backend.peakFreeSlots, report.freeSlots);
        double excess = full && report.inFlight > backend.peakFreeSlots
            ? report.inFlight - backend.peakFreeSlots : 0;
        backend.queuedRequests = Math.max(0, Double.isNaN(report.queued) ? excess : report.queued);
        // The queue counts for the choice of a backend up to half of its slots. Counted in full, it would
        // make all dispatchers stop and resume sending to the backend at the same time.
        backend.freeSlots = report.freeSlots - Math.min(backend.queuedRequests, backend.peakFreeSlots / 2);
        backend.usualFreeSlots += (first ? 1 : 4 * SAMPLE_WEIGHT)
            * (backend.freeSlots - backend.usualFreeSlots);
        meanFreeSlotsByKind[kind] += (meanSlotsByKind[kind] == 0 ? 1 : SAMPLE_WEIGHT)
            * (backend.freeSlots - meanFreeSlotsByKind[kind]);
        meanSlotsByKind[kind] += (meanSlotsByKind[kind] == 0 ? 1 : SAMPLE_WEIGHT)
            * (Math.max(backend.peakFreeSlots, backend.meanTotalSlots) - meanSlotsByKind[kind]);
    }

    /** Ends the suspicion against a backend after a success, unless it is still ejected. */
    private void clearSuspicion(BackendStatus backend) {
        if (!backend.suspect || now < backend.ejectedUntil) return;
        backend.suspect = false;
        logBackend(backend, "is back in use");
    }

    /**
     * Ejects a backend after a failure. When the ejection is over, one attempt tests it; if that fails too,
     * the next ejection is twice as long.
     */
    private void eject(BackendStatus backend, Outcome reason) {
        if (backend.suspect && now < backend.ejectedUntil) return;
        backend.ejectionMicros = backend.suspect
            ? Math.min(16 * FIRST_EJECTION_MICROS, 2 * backend.ejectionMicros) : FIRST_EJECTION_MICROS;
        backend.suspect = true;
        backend.ejectedUntil = now + backend.ejectionMicros;
        logBackend(backend, "ejected: " + reason);
    }

    /** Updates the averages of run times by an attempt that was served. */
    private void learnRunTime(Attempt attempt) {
        clearSuspicion(attempt.backend);
        // Where backends do not report the start, the time in their queue counts as run time: otherwise no
        // run time would ever be known.
        long runFrom = settings.backendsReportStart ? attempt.startedAt : attempt.sentAt;
        if (runFrom < 0) return;
        int classIndex = attempt.request.details.classIndex(), kind = attempt.backend.entry.kind();
        double runMicros = now - runFrom, expectedMicros = expectedRunMicros(attempt.request);
        if (expectedMicros > 0)
            logRunFactorByKind[kind] += SAMPLE_WEIGHT
                * (Math.log(Math.max(1, runMicros) / expectedMicros) - logRunFactorByKind[kind]);
        double weight = Math.max(SAMPLE_WEIGHT, 1.0 / ++runCountByClass[classIndex]);
        meanRunByClass[classIndex] += weight * (runMicros - meanRunByClass[classIndex]);
        runPerWorkByClass[classIndex] += attempt.request.details.expectedWorkMicros() > 0
            ? weight * (runMicros / attempt.request.details.expectedWorkMicros()
                - runPerWorkByClass[classIndex]) : 0;
        meanRunMicros += meanRunMicros == 0 ? runMicros : SAMPLE_WEIGHT * (runMicros - meanRunMicros);
    }

    /** Returns a request's expected run time on a backend of average speed; 0 while no run time is known. */
    private double expectedRunMicros(OpenRequest request) {
        int classIndex = request.details.classIndex();
        return request.details.expectedWorkMicros() > 0 ? request.details.expectedWorkMicros()
            * (runCountByClass[classIndex] > 0 ? runPerWorkByClass[classIndex] : 1)
            : classRunMicros(classIndex);
    }

    /** Returns a class's mean run time; the mean of all classes until a request of it has ended here. */
    private double classRunMicros(int classIndex) {
        return runCountByClass[classIndex] > 0 ? meanRunByClass[classIndex] : meanRunMicros;
    }

    // ---- Cold backends (rule 4): a budget of work in any overload window, divided among the dispatchers

    /** Whether a backend has started so lately that it is still warming up; false for null. */
    private boolean isCold(BackendStatus backend) {
        return backend != null && zoneLimits.believedStartMicros(backend.entry) > 0
            && now - zoneLimits.believedStartMicros(backend.entry) < settings.warmUpMicros;
    }

    /**
     * Returns the work of a request on a warm backend of this kind, in slot-microseconds. A slower
     * kind gets less done in the same slots.
     */
    private double expectedSlotMicros(BackendStatus backend, OpenRequest request) {
        return expectedRunMicros(request) * Math.exp(logRunFactorByKind[backend.entry.kind()])
            * request.details.slots();
    }

    /**
     * Whether a request fits into this dispatcher's share of a cold backend's budget in the current window.
     * All amounts are in requests of mean work. The shares depend on a dispatcher's rank, which differs from
     * backend to backend and falls by one from window to window, so that each dispatcher gets the larger
     * shares in turn.
     */
    private boolean isWithinColdBudget(BackendStatus backend, OpenRequest request) {
        double meanWork = Math.max(1, meanRunMicros * Math.exp(logRunFactorByKind[backend.entry.kind()]));
        double work = expectedSlotMicros(backend, request) / meanWork;
        double budget = coldBudget(backend) / meanWork;
        double sent = sentWork.slotMicrosSince(backend.entry.id(), now - settings.overloadWindowMicros,
            meanWork) / meanWork;
        long window = Math.max(0, now - zoneLimits.believedStartMicros(backend.entry))
            / Math.max(1, settings.overloadWindowMicros);
        long rank = Math.floorMod(settings.dispatcherIndex + Long.hashCode(backend.entry.id()) - window,
            (long) settings.dispatcherCount);
        double overload = budget / COLD_BUDGET_MARGIN;
        // What all dispatchers have probably sent, if they use as much of their allowance as this one does.
        double sentByAll = (sent * settings.dispatcherCount + work * (1 + rank))
            * sentWork.usedShare(meanWork);
        boolean inShare = work > 0 && sentByAll <= budget
            && sent + work <= coldBudgetShare(overload, rank, settings.dispatcherCount);
        // A request that is larger than any share, or whose run time is not known, is sent alone, by one of
        // all dispatchers in every second window. It would never reach a cold backend otherwise.
        return inShare || rank + window % 2 == 0 && sent == 0
            && work <= coldBudgetShare(overload, LARGE_REQUEST_RANK, settings.dispatcherCount);
    }

    /**
     * Returns how much one dispatcher may send to a cold backend in any window, in requests of mean work.
     * What all dispatchers send in a window adds up to at most N + 2 * sqrt(N) + 2, where N is
     * {@code overloadWork} (docs/fleet.md).
     *
     * @param overloadWork    work that would overload the backend in a window, in requests of mean work
     * @param rank            the dispatcher's rank in this window, from 0, which has the largest share; or
     *                        {@link #LARGE_REQUEST_RANK} for the largest request that may be sent alone
     * @param dispatcherCount number of dispatchers
     */
    static double coldBudgetShare(double overloadWork, long rank, int dispatcherCount) {
        double maxTotal = overloadWork + 2 * Math.sqrt(overloadWork) + 2;
        double maxAlone = Math.max(1, maxTotal / 4);
        double evenShare = (maxTotal - maxAlone) / dispatcherCount;
        double maxShare = Math.min(MAX_SHARE_REQUESTS, maxAlone);
        double minShare = Math.max(1.0 / MAX_SHARE_REQUESTS, evenShare / COLD_SHARE_SPREAD);
        double firstShare = (maxTotal - maxAlone) / (1 + Math.log(maxShare / minShare));
        if (rank == LARGE_REQUEST_RANK || evenShare >= maxShare)
            return rank == LARGE_REQUEST_RANK ? maxAlone : evenShare;
        return firstShare < minShare * (1 + rank) ? 0 : Math.min(maxShare, firstShare / (1 + rank));
    }

    /**
     * Returns the work, in slot-microseconds, that all dispatchers together may send to a cold backend in one
     * window: a part of what would overload it at its age.
     */
    private double coldBudget(BackendStatus backend) {
        double age = Math.max(0, now - zoneLimits.believedStartMicros(backend.entry));
        double gained = (1 - settings.coldCapacityShare) * age / settings.warmUpMicros;
        return COLD_BUDGET_MARGIN * settings.overloadMultiple * settings.overloadWindowMicros
            * Math.max(1, estimatedSlots(backend)) * (settings.coldCapacityShare + gained);
    }

    // ---- The backend list

    private void applyList(ListUpdate update, List<Backend> list) {
        listCount++;
        for (Backend entry : list) {
            BackendStatus backend = backends.computeIfAbsent(entry.id(), id -> new BackendStatus());
            if (!entry.hasSameZoneAndKind(backend.entry)) groupsByClassAndTier.clear();
            backend.lastListNumber = listCount;
            updateState(backend, entry, entry.state());
            allWarmAt = Math.max(allWarmAt, zoneLimits.believedStartMicros(entry) + settings.warmUpMicros);
        }
        // A backend that a complete list does not have is gone.
        if (update != ListUpdate.DELTA) backends.values().stream()
            .filter(backend -> backend.lastListNumber != listCount)
            .forEach(backend -> updateState(backend, backend.entry, BackendState.GONE));
        boolean removed = goneBackends.removeIf(backend ->
            now - backend.stateChangedAt > GONE_RETENTION_MICROS
            && backends.remove(backend.entry.id(), backend));
        if (removed) groupsByClassAndTier.clear();
    }

    /**
     * Divides the backends that each class may use in each tier, sorted by id, into groups. A backend that
     * left the list lately keeps its place, so that the other groups stay the same.
     */
    private void buildGroups() {
        // Attempts are drawn from these groups only: a class never reaches a backend that it may not run on.
        for (int i = 0; i < settings.classes.size() * zoneLimits.tierCount(); i++) {
            int classIndex = i / zoneLimits.tierCount(), tier = i % zoneLimits.tierCount();
            List<BackendStatus> pool = backends.values().stream()
                .filter(backend -> settings.classes.get(classIndex).mayRunOn(backend.entry)
                    && zoneLimits.tierOf(classIndex, backend.entry.zone()) == tier).toList();
            groupsByClassAndTier.add(IntStream.range(0, (pool.size() + GROUP_SIZE - 1) / GROUP_SIZE)
                .mapToObj(g -> pool.subList(g * GROUP_SIZE, Math.min((g + 1) * GROUP_SIZE, pool.size())))
                .toList());
        }
    }

    private void updateState(BackendStatus backend, Backend entry, BackendState state) {
        boolean stopsBeingReady = backend.state == BackendState.READY && state != backend.state;
        if (backend.state == BackendState.READY) readyByKind[backend.entry.kind()]--;
        if (state == BackendState.READY) readyByKind[entry.kind()]++;
        if (state != backend.state) goneBackends.remove(backend);
        if (state != backend.state && state == BackendState.GONE) goneBackends.add(backend);
        backend.entry = entry;
        backend.stateChangedAt = backend.state == state ? backend.stateChangedAt : now;
        backend.state = state;
        if (stopsBeingReady) closeConnectionsUnlessReady(backend);
    }

    /**
     * Rule 3: closes the idle connections to a backend that drains or is gone. Also called after each attempt
     * and probe, whose connection becomes idle only then. Null is ignored.
     */
    private void closeConnectionsUnlessReady(BackendStatus backend) {
        if (backend == null || backend.state == BackendState.READY) return;
        actions.closeIdleConnections(backend.entry.id());
        backend.lastResponseAt = Long.MIN_VALUE / 4;
    }

    private void logBackend(BackendStatus backend, String line) {
        if (loggedLines++ < MAX_LOG_LINES)
            actions.log("backend " + Long.toHexString(backend.entry.id()) + ' ' + line);
    }
}
