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
final class InProcessDispatcher implements Closeable {
    /** What is done on the event loop, while it does nothing else. */
    interface EventLoopTask {
        void run() throws Exception;
    }

    /** How many clients are served at once. */
    static final int MAX_CLIENTS = 20;

    final MultiThreadIoEventLoopGroup eventLoop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    final Clock clock = new Clock();
    final Metrics metrics = new Metrics(List.of("preview"));
    final Deadlines deadlines = new Deadlines(this::nowMicros, this::scheduleDeadlines, metrics);
    final Engine<ForwardedRequest> engine = new Engine<>(this::nowMicros, deadlines, metrics, 3);
    final HttpBackendClient backendClient;
    final Frontend frontend;
    /** What the module was told, in order. */
    final List<String> policyEvents = new ArrayList<>();
    private final BlockingQueue<Long> requestIds = new LinkedBlockingQueue<>();
    private final int port;
    private long stoppedAtMicros;
    private DispatchPolicy.Request lastRequest;
    /** Where the module sends each job at once; 0 where it holds them. */
    long sendToBackendId;
    /** Where it sends a job again that may go again; null where it does not. Called as soon as it is told. */
    Supplier<Long> retryBackendId;
    /** When it was told that a job is to end with this process. */
    final List<Long> exitAnswerTimesMicros = new ArrayList<>();
    /** Whether it refuses such a job; else the engine has to fail it. */
    boolean refusesBeforeExit = true;
    /** Called on the event loop behind each job that the module is told of. */
    Runnable onRequestReceived = () -> { };

    InProcessDispatcher() throws Exception {
        DispatchPolicy.Settings settings = new DispatchPolicy.Settings();
        settings.classes.add(new DispatchPolicy.RequestClass("preview", DispatchPolicy.Effect.REPEATABLE, DispatchPolicy.DedupScope.ALL, 4_000_000, 1,
            5_000_000, 0, 1, 0, -1, false));
        backendClient = new HttpBackendClient(eventLoop, deadlines, this::nowMicros, metrics, engine, 3_000_000, 15_000_000, 100, false);
        frontend = new Frontend(this::nowMicros, deadlines, metrics, engine, settings, () -> true, MAX_CLIENTS, 8, 1 << 24, null);
        engine.connect(new ScriptedPolicy(), backendClient, () -> policyEvents.add("watch"));
        port = ((InetSocketAddress) frontend.listen(eventLoop, new InetSocketAddress("127.0.0.1", 0)).sync().channel().localAddress())
            .getPort();
    }

    private void scheduleDeadlines(long at) {
        eventLoop.schedule(deadlines::runDue, Math.max(0, at - nowMicros()), TimeUnit.MICROSECONDS);
    }

    /** The time of all parts, in microseconds. */
    long nowMicros() {
        return stoppedAtMicros > 0 ? stoppedAtMicros : clock.nowMicros();
    }

    /** Stops the clock, so that nothing falls due, or has it go on; called on the event loop. */
    void setClockStopped(boolean stops) {
        stoppedAtMicros = stops ? clock.nowMicros() : 0;
    }

    Client client() throws IOException {
        return new Client(port);
    }

    /** The next job that the module was told of. */
    long awaitRequest() throws InterruptedException {
        Long job = requestIds.poll(FakeServer.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (job == null) {
            throw new AssertionError("no job came");
        }
        return job;
    }

    /** What the client of the last job had left when the module was told of it, in microseconds; called on the event loop. */
    long lastRemainingMicros() {
        return lastRequest.remainingMicros();
    }

    /** Whether one is there already that nobody has taken. */
    boolean hasRequest() {
        return !requestIds.isEmpty();
    }

    /** Takes a job in that no client brought; called on the event loop. */
    long submitWithoutClient() {
        ResponseListener nobody = new ResponseListener() {
            @Override public void onServed(byte[] result) { }

            @Override public void onRefused(long comeBack) { }

            @Override public void onFailed(boolean late) { }
        };
        String head = "POST /preview HTTP/1.1";
        String id = Client.nextRequestId();
        return engine.submit(nobody, new ForwardedRequest(id, head, "X-Request-ID: " + id + "\r\n", new byte[0], null), 0, 0, 1,
            clock.nowMicros() + 5_000_000, true);
    }

    /** How many connections to runners there are. */
    long backendConnections() throws Exception {
        return readGauge("backend_connections_open");
    }

    /** The same, told on the event loop. */
    long backendConnectionsOnEventLoop() {
        return gaugeValue("backend_connections_open");
    }

    /** A count, by now. */
    long counterValue(Metrics.Count of) throws Exception {
        long[] count = new long[1];
        runOnEventLoop(() -> count[0] = metrics.get(of));
        return count[0];
    }

    /** How many connections of clients there are. */
    long clientConnections() throws Exception {
        return readGauge("client_connections_open");
    }

    private long readGauge(String name) throws Exception {
        long[] level = new long[1];
        runOnEventLoop(() -> level[0] = gaugeValue(name));
        return level[0];
    }

    private long gaugeValue(String name) {
        return metrics.text().lines().filter(line -> line.startsWith("badgermux_" + name + ' '))
            .mapToLong(line -> Long.parseLong(line.substring(line.indexOf(' ') + 1))).findFirst().orElseThrow();
    }

    boolean hasPolicyEvent(String what) throws Exception {
        boolean[] is = new boolean[1];
        runOnEventLoop(() -> is[0] = policyEvents.contains(what));
        return is[0];
    }

    /** Does it on the event loop, and waits until it is done. */
    void runOnEventLoop(EventLoopTask what) throws Exception {
        eventLoop.submit(() -> {
            what.run();
            return null;
        }).get();
    }

    /** Does it so many tasks later, in the same round of the event loop; called on it. */
    void runAfterTasks(int count, EventLoopTask what) {
        eventLoop.next().execute(() -> {
            if (count > 1) {
                runAfterTasks(count - 1, what);
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
        eventLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Does what the test says. */
    private final class ScriptedPolicy implements DispatchPolicy {
        @Override public LearnedState exportLearnedState() {
            return new LearnedState(new double[0], List.of());
        }

        @Override public void importLearnedState(LearnedState left) { }

        @Override public void answerBeforeExit(long time, long job) {
            policyEvents.add("ending");
            exitAnswerTimesMicros.add(nowMicros());
            if (refusesBeforeExit) {
                engine.refuse(job, 0);
            }
        }

        @Override public boolean isAvoided(long worker) {
            return false;
        }

        @Override public void backendsListed(long time, ListUpdate update, List<Backend> workers) {
            policyEvents.add(update + " " + workers.size());
        }

        @Override public void requestReceived(long time, Request job) {
            lastRequest = job;
            if (sendToBackendId != 0) {
                engine.send(job.id(), sendToBackendId);
            }
            requestIds.add(job.id());
            onRequestReceived.run();
        }

        @Override public void attemptStarted(long time, long id, int attempt) { }

        @Override public void attemptProgressed(long time, long id, int attempt) { }

        @Override public void responseStreaming(long time, long id, int attempt) { }

        @Override public void attemptEnded(long time, long id, int attempt, long worker, Outcome outcome, boolean settled,
                LoadReport report) {
            policyEvents.add(outcome + (settled ? " settled" : ""));
            if (!settled && outcome == Outcome.MOOT) {
                engine.send(lastRequest.id(), sendToBackendId);
            } else if (!settled && outcome == Outcome.REJECTED && retryBackendId != null) {
                engine.send(id, retryBackendId.get());
            }
        }

        @Override public void probeEnded(long time, long worker, boolean answered, LoadReport report) { }

        @Override public void clientDisconnected(long time, long id) {
            policyEvents.add("gone");
        }

        @Override public void timerFired(long time, int token) { }
    }
}
