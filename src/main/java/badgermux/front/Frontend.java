package badgermux.front;

import badgermux.core.AfterInputExecutor;
import badgermux.core.Deadlines;
import badgermux.core.Engine;
import badgermux.core.Names;
import badgermux.decide.DispatchPolicy;
import badgermux.http.ForwardedRequest;
import badgermux.metrics.Metrics;
import badgermux.metrics.Metrics.Count;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Accepts client connections, limits their number, and closes them when the process ends or hands over. */
public final class Frontend {
    /** How long after SIGTERM new connections are still served: the load balancer goes on sending them for a while. */
    static final long ACCEPT_AFTER_SIGTERM_MICROS = 700_000;
    /**
     * How long idle connections stay open after SIGTERM or a handover. Each takes one more request, whose answer tells the
     * client to reconnect; closed at once, they would cut off clients that are sending just then.
     */
    static final long KEEP_ALIVE_BEFORE_CLOSE_MICROS = 500_000;
    /**
     * SIGKILL follows SIGTERM after the longest deadline of all request classes, or after this span if the deadline is
     * longer, plus {@link #ACCEPT_AFTER_SIGTERM_MICROS}.
     */
    static final long MAX_KILL_DEADLINE_MICROS = 3_000_000;
    /** How long before SIGKILL all open requests get their final answers: time to write the answers and to exit. */
    private static final long FINAL_ANSWER_MARGIN_MICROS = 400_000;
    /** How often a draining process checks whether it is idle. */
    private static final long IDLE_CHECK_INTERVAL_MICROS = 50_000;
    /** Retry-After of a request that is refused here because there is no room. */
    private static final long RETRY_AFTER_MICROS = 500_000;

    private final LongSupplier clock;
    private final Deadlines deadlines;
    private final Metrics metrics;
    private final Engine<ForwardedRequest> engine;
    private final List<String> classNames;
    private final List<String> tenantNames;
    /** By index of the request class. */
    private final List<Long> classDeadlineMicros;
    /** Indexes of the request classes that need an Idempotency-Key. */
    private final Set<Integer> keyedClasses;
    /** Indexes of the request classes that may run any number of times. */
    private final Set<Integer> repeatableClasses;
    private final BooleanSupplier readiness;
    private final long retryAfterMicros;
    private final long finalAnswerDelayMicros;
    /** Null if requests are not validated. */
    private final RequestValidator requestValidator;
    /** The ids of all requests that have no final answer yet. */
    private final Set<String> openRequestIds = new HashSet<>();
    /** The ids of open requests that were submitted and are not repeatable. */
    private final Set<String> openUnrepeatableIds = new HashSet<>();
    private final SentRequestIds sentIds = new SentRequestIds();
    /** Gets the id of each request that is submitted and is not repeatable. */
    private Consumer<String> unrepeatableIdListener = id -> { };
    /** Requests that wait for their validation, or for their client's disconnect, and are not known to the engine yet. */
    private final Set<ClientRequest> waitingRequests = new LinkedHashSet<>();
    private final ClientConnections connections;
    private final ClientMemory clientMemory;
    private final PipelinedRequestQueue pipelinedRequests;
    private final Acceptor acceptor;
    /** Whether other processes hold the listening socket, too. */
    private boolean isListenerShared;
    private boolean isHandedOver;
    /** Closes the connections that are still idle some time after a handover; null if there was none. */
    private Deadlines.Deadline idleCloseTimer;
    /** When {@link #idleCloseTimer} is due. */
    private long idleCloseAtMicros;
    private boolean isDraining;
    private long drainStartMicros;
    private FinalAnswerScheduler finalAnswers;
    /** Whether no connection and no request was open at the last idle check. */
    private boolean wasIdle;
    private AfterInputExecutor afterInput;

    /**
     * Creates a frontend that does not listen yet.
     *
     * @param clock               the time in microseconds
     * @param settings            the request classes, the tenants and the longest Retry-After
     * @param readiness           whether requests can be served
     * @param maxConnections      how many client connections are served at once
     * @param maxExtraConnections how many more are accepted, so that their requests are refused and not left waiting
     * @param maxClientBytes      bound of the memory that all client connections hold together, in bytes
     * @param requestValidator    validates requests before they are submitted; null if none are validated
     */
    public Frontend(LongSupplier clock, Deadlines deadlines, Metrics metrics, Engine<ForwardedRequest> engine,
            DispatchPolicy.Settings settings, BooleanSupplier readiness, int maxConnections, int maxExtraConnections,
            long maxClientBytes, RequestValidator requestValidator) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.metrics = metrics;
        this.engine = engine;
        classNames = settings.classes.stream().map(DispatchPolicy.RequestClass::name).toList();
        tenantNames = settings.tenants.stream().map(DispatchPolicy.Tenant::name).toList();
        classDeadlineMicros = settings.classes.stream().map(DispatchPolicy.RequestClass::clientTimeoutMicros).toList();
        keyedClasses = classesOf(settings, DispatchPolicy.Effect.BY_KEY);
        repeatableClasses = classesOf(settings, DispatchPolicy.Effect.REPEATABLE);
        retryAfterMicros = Math.min(RETRY_AFTER_MICROS, settings.maxRetryAfterMicros);
        finalAnswerDelayMicros = finalAnswerDelayMicros(
            classDeadlineMicros.stream().mapToLong(Long::longValue).max().orElse(MAX_KILL_DEADLINE_MICROS));
        this.readiness = readiness;
        clientMemory = new ClientMemory(maxClientBytes, metrics);
        pipelinedRequests = new PipelinedRequestQueue(deadlines, clock);
        this.requestValidator = requestValidator;
        connections = new ClientConnections(clock, deadlines, metrics, maxConnections, maxExtraConnections);
        acceptor = new Acceptor(clock, deadlines, metrics, connections);
    }

    private static Set<Integer> classesOf(DispatchPolicy.Settings settings, DispatchPolicy.Effect effect) {
        return IntStream.range(0, settings.classes.size()).filter(c -> settings.classes.get(c).effect() == effect).boxed()
            .collect(Collectors.toSet());
    }

    /**
     * Returns how long after SIGTERM all open requests get their final answers, in microseconds: shortly before SIGKILL,
     * whose time depends on the longest deadline.
     *
     * @param longestDeadlineMicros the longest deadline of all request classes
     */
    static long finalAnswerDelayMicros(long longestDeadlineMicros) {
        long killMicros = Math.min(longestDeadlineMicros, MAX_KILL_DEADLINE_MICROS) + ACCEPT_AFTER_SIGTERM_MICROS;
        return Math.max(killMicros / 2, killMicros - FINAL_ANSWER_MARGIN_MICROS);
    }

    /** Listens on an address; the future completes when it is bound. */
    public ChannelFuture listen(EventLoopGroup loop, InetSocketAddress address) {
        afterInput = new AfterInputExecutor(loop.next());
        return acceptor.listen(loop, address, new ConnectionInitializer());
    }

    /**
     * Serves clients of a listening socket that other processes hold, too. The socket is never closed here, because Java
     * would close the standard output with it.
     *
     * @param startAccepting    whether to accept at once; otherwise accepting starts with {@link #cancelHandover}
     * @param queuedSinceMicros since when connections may have waited in the socket's queue; 0 if that is unknown. The time of
     *                          their requests counts from there, so they are refused if it is unknown
     */
    public ChannelFuture listen(EventLoopGroup loop, ServerSocketChannel serverSocket, boolean startAccepting,
            long queuedSinceMicros) {
        isListenerShared = true;
        isHandedOver = !startAccepting;
        afterInput = new AfterInputExecutor(loop.next());
        return acceptor.listen(loop, serverSocket, startAccepting, queuedSinceMicros, new ConnectionInitializer());
    }

    private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {
        @Override protected void initChannel(SocketChannel channel) {
            channel.pipeline().addLast(new FrontendConnection(Frontend.this, channel,
                channel.attr(ListenerChannel.EARLIEST_ARRIVAL_MICROS).get()));
        }
    }

    /** Replaces the two limits on connections that were given to the constructor. */
    public void setConnectionLimits(int max, int maxExtra) {
        connections.setLimits(max, maxExtra);
    }

    /**
     * Leaves the listening socket to another process: stops accepting and closes each connection after its next answer, or
     * once it has been idle for {@link #KEEP_ALIVE_BEFORE_CLOSE_MICROS}. Clients then connect to the other process.
     */
    public void handOver() {
        if (!isHandedOver && !isDraining) {
            isHandedOver = true;
            acceptor.stop();
            idleCloseAtMicros = nowMicros() + KEEP_ALIVE_BEFORE_CLOSE_MICROS;
            idleCloseTimer = deadlines.scheduleAt(idleCloseAtMicros, connections::closeIdle);
        }
    }

    /** Whether other processes hold the listening socket, too. */
    public boolean isListenerShared() {
        return isListenerShared;
    }

    /** Returns since when connections may wait in the listening socket's queue; 0 if that is unknown. */
    public long queuedSinceMicros() {
        return acceptor.queuedSinceMicros();
    }

    /** The other process of a hot restart has told its {@link #queuedSinceMicros}. */
    public void otherProcessReportsQueue(long queuedSinceMicros) {
        acceptor.otherProcessReportsQueue(queuedSinceMicros);
    }

    /** Sets who gets the id of each request that is submitted and must not run again, for other processes. */
    public void setUnrepeatableIdListener(Consumer<String> listener) {
        unrepeatableIdListener = listener;
    }

    /** Returns the ids of requests that must not run again: of those that may have run, and of open ones. */
    public List<String> unrepeatableIds() {
        List<String> ids = sentIds.all();
        ids.addAll(openUnrepeatableIds);
        return ids;
    }

    /** Another process of this dispatcher has taken a request of this id, which must not run again. */
    public void otherProcessReportsId(String id) {
        sentIds.add(id);
    }

    /** Accepts connections again after {@link #handOver}. */
    public void cancelHandover() {
        if (isHandedOver && !isDraining) {
            isHandedOver = false;
            deadlines.cancel(idleCloseTimer);
            acceptor.resume();
        }
    }

    /**
     * Serves requests for {@link #ACCEPT_AFTER_SIGTERM_MICROS} more, and runs {@code onDrained} when all connections are
     * closed and all requests have ended.
     *
     * @param startMicros when the process got SIGTERM; the time of SIGKILL counts from there, not from this call
     */
    public void drain(long startMicros, Runnable onDrained) {
        if (isDraining) {
            return;
        }
        isDraining = true;
        drainStartMicros = startMicros;
        finalAnswers = new FinalAnswerScheduler(deadlines, clock, engine::openRequestCount, engine::answerBeforeExit,
            startMicros + finalAnswerDelayMicros / 2, startMicros + finalAnswerDelayMicros);
        finalAnswers.start();
        deadlines.scheduleAt(startMicros + finalAnswerDelayMicros,
            () -> List.copyOf(waitingRequests).forEach(ClientRequest::refuseUnsubmitted));
        if (isListenerShared) {
            // New connections wait in the socket's queue for the next process, and are not refused.
            acceptor.stop();
        }
        if (isHandedOver) {
            deadlines.scheduleAt(idleCloseAtMicros, () -> finishDrainWhenIdle(onDrained));
            return;
        }
        deadlines.scheduleAt(startMicros + KEEP_ALIVE_BEFORE_CLOSE_MICROS, connections::closeIdle);
        deadlines.scheduleAt(startMicros + ACCEPT_AFTER_SIGTERM_MICROS, () -> finishDrainWhenIdle(onDrained));
    }

    private void finishDrainWhenIdle(Runnable onDrained) {
        connections.closeIdle();
        connections.closeSilent();
        // Refuses incomplete requests: once complete, they could not be answered before SIGKILL.
        connections.refuseIncomplete(nowMicros() >= drainStartMicros + ACCEPT_AFTER_SIGTERM_MICROS);
        boolean isIdle = connections.isEmpty() && engine.openRequestCount() == 0;
        // A listener that is not shared is closed at the second idle check in a row: the kernel may hold connections not
        // accepted yet, which are accepted between the two checks.
        if (isIdle && (isListenerShared || wasIdle)) {
            if (!isListenerShared) {
                acceptor.close();
            }
            onDrained.run();
            return;
        }
        wasIdle = isIdle;
        if (isIdle) {
            acceptor.resume();
        }
        deadlines.scheduleAfter(IDLE_CHECK_INTERVAL_MICROS, () -> finishDrainWhenIdle(onDrained));
    }

    // ---- Called by connections

    void connectionOpened(FrontendConnection connection) {
        metrics.increment(Count.CLIENT_CONNECTIONS);
        // Evicts after this round of input, as the request of a connection that looks silent may be read in it.
        if (connections.isAtLimit()) {
            afterInput.execute(connections::evictIfOverLimit);
        }
        connections.opened(connection);
        acceptor.pauseIfFull();
    }

    /** Returns the open connections, which learn of each change of a connection's state. */
    ClientConnections connections() {
        return connections;
    }

    /** Whether a request with this id has no final answer yet. */
    boolean isRequestOpen(String id) {
        return openRequestIds.contains(id);
    }

    void registerRequest(String id) {
        openRequestIds.add(id);
    }

    void unregisterRequest(String id) {
        openRequestIds.remove(id);
        openUnrepeatableIds.remove(id);
    }

    /** Returns the ids of requests that may have run and must not run again. */
    SentRequestIds sentIds() {
        return sentIds;
    }

    /** A request that is not repeatable has been submitted and is open. */
    void unrepeatableRequestSubmitted(String id) {
        openUnrepeatableIds.add(id);
        unrepeatableIdListener.accept(id);
    }

    /** Whether the requests of a class may run any number of times. */
    boolean isRepeatable(int requestClass) {
        return repeatableClasses.contains(requestClass);
    }

    /** A request waits before it is submitted to the engine. */
    void waitStarted(ClientRequest request) {
        waitingRequests.add(request);
    }

    /** A request has been submitted or has ended. */
    void waitEnded(ClientRequest request) {
        waitingRequests.remove(request);
    }

    /** Whether connections close after their answer, so that clients send their next request to another process. */
    boolean closesAfterAnswer() {
        return isDraining || isHandedOver;
    }

    /** Whether it is too late to take requests, which would still be open at SIGKILL. */
    boolean isPastFinalAnswers() {
        return isDraining && (finalAnswers.hasBegun() || nowMicros() >= drainStartMicros + finalAnswerDelayMicros);
    }

    /** Whether the open requests have reached the limit on connections; further requests are refused. */
    boolean isAtRequestLimit() {
        return openRequestIds.size() >= connections.maxConnections();
    }

    /** Returns the Retry-After of a request that is refused because there is no room; 0 for none. */
    long retryAfterMicros() {
        return retryAfterMicros;
    }

    /** Whether the requests of a class must have an Idempotency-Key. */
    boolean requiresIdempotencyKey(int requestClass) {
        return keyedClasses.contains(requestClass);
    }

    /** Returns the account of the memory that client connections hold. */
    ClientMemory clientMemory() {
        return clientMemory;
    }

    /** Returns the connections that take requests behind an answered one in turn. */
    PipelinedRequestQueue pipelinedRequests() {
        return pipelinedRequests;
    }

    boolean isReady() {
        return notReadyReason() == null;
    }

    /** Returns why requests can't be served, as the console prints it; null if they can. */
    public String notReadyReason() {
        return isDraining ? "this process is ending" : !acceptor.isListening() ? "clients can't connect yet"
            : readiness.getAsBoolean() ? null : "there is no list of runners yet";
    }

    /** Returns the address that clients connect to. */
    public SocketAddress address() {
        return acceptor.address();
    }

    /** Returns the validator of requests; null if there is none. */
    RequestValidator requestValidator() {
        return requestValidator;
    }

    Engine<ForwardedRequest> engine() {
        return engine;
    }

    long nowMicros() {
        return clock.getAsLong();
    }

    Deadlines deadlines() {
        return deadlines;
    }

    Metrics metrics() {
        return metrics;
    }

    /** Returns the index of a request class; -1 if there is none of that name. */
    int classIndex(String name) {
        return Names.indexOf(classNames, name);
    }

    /**
     * Returns the index of a tenant; 0 if the settings name no tenants. An unknown tenant, or a request without one, is counted
     * and gets the index after the last: it has no quota and is served like traffic beyond a quota.
     */
    int tenantIndex(String name) {
        int tenant = Names.indexOf(tenantNames, name);
        if (tenant < 0 && !tenantNames.isEmpty()) {
            metrics.increment(Count.TENANTS_UNKNOWN);
        }
        return tenant < 0 ? tenantNames.size() : tenant;
    }

    /** Returns how long a client of a request class waits for its answer. */
    long classDeadlineMicros(int requestClass) {
        return classDeadlineMicros.get(requestClass);
    }
}
