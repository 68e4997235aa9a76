package badgermux.capacity;

import badgermux.decide.DefaultDispatchPolicy;
import badgermux.decide.DispatchPolicy;
import badgermux.decide.DispatchPolicy.BackendState;
import badgermux.decide.DispatchPolicy.Effect;
import badgermux.decide.DispatchPolicy.ListUpdate;
import badgermux.decide.DispatchPolicy.Outcome;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Drives one decision policy with a list of backends on a simulated clock. A request arrives every 20 ms and runs for
 * 300 ms; probes are answered at once. The backends report free slots, so that each request is sent when it arrives.
 */
final class PolicyHarness implements DispatchPolicy.Actions {
    static final int ZONE_COUNT = 11;
    static final int KIND_COUNT = 2;
    private static final long RUN_MICROS = 300_000;
    private static final long ARRIVAL_INTERVAL_MICROS = 20_000;
    private static final long START_MICROS = 1L << 40;
    /** Free slots that every backend reports. */
    private static final int FREE_SLOTS = 4;

    private record PendingTimer(long firesAt, int token) { }

    private record SimulatedAttempt(long endsAt, long requestId, long backendId) { }

    private final PriorityQueue<PendingTimer> timers = new PriorityQueue<>(Comparator.comparingLong(PendingTimer::firesAt));
    private final ArrayDeque<Long> pendingProbes = new ArrayDeque<>();
    private final ArrayDeque<SimulatedAttempt> runningAttempts = new ArrayDeque<>();
    private final ArrayDeque<SimulatedAttempt> unstartedAttempts = new ArrayDeque<>();
    private final DispatchPolicy.LoadReport report = new DispatchPolicy.LoadReport();
    private final DefaultDispatchPolicy policy;
    private final List<DispatchPolicy.Backend> backends = new ArrayList<>();
    private final int classCount;
    private long nowMicros = START_MICROS;
    private long nextRequestId;
    private long probeCount;

    PolicyHarness(int backendCount, int classCount, int tenantCount) {
        this.classCount = classCount;
        report.freeSlots = FREE_SLOTS;
        for (int i = 0; i < backendCount; i++) {
            backends.add(createBackend(i, BackendState.READY));
        }
        policy = new DefaultDispatchPolicy(settings(classCount, tenantCount), 7, this);
        policy.backendsListed(nowMicros, ListUpdate.FULL, backends);
    }

    /** Settings like those of a deployment that probes its backends; without tenants there are no quotas. */
    static DispatchPolicy.Settings settings(int classCount, int tenantCount) {
        DispatchPolicy.Settings settings = new DispatchPolicy.Settings();
        settings.dispatcherCount = 14;
        settings.kindCount = KIND_COUNT;
        settings.mayProbe = true;
        settings.reportMode = DispatchPolicy.ReportMode.ON_PROBE;
        settings.mayCancel = true;
        settings.maxAttempts = 3;
        settings.backendsReportStart = true;
        settings.idleTimeoutMicros = 15_000_000;
        settings.coldCapacityShare = 0.15;
        settings.warmUpMicros = 23_000_000;
        settings.overloadMultiple = 3;
        settings.overloadWindowMicros = 2_000_000;
        for (int i = 0; i < classCount; i++) {
            settings.classes.add(new DispatchPolicy.RequestClass("class" + i, Effect.REPEATABLE, DispatchPolicy.DedupScope.ALL,
                600_000, 1.75, 10_000_000, 0, 1, 0, -1, false));
        }
        for (int i = 0; i < tenantCount; i++) {
            settings.tenants.add(new DispatchPolicy.Tenant("team" + i, 1000));
        }
        return settings;
    }

    /** Creates the backend of an index; the multiplication spreads its id over all 64 bits. */
    private static DispatchPolicy.Backend createBackend(int index, BackendState state) {
        return new DispatchPolicy.Backend(index * 0x9E3779B97F4A7C15L, index % ZONE_COUNT, index / ZONE_COUNT % KIND_COUNT,
            index / 4, state, 0);
    }

    /** Advances the clock to the next request: fires due timers, ends attempts that are done, submits it, answers probes. */
    void runRequest() {
        nowMicros += ARRIVAL_INTERVAL_MICROS;
        fireDueTimers();
        while (!runningAttempts.isEmpty() && runningAttempts.peek().endsAt <= nowMicros) {
            SimulatedAttempt done = runningAttempts.poll();
            policy.attemptEnded(nowMicros, done.requestId, 0, done.backendId, Outcome.SERVED, true, null);
            startSentAttempts();
        }
        policy.requestReceived(nowMicros, new DispatchPolicy.Request(nextRequestId, (int) (nextRequestId % classCount),
            0, 1, 0, 10_000_000));
        nextRequestId++;
        startSentAttempts();
        while (!pendingProbes.isEmpty()) {
            policy.probeEnded(nowMicros, pendingProbes.poll(), true, report);
            startSentAttempts();
        }
    }

    /** Reports a change of one backend in a delta: on even turns it drains, on odd turns it is ready again. */
    void changeOneBackend(int turn) {
        nowMicros += ARRIVAL_INTERVAL_MICROS;
        BackendState state = turn % 2 == 0 ? BackendState.DRAINING : BackendState.READY;
        policy.backendsListed(nowMicros, ListUpdate.DELTA, List.of(createBackend(turn / 2 % backends.size(), state)));
    }

    /** Reports the complete, unchanged list. */
    void resendFullList() {
        nowMicros += ARRIVAL_INTERVAL_MICROS;
        policy.backendsListed(nowMicros, ListUpdate.FULL, backends);
    }

    /** Removes all backends of zone 0, in one delta for each or in a single delta. */
    void removeZone(boolean oneByOne) {
        nowMicros += ARRIVAL_INTERVAL_MICROS;
        List<DispatchPolicy.Backend> gone = zoneBackends(BackendState.GONE);
        if (oneByOne) {
            gone.forEach(backend -> policy.backendsListed(nowMicros, ListUpdate.DELTA, List.of(backend)));
        } else {
            policy.backendsListed(nowMicros, ListUpdate.DELTA, gone);
        }
    }

    /** Lists all backends of zone 0 as ready again, in a single delta. */
    void restoreZone() {
        policy.backendsListed(nowMicros, ListUpdate.DELTA, zoneBackends(BackendState.READY));
    }

    private List<DispatchPolicy.Backend> zoneBackends(BackendState state) {
        List<DispatchPolicy.Backend> zone = new ArrayList<>();
        for (int i = 0; i < backends.size(); i += ZONE_COUNT) {
            zone.add(createBackend(i, state));
        }
        return zone;
    }

    /** Number of probes that the policy has asked for so far. */
    long probeCount() {
        return probeCount;
    }

    private void fireDueTimers() {
        while (!timers.isEmpty() && timers.peek().firesAt <= nowMicros) {
            policy.timerFired(nowMicros, timers.poll().token);
            startSentAttempts();
        }
    }

    /** Reports sent attempts as started. As in the engine, this follows the event in which they were sent. */
    private void startSentAttempts() {
        for (SimulatedAttempt next = unstartedAttempts.poll(); next != null; next = unstartedAttempts.poll()) {
            runningAttempts.add(next);
            policy.attemptStarted(nowMicros, next.requestId, 0);
        }
    }

    @Override public void send(long requestId, long backendId) {
        unstartedAttempts.add(new SimulatedAttempt(nowMicros + RUN_MICROS, requestId, backendId));
    }

    @Override public void startTimer(long delayMicros, int token) {
        timers.add(new PendingTimer(nowMicros + delayMicros, token));
    }

    @Override public void probe(long backendId) {
        probeCount++;
        pendingProbes.add(backendId);
    }

    @Override public void refuse(long requestId, long retryAfterMicros) { }

    @Override public void fail(long requestId) { }

    @Override public void cancel(long requestId, int attemptNumber) { }

    @Override public void closeIdleConnections(long backendId) { }

    @Override public void watchBackendList() { }

    @Override public void log(String line) { }
}
