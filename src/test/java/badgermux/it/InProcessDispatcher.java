package badgermux.it;

import badgermux.backend.HttpBackendClient;
import badgermux.core.Clock;
import badgermux.core.Deadlines;
import badgermux.core.Engine;
import badgermux.core.ResponseListener;
import badgermux.decide.DispatchPolicy;
import badgermux.front.Frontend;
import badgermux.front.RequestValidator;
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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * A dispatcher in the test's own process: the real engine, frontend and backend client with a policy that does what the test
 * sets and records its events. It uses real sockets and an event loop that a test can block. While it is blocked, what clients
 * and backends send stays in the kernel's buffers, which makes the order of events reproducible.
 */
final class InProcessDispatcher implements Closeable {
    /** A task on the event loop. */
    interface EventLoopTask {
        void run() throws Exception;
    }

    /** Limit of client connections that are served at once. */
    static final int MAX_CLIENTS = 20;

    final MultiThreadIoEventLoopGroup eventLoop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    final Clock clock = new Clock();
    final Metrics metrics = new Metrics(List.of("preview"));
    final Deadlines deadlines = new Deadlines(this::nowMicros, this::scheduleDeadlines, metrics);
    final Engine<ForwardedRequest> engine = new Engine<>(this::nowMicros, deadlines, metrics, 3);
    final HttpBackendClient backendClient;
    final Frontend frontend;
    /** The events given to the policy, in order; accessed on the event loop. */
    final List<String> policyEvents = new ArrayList<>();
    private final BlockingQueue<Long> requestIds = new LinkedBlockingQueue<>();
    private final int port;
    private long stoppedAtMicros;
    private DispatchPolicy.Request lastRequest;
    /** The backend to which the policy sends each request at once; 0 to hold the requests. */
    long sendToBackendId;
    /** Supplies the backend for the retry of a rejected attempt; called while the policy handles its end. Null for no retries. */
    Supplier<Long> retryBackendId;
    /** The times at which the policy was asked for a final answer before the process exits. */
    final List<Long> exitAnswerTimesMicros = new ArrayList<>();
    /** Whether the policy refuses a request when asked for its answer before the exit; if not, the engine has to fail it. */
    boolean refusesBeforeExit = true;
    /** Called on the event loop after each request that the policy receives. */
    Runnable onRequestReceived = () -> { };

    InProcessDispatcher() throws Exception {
        this(null);
    }

    /** Creates a dispatcher whose requests are validated; null for no validation. */
    InProcessDispatcher(RequestValidator requestValidator) throws Exception {
        DispatchPolicy.Settings settings = new DispatchPolicy.Settings();
        settings.classes.add(new DispatchPolicy.RequestClass("preview", DispatchPolicy.Effect.REPEATABLE,
            DispatchPolicy.DedupScope.ALL, 4_000_000, 1, 5_000_000, 0, 1, 0, -1, false));
        backendClient = new HttpBackendClient(eventLoop, deadlines, this::nowMicros, metrics, engine, 3_000_000, 15_000_000, 100,
            false);
        frontend = new Frontend(this::nowMicros, deadlines, metrics, engine, settings, () -> true, MAX_CLIENTS, 8, 1 << 24,
            requestValidator);
        engine.connect(new ScriptedPolicy(), backendClient, () -> policyEvents.add("watch"));
        port = ((InetSocketAddress) frontend.listen(eventLoop, new InetSocketAddress("127.0.0.1", 0)).sync().channel()
            .localAddress()).getPort();
    }

    private void scheduleDeadlines(long timeMicros) {
        eventLoop.schedule(deadlines::runDue, Math.max(0, timeMicros - nowMicros()), TimeUnit.MICROSECONDS);
    }

    /** Returns the time that all components use. */
    long nowMicros() {
        return stoppedAtMicros > 0 ? stoppedAtMicros : clock.nowMicros();
    }

    /** Stops the clock, which keeps deadlines from expiring, or lets it run again; called on the event loop. */
    void setClockStopped(boolean stopped) {
        stoppedAtMicros = stopped ? clock.nowMicros() : 0;
    }

    /** Connects as a client. */
    Client client() throws IOException {
        return new Client(port);
    }

    /** Waits for the next request that the policy receives and returns its id. */
    long awaitRequest() throws InterruptedException {
        Long id = requestIds.poll(FakeServer.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (id == null) {
            throw new AssertionError("no request received in time");
        }
        return id;
    }

    /** Returns the id of the last request that the policy received; called on the event loop. */
    long lastRequestId() {
        return lastRequest.id();
    }

    /** Returns the time that the last request had left when the policy received it; called on the event loop. */
    long lastRemainingMicros() {
        return lastRequest.remainingMicros();
    }

    /** Whether the policy has received a request that {@link #awaitRequest} has not returned. */
    boolean hasRequest() {
        return !requestIds.isEmpty();
    }

    /** Submits a request without a client connection and returns its id; called on the event loop. */
    long submitWithoutClient() {
        ResponseListener ignoringListener = new ResponseListener() {
            @Override public void onServed(byte[] result) { }

            @Override public void onRefused(long retryAfterMicros) { }

            @Override public void onFailed(boolean timedOut) { }
        };
        String head = "POST /preview HTTP/1.1";
        String id = Client.nextRequestId();
        return engine.submit(ignoringListener, new ForwardedRequest(id, head, "X-Request-ID: " + id + "\r\n", new byte[0], null),
            0, 0, 1, clock.nowMicros() + 5_000_000, true);
    }

    /** Returns the number of open connections to backends, read on the event loop; called on another thread. */
    long backendConnections() throws Exception {
        return readGauge("backend_connections_open");
    }

    /** Returns the number of open connections to backends; called on the event loop. */
    long backendConnectionsOnEventLoop() {
        return gaugeValue("backend_connections_open");
    }

    /** Returns the value of a counter, read on the event loop. */
    long counterValue(Metrics.Count counter) throws Exception {
        long[] value = new long[1];
        runOnEventLoop(() -> value[0] = metrics.get(counter));
        return value[0];
    }

    /** Returns the number of open connections of clients, read on the event loop. */
    long clientConnections() throws Exception {
        return readGauge("client_connections_open");
    }

    private long readGauge(String name) throws Exception {
        long[] value = new long[1];
        runOnEventLoop(() -> value[0] = gaugeValue(name));
        return value[0];
    }

    private long gaugeValue(String name) {
        return metrics.text().lines().filter(line -> line.startsWith("badgermux_" + name + ' '))
            .mapToLong(line -> Long.parseLong(line.substring(line.indexOf(' ') + 1))).findFirst().orElseThrow();
    }

    /** Whether the policy has been given this event. */
    boolean hasPolicyEvent(String event) throws Exception {
        boolean[] contained = new boolean[1];
        runOnEventLoop(() -> contained[0] = policyEvents.contains(event));
        return contained[0];
    }

    /** Waits until all input has been read that had arrived before the call. */
    void awaitInputRead() throws Exception {
        CountDownLatch read = new CountDownLatch(1);
        runOnEventLoop(() -> deadlines.scheduleAfterNextRound(read::countDown));
        if (!read.await(FakeServer.TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            throw new AssertionError("input not read in time");
        }
    }

    /** Runs a task on the event loop, which does nothing else meanwhile, and waits until it is done. */
    void runOnEventLoop(EventLoopTask task) throws Exception {
        eventLoop.submit(() -> {
            task.run();
            return null;
        }).get();
    }

    /**
     * Puts a task at the end of the event loop's queue, {@code count} times in succession, and then runs it, all in the same
     * iteration of the event loop; called on the event loop.
     */
    void runAfterTasks(int count, EventLoopTask task) {
        eventLoop.next().execute(() -> {
            if (count > 1) {
                runAfterTasks(count - 1, task);
                return;
            }
            try {
                task.run();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
    }

    @Override public void close() {
        eventLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Acts as the fields of the enclosing dispatcher say, and records the events that it is given. */
    private final class ScriptedPolicy implements DispatchPolicy {
        @Override public LearnedState exportLearnedState() {
            return new LearnedState(new double[0], List.of());
        }

        @Override public void importLearnedState(LearnedState state) { }

        @Override public void answerBeforeExit(long time, long id) {
            policyEvents.add("ending");
            exitAnswerTimesMicros.add(nowMicros());
            if (refusesBeforeExit) {
                engine.refuse(id, 0);
            }
        }

        @Override public boolean isAvoided(long backend) {
            return false;
        }

        @Override public void backendsListed(long time, ListUpdate update, List<Backend> list) {
            policyEvents.add(update + " " + list.size());
        }

        @Override public void requestReceived(long time, Request request) {
            lastRequest = request;
            if (sendToBackendId != 0) {
                engine.send(request.id(), sendToBackendId);
            }
            requestIds.add(request.id());
            onRequestReceived.run();
        }

        @Override public void attemptStarted(long time, long id, int attempt) { }

        @Override public void attemptProgressed(long time, long id, int attempt) { }

        @Override public void responseStreaming(long time, long id, int attempt) { }

        @Override public void attemptEnded(long time, long id, int attempt, long backend, Outcome outcome, boolean settled,
                LoadReport report) {
            policyEvents.add(outcome + (settled ? " settled" : ""));
            if (!settled && outcome == Outcome.MOOT) {
                engine.send(lastRequest.id(), sendToBackendId);
            } else if (!settled && outcome == Outcome.REJECTED && retryBackendId != null) {
                engine.send(id, retryBackendId.get());
            }
        }

        @Override public void probeEnded(long time, long backend, boolean answered, LoadReport report) { }

        @Override public void clientDisconnected(long time, long id) {
            policyEvents.add("gone");
        }

        @Override public void timerFired(long time, int token) { }
    }
}
