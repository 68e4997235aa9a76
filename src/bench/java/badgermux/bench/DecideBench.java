package badgermux.bench;

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
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the time that the decision policy takes for a request, from its arrival to the end of its attempt with all probes
 * and timers in between, and for a delta of one backend, at several sizes of the list. A request arrives every 20 ms and
 * runs for 300 ms.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class DecideBench implements DispatchPolicy.Actions {
    private static final long RUN_MICROS = 300_000;
    private static final long ARRIVAL_INTERVAL_MICROS = 20_000;

    private record PendingTimer(long firesAt, int token) { }

    private record SimulatedAttempt(long endsAt, long requestId, long backendId) { }

    /** Number of listed backends. */
    @Param({"15", "60", "200", "1000"})
    public int runners;

    /** Which backends have free slots: all ({@code free}), none ({@code full}), or only the cold half ({@code cold}). */
    @Param({"free", "full", "cold"})
    public String fleet;

    private final PriorityQueue<PendingTimer> timers = new PriorityQueue<>(Comparator.comparingLong(PendingTimer::firesAt));
    private final ArrayDeque<Long> pendingProbes = new ArrayDeque<>();
    private final ArrayDeque<SimulatedAttempt> runningAttempts = new ArrayDeque<>();
    private final ArrayDeque<SimulatedAttempt> unstartedAttempts = new ArrayDeque<>();
    private final DispatchPolicy.LoadReport report = new DispatchPolicy.LoadReport();
    private DefaultDispatchPolicy policy;
    private List<DispatchPolicy.Backend> backends;
    private long nowMicros;
    private long nextRequestId;

    @Setup public void setUp() {
        DispatchPolicy.Settings settings = new DispatchPolicy.Settings();
        settings.dispatcherCount = 14;
        settings.mayProbe = true;
        settings.reportMode = DispatchPolicy.ReportMode.ON_PROBE;
        settings.mayCancel = true;
        settings.maxAttempts = 1;
        settings.backendsReportStart = true;
        settings.idleTimeoutMicros = 15_000_000;
        settings.coldCapacityShare = 0.15;
        settings.warmUpMicros = 1L << 39;
        settings.overloadMultiple = 3;
        settings.overloadWindowMicros = 2_000_000;
        settings.classes.add(new DispatchPolicy.RequestClass("preview", Effect.REPEATABLE, DispatchPolicy.DedupScope.ALL,
            600_000, 1.75, 10_000_000, 0, 1, 0, -1, false));
        nowMicros = 1L << 40;
        long coldStartedAtMicros = fleet.equals("cold") ? nowMicros : 0;
        backends = new ArrayList<>(IntStream.range(0, runners).mapToObj(i -> new DispatchPolicy.Backend(
            i * 0x9E3779B97F4A7C15L, i % 2, 0, i / 4, BackendState.READY, i % 2 == 0 ? 0 : coldStartedAtMicros)).toList());
        policy = new DefaultDispatchPolicy(settings, 7, this);
        policy.backendsListed(nowMicros, ListUpdate.FULL, backends);
    }

    /** Handles one request on the simulated clock, with all timers and attempts that are due. */
    @Benchmark public int job() {
        nowMicros += ARRIVAL_INTERVAL_MICROS;
        while (!timers.isEmpty() && timers.peek().firesAt <= nowMicros) {
            policy.timerFired(nowMicros, timers.poll().token);
            startSentAttempts();
        }
        while (!runningAttempts.isEmpty() && runningAttempts.peek().endsAt <= nowMicros) {
            SimulatedAttempt done = runningAttempts.poll();
            policy.attemptEnded(nowMicros, done.requestId, 0, done.backendId, Outcome.SERVED, true, null);
            startSentAttempts();
        }
        policy.requestReceived(nowMicros, new DispatchPolicy.Request(nextRequestId++, 0, 0, 1, 0, 10_000_000));
        startSentAttempts();
        while (!pendingProbes.isEmpty()) {
            long backendId = pendingProbes.poll();
            // Multiplying by the inverse of the factor in setUp, modulo 2^64, gives the index of the backend.
            boolean cold = backends.get((int) Long.remainderUnsigned(backendId * 0xF1DE83E19937733DL, runners))
                .startedAtMicros() > 0;
            report.freeSlots = fleet.equals("free") || cold ? 4 : 0;
            policy.probeEnded(nowMicros, backendId, true, report);
            startSentAttempts();
        }
        return runningAttempts.size();
    }

    /** Handles a delta that lists one backend again. */
    @Benchmark public int oneWorkersNews() {
        nowMicros += ARRIVAL_INTERVAL_MICROS;
        policy.backendsListed(nowMicros, ListUpdate.DELTA, List.of(backends.get(
            (int) (nowMicros / ARRIVAL_INTERVAL_MICROS % runners))));
        return runners;
    }

    @Override public void send(long requestId, long backendId) {
        unstartedAttempts.add(new SimulatedAttempt(nowMicros + RUN_MICROS, requestId, backendId));
    }

    /** Reports sent attempts as started. As in the engine, this follows the event in which they were sent. */
    private void startSentAttempts() {
        for (SimulatedAttempt next = unstartedAttempts.poll(); next != null; next = unstartedAttempts.poll()) {
            runningAttempts.add(next);
            policy.attemptStarted(nowMicros, next.requestId, 0);
        }
    }

    @Override public void startTimer(long delayMicros, int token) {
        timers.add(new PendingTimer(nowMicros + delayMicros, token));
    }

    @Override public void probe(long backendId) {
        pendingProbes.add(backendId);
    }

    @Override public void refuse(long requestId, long retryAfterMicros) { }

    @Override public void fail(long requestId) { }

    @Override public void cancel(long requestId, int attemptNumber) { }

    @Override public void closeIdleConnections(long backendId) { }

    @Override public void watchBackendList() { }

    @Override public void log(String line) { }
}
