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

/** All decisions of one dispatcher, single-threaded. Interface: Dispatch.java; reasons: docs/design.md. */
public final class DefaultDispatchPolicy implements DispatchPolicy {
    /** Workers in a group: two groups show enough of them for a small constant load (paper, section 4). */
    private static final int GROUP_SIZE = 3;
    /** Loads closer than so many slots tie, as reports are no finer; totals of groups more widely. Weight of
     *  a new figure in a moving average; mean runs until all jobs of a report have ended. */
    private static final double MIN_TIE_SLOTS = 0.5, MAX_TIE_SLOTS = 1.5, GROUP_TIE_SLOTS = 1.6, SAMPLE_WEIGHT = 0.05, USUAL_LOAD_DECAY_RUNS = 10;
    /** A report's usual age: younger pushes are not in it; how long a group's place outlives its worker. */
    private static final long REPORT_LAG_MICROS = 400_000, GONE_RETENTION_MICROS = 60_000_000;
    /** How often held jobs are tried again; a suspect's first rest, doubled up to 4 times by failures. */
    private static final long ROUND_MICROS = 100_000, FIRST_EJECTION_MICROS = 500_000;
    /** Seconds or jobs of its quota that a tenant may save; the part of the cold budget used; coldShare. */
    private static final double QUOTA_BURST_SECONDS = 2, QUOTA_BURST_REQUESTS = 10, COLD_BUDGET_MARGIN = 0.5, COLD_SHARE_SPREAD = 2.4;
    /** The part of the tightest aim that a job waits for reports; of its patience, where it runs unknown.
     *  A look at cold workers alone; held jobs tried at once; lines; a job alone; most jobs in a share. */
    private static final int WAIT_DIVISOR = 4, COLD_ONLY = -1, HELD_REQUESTS_PER_PASS = 3, MAX_LOG_LINES = 100, LARGE_REQUEST_RANK = -1, MAX_SHARE_REQUESTS = 2;

    /** A worker: what the list, its reports and our own attempts say of it. */
    private static final class BackendStatus {
        Backend entry;
        BackendState state;
        boolean suspect, unresponsive;
        double freeSlots, usualFreeSlots, peakFreeSlots, meanTotalSlots, queuedRequests;
        long stateChangedAt, lastResponseAt = Long.MIN_VALUE / 4, ejectedUntil, ejectionMicros = FIRST_EJECTION_MICROS, lastListNumber;
        long reportedAt = Long.MIN_VALUE / 4, probedAt = Long.MIN_VALUE / 4;
        final List<Attempt> attempts = new ArrayList<>();
        final List<OpenRequest> requestsAwaitingReport = new ArrayList<>(0);
        final Map<Integer, Long> ejectedUntilByTenant = new HashMap<>(0);
    }

    private record Candidate(List<BackendStatus> group, double groupLoad, BackendStatus backend) { }

    /** One send of a job to a worker. */
    private static final class Attempt {
        OpenRequest request;
        BackendStatus backend;
        long sentAt, startedAt = -1, lastProgressAt, connectionIdleMicros, startTimeoutMicros;
        boolean hadFreeSlot;
        Outcome outcome;
    }

    /** A client's job until its final answer and its last outcome. */
    private static final class OpenRequest {
        Request details;
        RequestClass requestClass;
        long deadline, latestStart, randomDraw;
        boolean finished, streaming, overQuota, stalled, clientRetry;
        int awaitedReports, tier;
        final List<Attempt> attempts = new ArrayList<>(2);
    }

    private final Settings s;
    private final Actions act;
    private final ZoneLimits zones;
    private final SplittableRandom random;
    private final boolean probesForReports, prefersKnownBackends;    // workers are probed; answers alone tell, connections are free
    private final double tie, reportWaitMicros;
    private final Map<Long, BackendStatus> backends = new TreeMap<>(Long::compareUnsigned);
    private final List<BackendStatus> goneBackends = new ArrayList<>();
    private final Map<Long, OpenRequest> openRequests = new HashMap<>();
    private final Map<Integer, Runnable> timerTasks = new HashMap<>();
    private final List<OpenRequest> heldRequests = new ArrayList<>();
    private final ColdSendLedger sentWork = new ColdSendLedger();
    private final List<List<List<BackendStatus>>> groupsByClassAndTier = new ArrayList<>();
    private final double[] readyByKind, meanFreeSlotsByKind, meanSlotsByKind, logRunFactorByKind, meanRunByClass, runCountByClass, runPerHintByClass, maxRemainingByClass, creditByTenant;
    private double outstandingSlots, runningSlots, stalledSlots, arrivedWork, meanRunMicros, trafficShare;
    private long now, processStartedAt = -1, watchPauseMicros, trustedIdleMicros, allWarmAt;
    private int nextTimerToken, loggedLines, listCount, suspectedDeadConnections;

    public DefaultDispatchPolicy(Settings settings, long seed, Actions actions) {
        this(settings, seed, actions, null);
    }

    /** The same, held to what {@code zones} allow; null for no limits. */
    public DefaultDispatchPolicy(Settings settings, long seed, Actions actions, ZoneLimits zones) {
        this.zones = Objects.requireNonNullElse(zones, new ZoneLimits() { });
        s = settings.validated();
        act = Objects.requireNonNull(actions, "actions");
        random = new SplittableRandom(seed);
        tie = Math.max(MIN_TIE_SLOTS, MAX_TIE_SLOTS * (1 - 4.0 / s.dispatcherCount));
        trustedIdleMicros = s.idleTimeoutMicros;
        probesForReports = s.mayProbe && s.reportMode == ReportMode.ON_PROBE;
        prefersKnownBackends = !probesForReports && s.connectCost == 0;
        reportWaitMicros = s.classes.stream().mapToLong(c -> c.targetMicros() / WAIT_DIVISOR).min().orElse(ROUND_MICROS);
        readyByKind = new double[s.kindCount];
        meanFreeSlotsByKind = new double[s.kindCount];
        meanSlotsByKind = new double[s.kindCount];
        logRunFactorByKind = new double[s.kindCount];
        trafficShare = 1.0 / s.dispatcherCount;
        meanRunByClass = new double[s.classes.size()];
        runPerHintByClass = new double[s.classes.size()];
        maxRemainingByClass = new double[s.classes.size()];
        runCountByClass = new double[s.classes.size()];
        creditByTenant = new double[s.tenants.size()];
        Arrays.setAll(creditByTenant, t -> Math.max(0, QUOTA_BURST_REQUESTS / 2 - ownQuotaPerSecond(t)));    // what one second brings
    }

    // ---- Events

    @Override public void backendsListed(long time, ListUpdate update, List<Backend> list) {
        now = time;
        if (processStartedAt < 0) {
            processStartedAt = now;
            runRound();
            if (!s.listPushed) act.watchBackendList();
        }
        watchPauseMicros = update == ListUpdate.FAILED ? WatchTiming.nextRetryPauseMicros(watchPauseMicros, s.maxWatchIntervalMicros) : FIRST_EJECTION_MICROS / 2;
        if (update != ListUpdate.FAILED) applyList(update, list);
        // A failed call or a dropped watch: again after a jittered pause, which grows until a list comes.
        else if (!s.listPushed) schedule((long) (watchPauseMicros * (0.5 + random.nextDouble())), act::watchBackendList);
        zones.backendsListed(now, update, list);
        sendHeldRequests();
    }

    @Override public void requestReceived(long time, Request job) {
        now = time;
        OpenRequest r = new OpenRequest();
        r.details = job;
        r.requestClass = s.classOf(job);
        r.deadline = now + job.remainingMicros();
        // What the client has left tells how long it has waited, earlier tries included.
        maxRemainingByClass[job.classIndex()] = Math.max(maxRemainingByClass[job.classIndex()], job.remainingMicros());
        double slack = r.requestClass.slackMicros(expectedRunMicros(r));
        // Guards against all taken for late that waited out our restart: short jobs alone have ended since.
        boolean waitedForUs = job.expectedWorkMicros() == 0 && r.deadline - r.requestClass.clientTimeoutMicros() < processStartedAt;
        if (waitedForUs) slack = Math.max(slack, r.requestClass.clientTimeoutMicros() / WAIT_DIVISOR);
        r.latestStart = (long) (r.deadline - maxRemainingByClass[job.classIndex()] + slack);
        r.clientRetry = job.remainingMicros() < maxRemainingByClass[job.classIndex()] - s.timerGranularityMicros;
        arrivedWork += r.clientRetry ? 0 : job.slots() * expectedRunMicros(r);
        r.overQuota = exceedsQuota(job.tenantIndex(), !r.clientRetry);
        openRequests.put(job.id(), r);
        startPlacement(r);
    }

    @Override public void attemptStarted(long time, long job, int attempt) {
        now = time;
        Attempt a = findAttempt(job, attempt);
        if (a == null || a.outcome != null || a.startedAt >= 0) return;
        a.startedAt = a.lastProgressAt = now;
        suspectedDeadConnections = a.connectionIdleMicros > 0 ? 0 : suspectedDeadConnections;
        runningSlots += a.request.details.slots();
        setStalled(a.request, false);
        clearSuspicion(a.backend);
        zones.backendResponded(now, a.backend.entry.id());
        // The first copy to start wins: one that still waits costs no work yet.
        a.request.attempts.stream().filter(other -> other.startedAt < 0).forEach(this::cancelAttempt);
    }

    @Override public void attemptProgressed(long time, long job, int attempt) {
        now = time;
        Attempt a = findAttempt(job, attempt);
        if (a != null) a.lastProgressAt = now;
    }

    @Override public void responseStreaming(long time, long job, int attempt) {
        now = time;
        Attempt a = findAttempt(job, attempt);
        if (a != null) a.request.streaming = true;
    }

    @Override public void attemptEnded(long time, long job, int attempt, long worker, Outcome outcome,
            boolean settled, LoadReport report) {
        now = time;
        Attempt a = findAttempt(job, attempt);
        // Guards against a worker set aside for all when it has room, no queue, and turns one tenant away.
        boolean room = a != null && outcome == Outcome.REJECTED && report != null
            && report.queued < MIN_TIE_SLOTS && report.freeSlots > a.request.details.slots() + MIN_TIE_SLOTS;
        if (room) a.backend.ejectedUntilByTenant.put(a.request.details.tenantIndex(), now + 4 * FIRST_EJECTION_MICROS);
        if (a != null && a.outcome == null) recordOutcome(a, outcome, room);
        applyReport(backends.get(worker), report);
        closeConnectionsUnlessReady(backends.get(worker));
        if (a != null && (settled || a.request.finished)) finish(a.request);
        else if (a != null && outcome == Outcome.UNFIT && unfitCount(a.request) > 1) refuseOrFail(a.request);
        else if (a != null && !a.request.streaming && outstandingCount(a.request) == 0) startPlacement(a.request);
        sendHeldRequests();
    }

    @Override public void probeEnded(long time, long worker, boolean answered, LoadReport report) {
        now = time;
        BackendStatus w = backends.get(worker);
        if (w == null) return;
        applyReport(w, answered ? report : null);
        zones.probeEnded(now, worker, answered, w.peakFreeSlots);
        w.requestsAwaitingReport.forEach(r -> reportsArrived(r, 1));
        w.requestsAwaitingReport.clear();
        closeConnectionsUnlessReady(w);
    }

    @Override public void clientDisconnected(long time, long job) {
        now = time;
        if (openRequests.containsKey(job)) finish(openRequests.get(job));
    }

    @Override public void timerFired(long time, int token) {
        now = time;
        Objects.requireNonNullElse(timerTasks.remove(token), () -> { }).run();
    }

    private double[][] statisticsArrays() {
        return new double[][] {meanFreeSlotsByKind, meanSlotsByKind, logRunFactorByKind, meanRunByClass, runCountByClass, runPerHintByClass, maxRemainingByClass};
    }

    @Override public LearnedState exportLearnedState() {
        DoubleStream learnt = Arrays.stream(statisticsArrays()).flatMapToDouble(Arrays::stream);
        return new LearnedState(DoubleStream.concat(DoubleStream.of(meanRunMicros, trafficShare), learnt).toArray(),
            sentWork.sendsSince(now - s.overloadWindowMicros).stream().filter(p -> isCold(backends.get(p.backendId()))).toList());
    }

    @Override public void importLearnedState(LearnedState left) {
        if (left.statistics().length != exportLearnedState().statistics().length) return;
        int at = 2;
        for (double[] of : statisticsArrays()) for (int i = 0; i < of.length; i++) of[i] = left.statistics()[at++];
        meanRunMicros = left.statistics()[0];
        trafficShare = left.statistics()[1];
        if (left.recentSends() != null) left.recentSends().forEach(p -> sentWork.record(p, false));
        processStartedAt -= left.recentSends() == null ? 0 : s.overloadWindowMicros;     // what was pushed before is known
    }

    @Override public void answerBeforeExit(long time, long job) {
        now = time;
        if (openRequests.containsKey(job) && !openRequests.get(job).finished) refuseOrFail(openRequests.get(job));
    }

    @Override public boolean isAvoided(long worker) {
        BackendStatus w = backends.get(worker);
        return w == null || w.state != BackendState.READY || w.unresponsive || isEjected(w);
    }

    private void schedule(long delay, Runnable what) {
        timerTasks.put(nextTimerToken, what);
        act.startTimer(Math.max(delay, s.timerGranularityMicros), nextTimerToken++);
    }

    private void runRound() {
        schedule(ROUND_MICROS, this::runRound);  // first: an exception below ends no later round
        double used = IntStream.range(0, s.kindCount).mapToDouble(k -> readyByKind[k] * (meanSlotsByKind[k] - meanFreeSlotsByKind[k]))
            .sum();
        // Our part of traffic and quotas, by the work that comes; overload says nothing of it.
        if (heldRequests.isEmpty() && used >= 1 && meanRunMicros > 0) trafficShare += SAMPLE_WEIGHT / 5 * (arrivedWork / ROUND_MICROS / used - trafficShare);
        arrivedWork = 0;
        double allowed = backends.values().stream().filter(this::isCold).mapToDouble(this::coldBudget).sum();
        sentWork.expire(now - s.overloadWindowMicros, allowed / s.dispatcherCount * ROUND_MICROS / s.overloadWindowMicros, SAMPLE_WEIGHT / 5);
        zones.runPeriodicCheck(now).forEach(id -> { if (s.mayProbe) act.probe(id); });
        for (String line = zones.pollLogLine(); line != null; line = zones.pollLogLine()) act.log(line);
        trustedIdleMicros = Math.min(s.idleTimeoutMicros, trustedIdleMicros + trustedIdleMicros / 100 + 1);
        heldRequests.removeIf(this::finishIfHopeless);
        Arrays.setAll(creditByTenant, t -> Math.min(creditByTenant[t] + ownQuotaPerSecond(t) * ROUND_MICROS / 1e6,
            Math.max(QUOTA_BURST_REQUESTS, ownQuotaPerSecond(t) * QUOTA_BURST_SECONDS)));
        heldRequests.sort((a, b) -> worthRate(a) != worthRate(b) ? Double.compare(worthRate(b), worthRate(a))
            : Long.compare(b.latestStart, a.latestStart));
        sendHeldRequests();
    }

    // ---- Placement: two aligned groups of the sorted ids, the lower total, its least-loaded worker

    /** The mechanism; suspects and workers tried before come in only when nobody else is left. */
    private Candidate chooseBackend(OpenRequest r, boolean copy) {
        for (int leniency = 0; leniency <= (copy ? 0 : 2); leniency++) {
            Candidate one = findCandidate(r, (int) r.randomDraw, null, leniency);
            Candidate two = one == null ? null : findCandidate(r, (int) (r.randomDraw >> 32), one, leniency);
            boolean even = two != null && Math.abs(one.groupLoad - two.groupLoad)
                < Math.max(GROUP_TIE_SLOTS, GROUP_SIZE * (tie(one.backend) - MIN_TIE_SLOTS));
            boolean first = two == null || (even ? isPreferred(one.backend, two.backend) : one.groupLoad <= two.groupLoad);
            if (one != null) return first ? one : two;
        }
        return null;
    }

    /** A group drawn at random, or the next one round that holds a worker for this job; weighed. */
    private Candidate findCandidate(OpenRequest r, int start, Candidate not, int leniency) {
        if (groupsByClassAndTier.isEmpty()) buildGroups();
        List<List<BackendStatus>> groups = groupsByClassAndTier.get(r.details.classIndex() * zones.tierCount() + r.tier);
        for (int i = 0; i < groups.size(); i++) {
            List<BackendStatus> group = groups.get(Math.floorMod(start + i, groups.size()));
            Candidate drawn = not != null && group == not.group ? null : evaluateGroup(group, r, leniency);
            if (drawn != null) return drawn;
        }
        return null;
    }

    /** Its summed load, scaled to full where it is short or partly resting, and its least-loaded worker. */
    private Candidate evaluateGroup(List<BackendStatus> group, OpenRequest r, int leniency) {
        boolean repeatable = r.requestClass.effect() == Effect.REPEATABLE;
        BackendStatus lightest = null;
        double sum = 0, least = 0, counted = 0;
        for (BackendStatus w : group) {
            if (!isEligible(w, r, leniency) || leniency == COLD_ONLY && !isCold(w)) continue;
            if (checkUnresponsive(w, r) && leniency < 1 || leniency == COLD_ONLY && !hasFreeSlot(w, r)) continue;
            double load = estimatedLoad(w);
            if (!zones.admits(now, r.details, repeatable, r.attempts.size(), w.entry, load, r.tier)) continue;
            sum += load;
            counted++;
            if (lightest == null || (Math.abs(load - least) < tie(w) ? isPreferred(w, lightest) : load < least)) {
                lightest = w;
                least = load;
            }
        }
        return lightest == null ? null : new Candidate(group, sum * GROUP_SIZE / counted, lightest);
    }

    /** Among equal loads: connected, own zone, newer report, faster kind, chance; at the left all meet. */
    private boolean isPreferred(BackendStatus w, BackendStatus other) {
        double faster = logRunFactorByKind[other.entry.kind()] - logRunFactorByKind[w.entry.kind()];
        if (hasIdleConnection(w) != hasIdleConnection(other)) return hasIdleConnection(w);
        if (w.entry.zone() == s.ownZone != (other.entry.zone() == s.ownZone)) return w.entry.zone() == s.ownZone;
        // Guards against knowing all workers badly: where answers alone tell, a few are used and known well.
        boolean heard = prefersKnownBackends && Math.min(w.reportedAt, other.reportedAt) >= 0;
        if (heard && w.reportedAt != other.reportedAt) return w.reportedAt > other.reportedAt;
        return faster == 0 ? random.nextBoolean() : faster > 0;
    }

    /** Loads tie more widely the more dispatchers push unseen, and the older a report not asked for. */
    private double tie(BackendStatus w) {
        return MIN_TIE_SLOTS + (tie - MIN_TIE_SLOTS) * (1 - usualLoadWeight(w));
    }

    /** How much what a worker usually has free still counts; in the end it is taken for one of its kind. */
    private double usualLoadWeight(BackendStatus w) {
        return !prefersKnownBackends ? 0 : Math.exp((w.reportedAt - now) / Math.max(1, USUAL_LOAD_DECAY_RUNS * meanRunMicros));
    }

    /** Whether a connection of ours is likely to stand idle there: a new one costs time and work. */
    private boolean hasIdleConnection(BackendStatus w) {
        return w.attempts.isEmpty() && now - w.lastResponseAt < trustedIdleMicros;
    }

    /** Minus the free slots last reported plus the slots pushed since. */
    private double estimatedLoad(BackendStatus w) {
        double own = 0, since = 0, faded = reportStaleness(w);
        for (Attempt a : w.attempts) {
            own += a.request.details.slots();
            since += a.sentAt > w.reportedAt - REPORT_LAG_MICROS ? a.request.details.slots() : 0;
        }
        // Guards against slow or crowded workers taken for their kind's mean as soon as a report's jobs end.
        double usual = meanFreeSlotsByKind[w.entry.kind()] + usualLoadWeight(w) * (w.usualFreeSlots - meanFreeSlotsByKind[w.entry.kind()]);
        return (1 - faded) * (since - w.freeSlots) + faded * (own - usual);
    }

    /** Guards against a worker that once reported full and is never used again: reports fade as jobs end. */
    private double reportStaleness(BackendStatus w) {
        return 1 - Math.exp((w.reportedAt - now - REPORT_LAG_MICROS) / Math.max(meanRunMicros / 2, REPORT_LAG_MICROS));
    }

    private boolean hasFreeSlot(BackendStatus w, OpenRequest r) {
        return estimatedLoad(w) + r.details.slots() <= MIN_TIE_SLOTS;
    }

    /** A worker that was never heard of is taken for one of its kind. */
    private double estimatedSlots(BackendStatus w) {
        return w.peakFreeSlots < 1 ? meanSlotsByKind[w.entry.kind()] : w.peakFreeSlots;
    }

    private boolean isEjected(BackendStatus w) {
        return w.suspect && (now < w.ejectedUntil || !w.attempts.isEmpty());
    }

    private boolean isEligible(BackendStatus w, OpenRequest r, int leniency) {
        boolean resting = isEjected(w) || now < w.ejectedUntilByTenant.getOrDefault(r.details.tenantIndex(), 0L);
        if (w.state != BackendState.READY || resting && leniency < 1) return false;
        for (Attempt a : r.attempts) {
            // Rule 2: a keyed job that may have run stays with the workers that drop its repeats.
            boolean near = w.entry.zone() == a.backend.entry.zone()
                && (r.requestClass.dedupScope() == DedupScope.ZONE || w.entry.cell() == a.backend.entry.cell());
            boolean astray = r.requestClass.effect() == Effect.BY_KEY && r.requestClass.dedupScope() != DedupScope.ALL && !near;
            if (astray && mayHaveRun(a) || a.backend == w && (a.outcome == null || leniency < 2)) return false;
        }
        return !isCold(w) || now - processStartedAt >= s.overloadWindowMicros && isWithinColdBudget(w, r);
    }

    /** Asks it for a report if the last one is old; whether it has left the last question unanswered. */
    private boolean checkUnresponsive(BackendStatus w, OpenRequest r) {
        if (!probesForReports) return false;
        w.unresponsive |= w.probedAt > w.reportedAt && now - w.probedAt >= reportWaitMicros;
        if (now - Math.max(w.reportedAt, w.probedAt) > Math.max(meanRunMicros, ROUND_MICROS)) {
            w.probedAt = now;
            act.probe(w.entry.id());
        }
        if (r.awaitedReports > 0 && !w.unresponsive && w.probedAt > w.reportedAt && w.requestsAwaitingReport.add(r)) r.awaitedReports++;
        return w.unresponsive;
    }

    // ---- Attempts

    /** Sends a job with nothing out; or holds it while nobody may take it, sheds it, or ends it. */
    private void startPlacement(OpenRequest r) {
        r.randomDraw = random.nextLong();
        r.awaitedReports = 1;
        while (r.tier + 1 < zones.tierCount() && !isTierOpen(r)) r.tier++;
        // Guards against turns at cold workers of which nothing is known, as they are drawn seldom.
        boolean look = probesForReports && !cannotSucceed(r) && (chooseBackend(r, false) == null || now < allWarmAt);
        if (look) findCandidate(r, (int) r.randomDraw, null, COLD_ONLY);
        if (r.awaitedReports > 1) schedule((long) reportWaitMicros, () -> reportsArrived(r, r.awaitedReports));
        reportsArrived(r, 1);
    }

    /** Guards against old reports: a job waits a moment for the drawn workers that are being asked. */
    private void reportsArrived(OpenRequest r, int answers) {
        if (r.awaitedReports == 0) return;
        r.awaitedReports = Math.max(0, r.awaitedReports - answers);
        if (r.awaitedReports == 0 && !r.finished && !trySend(r) && !finishIfHopeless(r)) heldRequests.add(r);
    }

    private boolean cannotSucceed(OpenRequest r) {
        double least = s.timerGranularityMicros + Math.max(ROUND_MICROS, r.attempts.isEmpty() ? 0 : expectedRunMicros(r));
        // Guards against repeats refused where a dispatcher died: what ran so long is long, with more slack.
        boolean due = !probesForReports || !r.clientRetry || !r.attempts.isEmpty();
        return r.deadline - now <= least || !mayRetry(r) || due && now > r.latestStart && r.requestClass.lateWorthShare() == 0;
    }

    private boolean finishIfHopeless(OpenRequest r) {
        return r.finished || (cannotSucceed(r) || isLate(r)) && refuseOrFail(r);
    }

    private boolean isLate(OpenRequest r) {
        return r.attempts.isEmpty() && now > r.latestStart;
    }

    /** Tier by tier: one is looked through only where those before it have nobody who may take the job. */
    private boolean trySend(OpenRequest r) {
        boolean some = false;
        // Guards against a lost zone's suspects tried one after another while the next tier is well.
        for (int pass = zones.tierCount() > 1 ? 0 : 1; pass < 2; pass++) {
            for (r.tier = 0; r.tier < zones.tierCount() && !cannotSucceed(r); r.tier++) {
                Candidate drawn = isTierOpen(r) ? chooseBackend(r, pass == 0) : null;
                some |= drawn != null;
                // Guards against turns at cold workers that pass unused while jobs queue elsewhere.
                boolean seeks = drawn != null && now < allWarmAt && !isLate(r) && !hasFreeSlot(drawn.backend, r);
                if (seeks) drawn = Objects.requireNonNullElse(findCandidate(r, (int) r.randomDraw, null, COLD_ONLY), drawn);
                if (drawn != null && mayQueueAt(r, drawn)) {
                    sendAttempt(r, drawn.backend);
                    return true;
                }
            }
        }
        r.tier = 0;
        r.randomDraw = random.nextLong();
        // A job beyond what other zones may be burdened with is told so at once, and not held.
        return !some && zones.refusesUnplaced(now, r.details) && refuseOrFail(r);
    }

    private boolean isTierOpen(OpenRequest r) {
        return zones.isTierOpen(now, r.details, r.requestClass.effect() == Effect.REPEATABLE, r.tier);
    }

    /** Tries the first few held jobs (most worth, then most slack, as of the last round) while any goes. */
    private void sendHeldRequests() {
        while (heldRequests.subList(0, Math.min(heldRequests.size(), HELD_REQUESTS_PER_PASS)).removeIf(r -> finishIfHopeless(r) || trySend(r))) continue;
    }

    private void sendAttempt(OpenRequest r, BackendStatus w) {
        Attempt a = new Attempt();
        a.request = r;
        a.backend = w;
        a.sentAt = now;
        outstandingSlots += r.details.slots();
        r.attempts.add(a);
        a.connectionIdleMicros = w.attempts.isEmpty() ? now - w.lastResponseAt : 0;
        // Guards against a start taken for late while its connection comes up; known queues may take longer.
        a.startTimeoutMicros = Math.max(r.requestClass.targetMicros() / (probesForReports ? 2 : 2 * WAIT_DIVISOR), hasIdleConnection(w) ? 0 : s.connectTimeoutMicros);
        // Guards against idle connections dropped unseen: one as old as those that were is closed, not used.
        if (a.connectionIdleMicros > trustedIdleMicros && a.connectionIdleMicros < s.idleTimeoutMicros) act.closeIdleConnections(w.entry.id());
        if (a.connectionIdleMicros > trustedIdleMicros) a.connectionIdleMicros = 0;
        a.hadFreeSlot = hasFreeSlot(w, r);
        w.attempts.add(a);
        sentWork.record(new SentWork(w.entry.id(), now, expectedSlotMicros(w, r)), isCold(w));
        double work = Math.max(meanRunMicros / 4, expectedRunMicros(r)) * r.details.slots() / 1e6;
        zones.attemptSent(now, r.details, r.attempts.size() - 1, w.entry, work);
        act.send(r.details.id(), w.entry.id());
        if (s.mayCancel && !r.requestClass.streamed()) schedule(a.startTimeoutMicros, () -> checkAttempt(a));
    }

    /** Half an aim without a start, or two progress notes missed: a copy goes where it starts at once. */
    private void checkAttempt(Attempt a) {
        OpenRequest r = a.request;  // what has not begun yet is not silent: its copies would run for nobody
        if (a.outcome != null || r.finished) return;
        boolean waits = s.backendsReportStart && r.attempts.stream().allMatch(other -> other.startedAt < 0);
        // Guards against a backlog seen where idle connections swallow jobs: there was room, nothing started.
        boolean swallowed = probesForReports && waits && a.hadFreeSlot && a.connectionIdleMicros > 0;
        if (swallowed && ++suspectedDeadConnections > 1) trustedIdleMicros = Math.min(trustedIdleMicros, a.connectionIdleMicros / 2);
        if (waits && !swallowed) setStalled(r, true);
        if (waits && a.hadFreeSlot) zones.startOverdue(now, a.backend.entry.id());
        // Guards against queues full of late jobs: they make room, if an even chance of one in time gains.
        boolean gain = r.requestClass.effect() == Effect.REPEATABLE && r.requestClass.lateWorthShare() < 1.0 / 3;
        if (waits && gain && now > r.latestStart && refuseOrFail(r)) return;
        boolean silent = a.lastProgressAt > 0 && s.progressIntervalMicros > 0 && now - a.lastProgressAt > 5 * s.progressIntervalMicros / 2;
        boolean stuck = !s.backendsReportStart ? now - a.sentAt > 3 * expectedRunMicros(r) : a.startedAt < 0 || silent;
        boolean room = backlogRuns() < 1 && outstandingCount(r) < (probesForReports ? 2 : 3) && r.deadline - now > expectedRunMicros(r);
        if (stuck && room && s.mayHedge && mayRetry(r)) {
            r.randomDraw = random.nextLong();
            Candidate d = chooseBackend(r, true);
            boolean less = s.reportMode == ReportMode.NEVER && d != null && estimatedLoad(d.backend) < estimatedLoad(a.backend);
            // Guards against copies that queue, or run for nobody: answers alone tell too late who is free.
            if (d != null && (silent || (probesForReports ? hasFreeSlot(d.backend, r) : less))) {
                sendAttempt(r, d.backend);
                return;
            }
        }
        schedule(a.startedAt < 0 ? a.startTimeoutMicros : Math.max(ROUND_MICROS, s.progressIntervalMicros), () -> checkAttempt(a));
    }

    /** Jobs that were pushed and do not start, against those that run, tell how long all queues are. */
    private void setStalled(OpenRequest r, boolean is) {
        stalledSlots += r.stalled == is ? 0 : is ? r.details.slots() : -r.details.slots();
        r.stalled = is;
    }

    private double backlogRuns() {
        return outstandingSlots < 1 ? 0 : (stalledSlots - Math.sqrt(stalledSlots)) / (runningSlots + 1);
    }

    private void cancelAttempt(Attempt a) {
        if (s.mayCancel && a.outcome == null) act.cancel(a.request.details.id(), a.request.attempts.indexOf(a));
    }

    private void recordOutcome(Attempt a, Outcome outcome, boolean room) {
        a.outcome = outcome;
        double ran = a.startedAt >= 0 ? (now - a.startedAt) * a.request.details.slots() / 1e6 : 0;
        zones.attemptEnded(now, a.request.details, a.request.attempts.indexOf(a), a.backend.entry, outcome, ran);
        outstandingSlots -= a.request.details.slots();
        runningSlots -= a.startedAt >= 0 ? a.request.details.slots() : 0;
        if (outcome == Outcome.TIMED_OUT) return;   // its slots count until the next report: see takeReport
        a.backend.attempts.remove(a);
        if (outcome == Outcome.REJECTED && !room) setStalled(a.request, !a.request.finished);
        // A connection that was lost at once, after standing idle, tells of idle ones and not of the worker.
        boolean stale = a.connectionIdleMicros > 0 && a.startedAt < 0 && now - a.sentAt < ROUND_MICROS;
        if (outcome.isResponse()) a.backend.lastResponseAt = now;
        if (outcome == Outcome.SERVED) learnRunTime(a);
        else if (outcome == Outcome.RESET && stale) trustedIdleMicros = Math.min(trustedIdleMicros, a.connectionIdleMicros / 2);
        else if (!room && !outcome.isLocal() && outcome != Outcome.UNFIT) eject(a.backend, outcome);
        // Guards against workers set aside for what a bad client sent: who serves it tells.
        if (outcome == Outcome.SERVED) a.request.attempts.stream().filter(x -> x.outcome == Outcome.UNFIT)
            .forEach(x -> eject(x.backend, Outcome.ERROR));
    }

    /** How many workers could not use it: two that agree are believed. */
    private static int unfitCount(OpenRequest r) {
        return (int) r.attempts.stream().filter(a -> a.outcome == Outcome.UNFIT).count();
    }

    /** Rule 2: whether a further attempt is allowed, connection and all; eligible() decides where to. */
    private boolean mayRetry(OpenRequest r) {
        long remembered = r.requestClass.effect() == Effect.REPEATABLE ? Long.MAX_VALUE
            : r.requestClass.effect() == Effect.BY_KEY ? r.requestClass.dedupWindowMicros() - 2 * s.timerGranularityMicros - s.connectTimeoutMicros : 0;
        return r.attempts.size() < s.maxAttempts
            && r.attempts.stream().noneMatch(a -> mayHaveRun(a) && now - a.sentAt >= remembered);
    }

    /** Guards against 'full' taken for proof where workers also turn away what they had begun. */
    private boolean mayHaveRun(Attempt a) {
        boolean begun = s.rejectedMayHaveRun && a.outcome == Outcome.REJECTED;
        return a.outcome == null || !a.outcome.neverRan() || begun;
    }

    private static int outstandingCount(OpenRequest r) {
        return (int) r.attempts.stream().filter(a -> a.outcome == null).count();
    }

    private Attempt findAttempt(long job, int attempt) {
        OpenRequest r = openRequests.get(job);
        return r == null || attempt >= r.attempts.size() ? null : r.attempts.get(attempt);
    }

    /** The last word: a refusal where rule 2 lets us call another try harmless, else a failure. */
    private boolean refuseOrFail(OpenRequest r) {
        boolean harmless = r.requestClass.effect() == Effect.REPEATABLE
            || r.requestClass.effect() == Effect.BY_KEY && r.requestClass.dedupScope() == DedupScope.ALL;
        // A refused client is told to come back once what now runs and waits has ended, not before.
        long comeBack = (long) Math.min(s.maxRetryAfterMicros, meanRunMicros * Math.max(1, backlogRuns()));
        boolean refused = unfitCount(r) == 0 && (harmless || r.attempts.stream().noneMatch(this::mayHaveRun));
        if (refused) act.refuse(r.details.id(), comeBack);
        else act.fail(r.details.id());
        finish(r);
        return true;
    }

    /** Rule 1: nothing more is sent for it; attempts still out are withdrawn. */
    private void finish(OpenRequest r) {
        r.finished = true;
        setStalled(r, false);
        r.attempts.forEach(this::cancelAttempt);
        if (outstandingCount(r) == 0) openRequests.remove(r.details.id());
    }

    // ---- Shedding

    /** It may queue for a part of its slack and of that of all who would wait behind it; else it is held. */
    private boolean mayQueueAt(OpenRequest r, Candidate drawn) {
        double own = worthRate(r), above = 0, pace = Math.exp(logRunFactorByKind[drawn.backend.entry.kind()]);
        double work = r.details.expectedWorkMicros() > 0 ? r.details.expectedWorkMicros() : expectedRunMicros(r);
        double slack = r.requestClass.targetMicros() + r.requestClass.targetStretch() * work - expectedRunMicros(r) * pace;
        for (int c = 0; c < runCountByClass.length; c++) {
            above += worthRate(c) > own ? 1.0 / runCountByClass.length : 0;
            if (c != r.details.classIndex()) slack = Math.min(slack, s.classes.get(c).slackMicros(classRunMicros(c)));
        }
        // Others push into the same queue unseen: the less a late answer earns, the more slack is left.
        // Guards against jobs held until their slack is spent that queue as if they had just come.
        double left = Math.max(r.latestStart - now, r.requestClass.lateWorthShare() * slack);
        double fraction = isLate(r) ? 0 : (1 - above) * (1 + r.requestClass.lateWorthShare()) / 2;
        return expectedQueueMicros(drawn.backend, r) * pace <= Math.max(0, Math.min(left, fraction * slack));
    }

    /** A class's worth for a second of a slot; one number for all where worth goes by work. */
    private double worthRate(int c) {
        return s.classes.get(c).worth() / (s.worthByWork ? 1 : Math.max(1, classRunMicros(c)));
    }

    private double worthRate(OpenRequest r) {
        double late = isLate(r) ? r.requestClass.lateWorthShare() : 1;
        return worthRate(r.details.classIndex()) * late * (r.overQuota ? s.overQuotaWorthShare : 1);
    }

    /** How long a job pushed there now may wait; a full worker's report hides who waits: one job more. */
    private long expectedQueueMicros(BackendStatus w, OpenRequest r) {
        boolean idle = !probesForReports && !r.overQuota && w.attempts.isEmpty() && now - w.reportedAt > meanRunMicros / 2;
        // Guards against work over a share that fills what nobody sees: it leaves a slot count's root free.
        double room = r.overQuota ? reportStaleness(w) * Math.sqrt(estimatedSlots(w)) : 0, load = estimatedLoad(w) + r.details.slots() + room;
        double queue = w.queuedRequests * Math.exp((w.reportedAt - now) / Math.max(1, meanRunMicros));
        double ahead = Math.max(queue, idle || load <= MIN_TIE_SLOTS ? 0 : load + (probesForReports ? 1 : 0));
        return (long) (meanRunMicros * Math.max(backlogRuns(), ahead / Math.max(1, estimatedSlots(w))));
    }

    /** A tenant has credit for our part of its quota; each first try takes one, whatever becomes of it. */
    private boolean exceedsQuota(int t, boolean firstTry) {
        if (t >= creditByTenant.length || ownQuotaPerSecond(t) <= 0) return t >= Math.max(1, creditByTenant.length);
        if (creditByTenant[t] < 1) return true;
        if (firstTry) creditByTenant[t]--;
        return false;
    }

    private double ownQuotaPerSecond(int tenant) {
        return s.tenants.get(tenant).quotaPerSecond() * Math.min(1, trafficShare);
    }

    // ---- Reports and health

    private void applyReport(BackendStatus w, LoadReport report) {
        if (w == null || report == null || Double.isNaN(report.freeSlots)) return;
        w.attempts.removeIf(a -> a.outcome != null);
        int k = w.entry.kind();
        boolean first = w.reportedAt < 0;
        w.reportedAt = now;
        // Guards against knowing no run where few jobs come: what workers tell counts until one has ended.
        boolean told = report.recentRunMicros > 0 && !isCold(w) && Arrays.stream(runCountByClass).sum() == 0;
        if (told) meanRunMicros += (meanRunMicros == 0 ? 1 : SAMPLE_WEIGHT) * (report.recentRunMicros - meanRunMicros);
        w.unresponsive = false;
        // Guards against busy workers taken for small ones: free slots alone show a part of them only.
        boolean full = report.freeSlots < MIN_TIE_SLOTS, counts = !full && !Double.isNaN(report.inFlight);
        if (counts) w.meanTotalSlots += (w.meanTotalSlots == 0 ? 1 : SAMPLE_WEIGHT) * (report.freeSlots + report.inFlight - w.meanTotalSlots);
        w.peakFreeSlots = Math.max(w.peakFreeSlots, report.freeSlots);
        // For choosing a queue counts in part: counted whole it made all stop and start together.
        double beyond = full && report.inFlight > w.peakFreeSlots ? report.inFlight - w.peakFreeSlots : 0;
        w.queuedRequests = Math.max(0, Double.isNaN(report.queued) ? beyond : report.queued);
        w.freeSlots = report.freeSlots - Math.min(w.queuedRequests, w.peakFreeSlots / 2);
        w.usualFreeSlots += (first ? 1 : 4 * SAMPLE_WEIGHT) * (w.freeSlots - w.usualFreeSlots);
        meanFreeSlotsByKind[k] += (meanSlotsByKind[k] == 0 ? 1 : SAMPLE_WEIGHT) * (w.freeSlots - meanFreeSlotsByKind[k]);
        meanSlotsByKind[k] += (meanSlotsByKind[k] == 0 ? 1 : SAMPLE_WEIGHT) * (Math.max(w.peakFreeSlots, w.meanTotalSlots) - meanSlotsByKind[k]);
    }

    private void clearSuspicion(BackendStatus w) {
        if (!w.suspect || now < w.ejectedUntil) return;
        w.suspect = false;
        logBackend(w, "is back in use");
    }

    /** A rest that ends in a trial; the next rest is longer while trials fail. */
    private void eject(BackendStatus w, Outcome why) {
        if (w.suspect && now < w.ejectedUntil) return;
        w.ejectionMicros = w.suspect ? Math.min(16 * FIRST_EJECTION_MICROS, 2 * w.ejectionMicros) : FIRST_EJECTION_MICROS;
        w.suspect = true;
        w.ejectedUntil = now + w.ejectionMicros;
        logBackend(w, "set aside: " + why);
    }

    private void learnRunTime(Attempt a) {
        clearSuspicion(a.backend);
        // Guards against knowing no run time at all where starts are not told: waits count with it there.
        long from = s.backendsReportStart ? a.startedAt : a.sentAt;
        if (from < 0) return;
        int c = a.request.details.classIndex(), k = a.backend.entry.kind();
        double run = now - from, usual = expectedRunMicros(a.request);
        if (usual > 0) logRunFactorByKind[k] += SAMPLE_WEIGHT * (Math.log(Math.max(1, run) / usual) - logRunFactorByKind[k]);
        double weight = Math.max(SAMPLE_WEIGHT, 1.0 / ++runCountByClass[c]);
        meanRunByClass[c] += weight * (run - meanRunByClass[c]);
        runPerHintByClass[c] += a.request.details.expectedWorkMicros() > 0 ? weight * (run / a.request.details.expectedWorkMicros() - runPerHintByClass[c]) : 0;
        meanRunMicros += meanRunMicros == 0 ? run : SAMPLE_WEIGHT * (run - meanRunMicros);
    }

    private double expectedRunMicros(OpenRequest r) {
        int c = r.details.classIndex();
        return r.details.expectedWorkMicros() > 0 ? r.details.expectedWorkMicros() * (runCountByClass[c] > 0 ? runPerHintByClass[c] : 1) : classRunMicros(c);
    }

    /** Guards against a class taken for no work until one of it has ended here: it counts as a mean job. */
    private double classRunMicros(int c) {
        return runCountByClass[c] > 0 ? meanRunByClass[c] : meanRunMicros;
    }

    // ---- Cold workers (rule 4): a budget of work over any window, split over the dispatchers

    private boolean isCold(BackendStatus w) {
        return w != null && zones.believedStartMicros(w.entry) > 0 && now - zones.believedStartMicros(w.entry) < s.warmUpMicros;
    }

    /** What a job takes there once it is warm: a kind that runs longer has less to give in the same slots. */
    private double expectedSlotMicros(BackendStatus w, OpenRequest r) {
        return expectedRunMicros(r) * Math.exp(logRunFactorByKind[w.entry.kind()]) * r.details.slots();
    }

    private boolean isWithinColdBudget(BackendStatus w, OpenRequest r) {
        double mean = Math.max(1, meanRunMicros * Math.exp(logRunFactorByKind[w.entry.kind()])), job = expectedSlotMicros(w, r) / mean;
        double half = coldBudget(w) / mean, sent = sentWork.slotMicrosSince(w.entry.id(), now - s.overloadWindowMicros, mean) / mean;
        long window = Math.max(0, now - zones.believedStartMicros(w.entry)) / Math.max(1, s.overloadWindowMicros);
        long rank = Math.floorMod(s.dispatcherIndex + Long.hashCode(w.entry.id()) - window, (long) s.dispatcherCount);
        double n = half / COLD_BUDGET_MARGIN, all = (sent * s.dispatcherCount + job * (1 + rank)) * sentWork.used(mean);
        boolean shared = job > 0 && all <= half && sent + job <= coldBudgetShare(n, rank, s.dispatcherCount);
        // Guards against a class that no share holds, or of unknown run: one by one of all, each 2nd window.
        return shared || rank + window % 2 == 0 && sent == 0 && job <= coldBudgetShare(n, LARGE_REQUEST_RANK, s.dispatcherCount);
    }

    /** Mean jobs from a rank in any window, or in one job ALONE: in all N + 2 root N + 2 (docs/fleet.md). */
    static double coldBudgetShare(double n, long rank, int dispatchers) {
        double all = n + 2 * Math.sqrt(n) + 2, one = Math.max(1, all / 4), even = (all - one) / dispatchers;
        double most = Math.min(MAX_SHARE_REQUESTS, one), least = Math.max(1.0 / MAX_SHARE_REQUESTS, even / COLD_SHARE_SPREAD);
        double first = (all - one) / (1 + Math.log(most / least));
        if (rank == LARGE_REQUEST_RANK || even >= most) return rank == LARGE_REQUEST_RANK ? one : even;
        return first < least * (1 + rank) ? 0 : Math.min(most, first / (1 + rank));
    }

    /** What all may send to a cold worker in one window: a part of the work that would push it over. */
    private double coldBudget(BackendStatus w) {
        double age = Math.max(0, now - zones.believedStartMicros(w.entry)), rest = (1 - s.coldCapacityShare) * age / s.warmUpMicros;
        return COLD_BUDGET_MARGIN * s.overloadMultiple * s.overloadWindowMicros * Math.max(1, estimatedSlots(w)) * (s.coldCapacityShare + rest);
    }

    // ---- The list

    private void applyList(ListUpdate update, List<Backend> list) {
        listCount++;
        for (Backend info : list) {
            BackendStatus w = backends.computeIfAbsent(info.id(), id -> new BackendStatus());
            if (!info.hasSameZoneAndKind(w.entry)) groupsByClassAndTier.clear();
            w.lastListNumber = listCount;
            updateState(w, info, info.state());
            allWarmAt = Math.max(allWarmAt, zones.believedStartMicros(info) + s.warmUpMicros);
        }
        if (update != ListUpdate.DELTA) backends.values().stream().filter(w -> w.lastListNumber != listCount)
            .forEach(w -> updateState(w, w.entry, BackendState.GONE));
        boolean left = goneBackends.removeIf(w -> now - w.stateChangedAt > GONE_RETENTION_MICROS && backends.remove(w.entry.id(), w));
        if (left) groupsByClassAndTier.clear();
    }

    /** Cuts the sorted ids that a class may run on into aligned groups; who left lately keeps the place. */
    private void buildGroups() {
        // Guards against a class sent where it may not run: no attempt of it is drawn from anywhere else.
        for (int i = 0; i < s.classes.size() * zones.tierCount(); i++) {
            int c = i / zones.tierCount(), tier = i % zones.tierCount();
            List<BackendStatus> pool = backends.values().stream().filter(w -> s.classes.get(c).mayRunOn(w.entry)
                && zones.tierOf(c, w.entry.zone()) == tier).toList();
            groupsByClassAndTier.add(IntStream.range(0, (pool.size() + GROUP_SIZE - 1) / GROUP_SIZE)
                .mapToObj(g -> pool.subList(g * GROUP_SIZE, Math.min((g + 1) * GROUP_SIZE, pool.size()))).toList());
        }
    }

    private void updateState(BackendStatus w, Backend info, BackendState state) {
        boolean leaves = w.state == BackendState.READY && state != w.state;
        if (w.state == BackendState.READY) readyByKind[w.entry.kind()]--;
        if (state == BackendState.READY) readyByKind[info.kind()]++;
        if (state != w.state) goneBackends.remove(w);
        if (state != w.state && state == BackendState.GONE) goneBackends.add(w);
        w.entry = info;
        w.stateChangedAt = w.state == state ? w.stateChangedAt : now;
        w.state = state;
        if (leaves) closeConnectionsUnlessReady(w);
    }

    /** Guards against connections kept to a worker that drains, that of a later outcome too. */
    private void closeConnectionsUnlessReady(BackendStatus w) {
        if (w == null || w.state == BackendState.READY) return;
        act.closeIdleConnections(w.entry.id());
        w.lastResponseAt = Long.MIN_VALUE / 4;
    }

    private void logBackend(BackendStatus w, String line) {
        if (loggedLines++ < MAX_LOG_LINES) act.log("worker " + Long.toHexString(w.entry.id()) + ' ' + line);
    }
}
