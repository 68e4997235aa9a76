package badgermux.bench;

import badgermux.decide.DispatchPolicy;
import badgermux.decide.DispatchPolicy.Effect;
import badgermux.decide.DispatchPolicy.ListUpdate;
import badgermux.decide.DispatchPolicy.Outcome;
import badgermux.decide.DispatchPolicy.BackendState;
import badgermux.decide.DefaultDispatchPolicy;
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
 * What the module takes for a job, from its request to its outcome with all probes and timers in between, and for the news
 * of one worker, by the size of the list. A job comes each 20 ms and runs for 300 ms.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class DecideBench implements DispatchPolicy.Actions {
    private static final long RUN_MICROS = 300_000, ARRIVAL_INTERVAL_MICROS = 20_000;

    private record PendingTimer(long firesAt, int token) { }

    private record SimulatedAttempt(long endsAt, long requestId, long backendId) { }

    /** How many workers are listed. */
    @Param({"15", "60", "200", "1000"})
    public int runners;

    /** {@code free}: all have free slots; {@code full}: none has; {@code cold}: none has but those of the half that is cold. */
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
    private long job;

    @Setup public void setUp() {
        DispatchPolicy.Settings s = new DispatchPolicy.Settings();
        s.dispatcherCount = 14;
        s.mayProbe = true;
        s.reportMode = DispatchPolicy.ReportMode.ON_PROBE;
        s.mayCancel = true;
        s.maxAttempts = 1;
        s.backendsReportStart = true;
        s.idleTimeoutMicros = 15_000_000;
        s.coldCapacityShare = 0.15;
        s.warmUpMicros = 1L << 39;
        s.overloadMultiple = 3;
        s.overloadWindowMicros = 2_000_000;
        s.classes.add(new DispatchPolicy.RequestClass("preview", Effect.REPEATABLE, DispatchPolicy.DedupScope.ALL, 600_000, 1.75, 10_000_000, 0, 1,
            0, -1, false));
        nowMicros = 1L << 40;
        long cold = fleet.equals("cold") ? nowMicros : 0;
        backends = new ArrayList<>(IntStream.range(0, runners).mapToObj(i -> new DispatchPolicy.Backend(i * 0x9E3779B97F4A7C15L, i % 2,
            0, i / 4, BackendState.READY, i % 2 == 0 ? 0 : cold)).toList());
        policy = new DefaultDispatchPolicy(s, 7, this);
        policy.backendsListed(nowMicros, ListUpdate.FULL, backends);
    }

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
        policy.requestReceived(nowMicros, new DispatchPolicy.Request(job++, 0, 0, 1, 0, 10_000_000));
        startSentAttempts();
        while (!pendingProbes.isEmpty()) {
            long id = pendingProbes.poll();
            boolean cold = backends.get((int) Long.remainderUnsigned(id * 0xF1DE83E19937733DL, runners)).startedAtMicros() > 0;
            report.freeSlots = fleet.equals("free") || cold ? 4 : 0;
            policy.probeEnded(nowMicros, id, true, report);
            startSentAttempts();
        }
        return runningAttempts.size();
    }

    @Benchmark public int oneWorkersNews() {
        nowMicros += ARRIVAL_INTERVAL_MICROS;
        policy.backendsListed(nowMicros, ListUpdate.DELTA, List.of(backends.get((int) (nowMicros / ARRIVAL_INTERVAL_MICROS % runners))));
        return runners;
    }

    @Override public void send(long id, long worker) {
        unstartedAttempts.add(new SimulatedAttempt(nowMicros + RUN_MICROS, id, worker));
    }

    /** What was sent starts once the event that sent it has been dealt with, as in the engine. */
    private void startSentAttempts() {
        for (SimulatedAttempt next = unstartedAttempts.poll(); next != null; next = unstartedAttempts.poll()) {
            runningAttempts.add(next);
            policy.attemptStarted(nowMicros, next.requestId, 0);
        }
    }

    @Override public void startTimer(long delay, int token) {
        timers.add(new PendingTimer(nowMicros + delay, token));
    }

    @Override public void probe(long worker) {
        pendingProbes.add(worker);
    }

    @Override public void refuse(long id, long comeBack) { }

    @Override public void fail(long id) { }

    @Override public void cancel(long id, int attempt) { }

    @Override public void closeIdleConnections(long worker) { }

    @Override public void watchBackendList() { }

    @Override public void log(String line) { }
}
