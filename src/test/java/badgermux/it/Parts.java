package badgermux.it;

import badgermux.backend.HttpBackendClient;
import badgermux.core.ResponseListener;
import badgermux.core.Clock;
import badgermux.core.Deadlines;
import badgermux.core.Engine;
import badgermux.decide.DispatchPolicy;
import badgermux.front.Frontend;
import badgermux.http.ForwardedRequest;
import badgermux.metrics.Metrics;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * The parts around the module in this process, on real sockets and an event loop that a test can hold: what peers do
 * meanwhile lies in the system's buffers, so that each order of events can be had every time.
 */
final class Parts implements Closeable {
    /** What is done on the event loop, while it does nothing else. */
    interface Held {
        void run() throws Exception;
    }

    /** How many clients are served at once. */
    static final int MOST_CLIENTS = 20;

    final MultiThreadIoEventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    final Clock clock = new Clock();
    final Metrics metrics = new Metrics(List.of("preview"));
    final Deadlines deadlines = new Deadlines(this::now, this::alarm, metrics);
    final Engine<ForwardedRequest> engine = new Engine<>(this::now, deadlines, metrics, 3);
    final HttpBackendClient backends;
    final Frontend front;
    /** What the module was told, in order. */
    final List<String> told = new ArrayList<>();
    private final BlockingQueue<Long> jobs = new LinkedBlockingQueue<>();
    private final int port;
    private long stoppedAt;
    private DispatchPolicy.Request last;
    /** Where the module sends each job at once; 0 where it holds them. */
    long sendsTo;
    /** Where it sends a job again that may go again; null where it does not. Called as soon as it is told. */
    Supplier<Long> again;
    /** When it was told that a job is to end with this process. */
    final List<Long> endings = new ArrayList<>();
    /** Whether it refuses such a job; else the engine has to fail it. */
    boolean refusesAtTheEnd = true;
    /** Called on the event loop behind each job that the module is told of. */
    Runnable onJob = () -> { };

    Parts() throws Exception {
        DispatchPolicy.Settings settings = new DispatchPolicy.Settings();
        settings.classes.add(new DispatchPolicy.RequestClass("preview", DispatchPolicy.Effect.REPEATABLE, DispatchPolicy.DedupScope.ALL, 4_000_000, 1,
            5_000_000, 0, 1, 0, -1, false));
        backends = new HttpBackendClient(loop, deadlines, this::now, metrics, engine, 3_000_000, 15_000_000, 100, false);
        front = new Frontend(this::now, deadlines, metrics, engine, settings, () -> true, MOST_CLIENTS, 8, 1 << 24, null);
        engine.connect(new Module(), backends, () -> told.add("watch"));
        port = ((InetSocketAddress) front.listen(loop, new InetSocketAddress("127.0.0.1", 0)).sync().channel().localAddress())
            .getPort();
    }

    private void alarm(long at) {
        loop.schedule(deadlines::runDue, Math.max(0, at - now()), TimeUnit.MICROSECONDS);
    }

    /** The time of all parts, in microseconds. */
    long now() {
        return stoppedAt > 0 ? stoppedAt : clock.nowMicros();
    }

    /** Stops the clock, so that nothing falls due, or has it go on; called on the event loop. */
    void stopClock(boolean stops) {
        stoppedAt = stops ? clock.nowMicros() : 0;
    }

    Client client() throws IOException {
        return new Client(port);
    }

    /** The next job that the module was told of. */
    long job() throws InterruptedException {
        Long job = jobs.poll(Peer.PATIENCE_S, TimeUnit.SECONDS);
        if (job == null) {
            throw new AssertionError("no job came");
        }
        return job;
    }

    /** What the client of the last job had left when the module was told of it, in microseconds; called on the event loop. */
    long left() {
        return last.remainingMicros();
    }

    /** Whether one is there already that nobody has taken. */
    boolean hasJob() {
        return !jobs.isEmpty();
    }

    /** Takes a job in that no client brought; called on the event loop. */
    long take() {
        ResponseListener nobody = new ResponseListener() {
            @Override public void onServed(byte[] result) { }

            @Override public void onRefused(long comeBack) { }

            @Override public void onFailed(boolean late) { }
        };
        String head = "POST /preview HTTP/1.1";
        String id = Client.id();
        return engine.submit(nobody, new ForwardedRequest(id, head, "X-Request-ID: " + id + "\r\n", new byte[0], null), 0, 0, 1,
            clock.nowMicros() + 5_000_000, true);
    }

    /** How many connections to runners there are. */
    long open() throws Exception {
        return level("backend_connections_open");
    }

    /** The same, told on the event loop. */
    long openNow() {
        return figure("backend_connections_open");
    }

    /** A count, by now. */
    long count(Metrics.Count of) throws Exception {
        long[] count = new long[1];
        held(() -> count[0] = metrics.get(of));
        return count[0];
    }

    /** How many connections of clients there are. */
    long connections() throws Exception {
        return level("client_connections_open");
    }

    private long level(String name) throws Exception {
        long[] level = new long[1];
        held(() -> level[0] = figure(name));
        return level[0];
    }

    private long figure(String name) {
        return metrics.text().lines().filter(line -> line.startsWith("badgermux_" + name + ' '))
            .mapToLong(line -> Long.parseLong(line.substring(line.indexOf(' ') + 1))).findFirst().orElseThrow();
    }

    boolean toldOf(String what) throws Exception {
        boolean[] is = new boolean[1];
        held(() -> is[0] = told.contains(what));
        return is[0];
    }

    /** Does it on the event loop, and waits until it is done. */
    void held(Held what) throws Exception {
        loop.submit(() -> {
            what.run();
            return null;
        }).get();
    }

    /** Does it so many tasks later, in the same round of the event loop; called on it. */
    void afterTasks(int count, Held what) {
        loop.next().execute(() -> {
            if (count > 1) {
                afterTasks(count - 1, what);
                return;
            }
            try {
                what.run();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
    }

    @Override public void close() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Does what the test says. */
    private final class Module implements DispatchPolicy {
        @Override public LearnedState exportLearnedState() {
            return new LearnedState(new double[0], List.of());
        }

        @Override public void importLearnedState(LearnedState left) { }

        @Override public void answerBeforeExit(long time, long job) {
            told.add("ending");
            endings.add(now());
            if (refusesAtTheEnd) {
                engine.refuse(job, 0);
            }
        }

        @Override public boolean isAvoided(long worker) {
            return false;
        }

        @Override public void backendsListed(long time, ListUpdate update, List<Backend> workers) {
            told.add(update + " " + workers.size());
        }

        @Override public void requestReceived(long time, Request job) {
            last = job;
            if (sendsTo != 0) {
                engine.send(job.id(), sendsTo);
            }
            jobs.add(job.id());
            onJob.run();
        }

        @Override public void attemptStarted(long time, long id, int attempt) { }

        @Override public void attemptProgressed(long time, long id, int attempt) { }

        @Override public void responseStreaming(long time, long id, int attempt) { }

        @Override public void attemptEnded(long time, long id, int attempt, long worker, Outcome outcome, boolean settled,
                LoadReport report) {
            told.add(outcome + (settled ? " settled" : ""));
            if (!settled && outcome == Outcome.MOOT) {
                engine.send(last.id(), sendsTo);
            } else if (!settled && outcome == Outcome.REJECTED && again != null) {
                engine.send(id, again.get());
            }
        }

        @Override public void probeEnded(long time, long worker, boolean answered, LoadReport report) { }

        @Override public void clientDisconnected(long time, long id) {
            told.add("gone");
        }

        @Override public void timerFired(long time, int token) { }
    }
}
