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
    private static final long RUN = 300_000, GAP = 20_000;

    private record Due(long at, int token) { }

    private record Sent(long due, long job, long worker) { }

    /** How many workers are listed. */
    @Param({"15", "60", "200", "1000"})
    public int runners;

    /** {@code free}: all have free slots; {@code full}: none has; {@code cold}: none has but those of the half that is cold. */
    @Param({"free", "full", "cold"})
    public String fleet;

    private final PriorityQueue<Due> timers = new PriorityQueue<>(Comparator.comparingLong(Due::at));
    private final ArrayDeque<Long> probes = new ArrayDeque<>();
    private final ArrayDeque<Sent> out = new ArrayDeque<>();
    private final ArrayDeque<Sent> sent = new ArrayDeque<>();
    private final DispatchPolicy.LoadReport report = new DispatchPolicy.LoadReport();
    private DefaultDispatchPolicy module;
    private List<DispatchPolicy.Backend> workers;
    private long now;
    private long job;

    @Setup public void set() {
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
        now = 1L << 40;
        long cold = fleet.equals("cold") ? now : 0;
        workers = new ArrayList<>(IntStream.range(0, runners).mapToObj(i -> new DispatchPolicy.Backend(i * 0x9E3779B97F4A7C15L, i % 2,
            0, i / 4, BackendState.READY, i % 2 == 0 ? 0 : cold)).toList());
        module = new DefaultDispatchPolicy(s, 7, this);
        module.backendsListed(now, ListUpdate.FULL, workers);
    }

    @Benchmark public int job() {
        now += GAP;
        while (!timers.isEmpty() && timers.peek().at <= now) {
            module.timerFired(now, timers.poll().token);
            start();
        }
        while (!out.isEmpty() && out.peek().due <= now) {
            Sent done = out.poll();
            module.attemptEnded(now, done.job, 0, done.worker, Outcome.SERVED, true, null);
            start();
        }
        module.requestReceived(now, new DispatchPolicy.Request(job++, 0, 0, 1, 0, 10_000_000));
        start();
        while (!probes.isEmpty()) {
            long id = probes.poll();
            boolean cold = workers.get((int) Long.remainderUnsigned(id * 0xF1DE83E19937733DL, runners)).startedAtMicros() > 0;
            report.freeSlots = fleet.equals("free") || cold ? 4 : 0;
            module.probeEnded(now, id, true, report);
            start();
        }
        return out.size();
    }

    @Benchmark public int oneWorkersNews() {
        now += GAP;
        module.backendsListed(now, ListUpdate.DELTA, List.of(workers.get((int) (now / GAP % runners))));
        return runners;
    }

    @Override public void send(long id, long worker) {
        sent.add(new Sent(now + RUN, id, worker));
    }

    /** What was sent starts once the event that sent it has been dealt with, as in the engine. */
    private void start() {
        for (Sent next = sent.poll(); next != null; next = sent.poll()) {
            out.add(next);
            module.attemptStarted(now, next.job, 0);
        }
    }

    @Override public void startTimer(long delay, int token) {
        timers.add(new Due(now + delay, token));
    }

    @Override public void probe(long worker) {
        probes.add(worker);
    }

    @Override public void refuse(long id, long comeBack) { }

    @Override public void fail(long id) { }

    @Override public void cancel(long id, int attempt) { }

    @Override public void closeIdleConnections(long worker) { }

    @Override public void watchBackendList() { }

    @Override public void log(String line) { }
}
