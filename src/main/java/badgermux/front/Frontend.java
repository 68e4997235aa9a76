package badgermux.front;

import badgermux.core.AfterInputExecutor;
import badgermux.core.Deadlines;
import badgermux.core.Engine;
import badgermux.core.Names;
import badgermux.decide.DispatchPolicy;
import badgermux.http.ForwardedRequest;
import badgermux.metrics.Metrics;
import badgermux.metrics.Metrics.Count;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Where clients connect: takes connections in, keeps their number bounded, and winds them up at the end. */
public final class Frontend {
    /** After SIGTERM the front layer goes on sending new connections for a while; they are served until then. */
    static final long ACCEPT_AFTER_SIGTERM_MICROS = 700_000;
    /** So long clients may use the connections that they have, once more each: the next dispatcher may not be up yet. */
    static final long KEEP_ALIVE_AFTER_SIGTERM_MICROS = 500_000;
    /** SIGKILL follows SIGTERM by the longest deadline, counted as so much where it is longer, and the changeover. */
    static final long MAX_KILL_DEADLINE_MICROS = 3_000_000;
    /** So long before that kill whoever still waits is told what is known: time to write, and to end. */
    private static final long FINAL_ANSWER_MARGIN_MICROS = 400_000;
    private static final long IDLE_CHECK_INTERVAL_MICROS = 50_000;
    /** A client sends as soon as it is connected. One that has not by then may have to make room for others. */
    static final long EVICTION_GRACE_MICROS = 300_000;
    /** The same while nobody more can be let in: what had come by then has been read. */
    static final long EVICTION_GRACE_WHEN_FULL_MICROS = 60_000;
    /** A request that goes on coming is let be so long, where nobody else can make room. */
    static final long EVICTION_GRACE_RECEIVING_MICROS = 3_000_000;
    /** How soon those who wait to be accepted are looked after again, while there is no room. */
    private static final long ACCEPT_PAUSE_MICROS = 20_000;
    /** For so many there has to be room then, if those that are heard out can make it. */
    private static final int ACCEPT_HEADROOM = 16;
    /** When a request that is refused here, for want of room, should come again. */
    private static final long RETRY_AFTER_MICROS = 500_000;
    /** How often a connection is read in one round: Netty's own number. A request of ours takes fewer, its body included. */
    private static final int MAX_READS_PER_LOOP = 16;

    private final LongSupplier clock;
    private final Deadlines deadlines;
    private final Metrics metrics;
    private final Engine<ForwardedRequest> engine;
    private final List<String> classNames;
    private final List<String> tenantNames;
    private final List<Long> classDeadlineMicros;
    private final Set<Integer> keyedClasses;
    private final BooleanSupplier readiness;
    private int maxConnections;
    private int maxExtraConnections;
    private final long maxBodyBytes;
    private final long retryAfterMicros;
    private final long finalAnswerDelayMicros;
    private final RequestValidator requestValidator;
    private final LinkedHashSet<FrontendConnection> connections = new LinkedHashSet<>();
    /** Those of which nothing has come yet, the oldest first. */
    private final LinkedHashSet<FrontendConnection> silentConnections = new LinkedHashSet<>();
    /** Those that have begun a request, the one that has said nothing for longest first. */
    private final LinkedHashSet<FrontendConnection> receivingConnections = new LinkedHashSet<>();
    /** Those between two requests that never brought a request. */
    private final LinkedHashSet<FrontendConnection> unprovenConnections = new LinkedHashSet<>();
    /** Those between two requests, the one that has been so longest first. */
    private final LinkedHashSet<FrontendConnection> idleConnections = new LinkedHashSet<>();
    /** Those that we have begun to end and that are heard out, the one that has been so longest first. */
    private final LinkedHashSet<FrontendConnection> closingConnections = new LinkedHashSet<>();
    /** The ids of all requests that wait for their answer. */
    private final Set<String> openRequestIds = new HashSet<>();
    private Channel listener;
    private Deadlines.Deadline resumeAccepting;
    private long bodyBytes;
    private boolean isListenerShared;
    private boolean isHandedOver;
    private boolean isDraining;
    private long drainStartMicros;
    private FinalAnswerScheduler finalAnswers;
    /** Whether nothing was open at the last look. */
    private boolean wasIdle;
    private AfterInputExecutor afterInput;

    /**
     * Makes a front that does not listen yet.
     *
     * @param settings what the module is told: the classes, and how long clients may be told to stay away
     * @param ready    whether requests can be served
     * @param cap      how many client connections are served at once
     * @param overCap  how many more are accepted, to be told so and not left to wait
     * @param maxHeld  what all bodies that have come, whole or in part, may hold until their requests are answered
     * @param gate     judges requests before they are taken; null where all may come in
     */
    public Frontend(LongSupplier clock, Deadlines deadlines, Metrics metrics, Engine<ForwardedRequest> engine,
            DispatchPolicy.Settings settings, BooleanSupplier ready, int cap, int overCap,
            long maxHeld, RequestValidator gate) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.metrics = metrics;
        this.engine = engine;
        classNames = settings.classes.stream().map(DispatchPolicy.RequestClass::name).toList();
        tenantNames = settings.tenants.stream().map(DispatchPolicy.Tenant::name).toList();
        classDeadlineMicros = settings.classes.stream().map(DispatchPolicy.RequestClass::clientTimeoutMicros).toList();
        keyedClasses = IntStream.range(0, classNames.size())
            .filter(c -> settings.classes.get(c).effect() == DispatchPolicy.Effect.BY_KEY).boxed().collect(Collectors.toSet());
        retryAfterMicros = Math.min(RETRY_AFTER_MICROS, settings.maxRetryAfterMicros);
        finalAnswerDelayMicros = finalAnswerDelayMicros(classDeadlineMicros.stream().mapToLong(Long::longValue).max().orElse(MAX_KILL_DEADLINE_MICROS));
        this.readiness = ready;
        this.maxConnections = cap;
        this.maxExtraConnections = overCap;
        this.maxBodyBytes = maxHeld;
        this.requestValidator = gate;
        metrics.registerGauge("client_connections_open", connections::size);
    }

    /**
     * How long after SIGTERM all that is open is answered, in microseconds: a little before the kill, which comes the
     * sooner the shorter all deadlines are.
     *
     * @param longestDeadline of all classes
     */
    static long finalAnswerDelayMicros(long longestDeadline) {
        long kill = Math.min(longestDeadline, MAX_KILL_DEADLINE_MICROS) + ACCEPT_AFTER_SIGTERM_MICROS;
        return Math.max(kill / 2, kill - FINAL_ANSWER_MARGIN_MICROS);
    }

    /** Listens on this address only. */
    public ChannelFuture listen(EventLoopGroup loop, InetSocketAddress address) {
        ChannelFuture bound = bootstrap(loop).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, 1024).option(ChannelOption.SO_REUSEADDR, true).bind(address);
        listener = bound.channel();
        return bound;
    }

    /**
     * Serves clients of a socket that listens already and that other processes hold, too. It is never closed here: Java
     * would close the standard output with it.
     *
     * @param startAccepting whether to accept at once, and not only after {@link #cancelHandover}
     */
    public ChannelFuture listen(EventLoopGroup loop, ServerSocketChannel serverSocket, boolean startAccepting) {
        isListenerShared = true;
        isHandedOver = !startAccepting;
        ChannelFuture registered = bootstrap(loop).channelFactory(() -> new NioServerSocketChannel(serverSocket))
            .option(ChannelOption.AUTO_READ, startAccepting).register();
        listener = registered.channel();
        return registered;
    }

    private ServerBootstrap bootstrap(EventLoopGroup loop) {
        afterInput = new AfterInputExecutor(loop.next());
        // Guards against a client's end that is read a round later than the request before it: all that has come is read.
        RecvByteBufAllocator untilNothingIsLeft = new AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false)
            .maxMessagesPerRead(MAX_READS_PER_LOOP);
        return new ServerBootstrap().group(loop).childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, untilNothingIsLeft)
            // Guards against a batch that is accepted whole before the first of it is counted: one after another.
            .option(ChannelOption.RECVBUF_ALLOCATOR, new ServerChannelRecvByteBufAllocator())
            .handler(new AcceptFailureHandler(this::pauseAccepting))
            .childHandler(new ChannelInitializer<SocketChannel>() {
                @Override protected void initChannel(SocketChannel channel) {
                    channel.pipeline().addLast(new FrontendConnection(Frontend.this, channel));
                }
            });
    }

    /** Bounds connections anew, as the constructor says it. */
    public void setConnectionLimits(int most, int beyond) {
        maxConnections = most;
        maxExtraConnections = beyond;
    }

    /**
     * Another process serves the same socket from here on: none are accepted, clients between two requests are closed, and
     * the others once they have their answer, so that what they send next goes to that process.
     */
    public void handOver() {
        if (!isHandedOver && !isDraining) {
            isHandedOver = true;
            stopAccepting();
            closeIdleConnections();
        }
    }

    /** Accepts again. */
    public void cancelHandover() {
        if (isHandedOver && !isDraining) {
            isHandedOver = false;
            listener.config().setAutoRead(true);
        }
    }

    private void stopAccepting() {
        deadlines.cancel(resumeAccepting);
        resumeAccepting = null;
        listener.config().setAutoRead(false);
    }

    /**
     * Winds up: serves what comes during the changeover, answers all that was taken, then runs {@code quiet}.
     *
     * @param startMicros when the process was told to end; the kill counts from there, however late this is called
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
        if (isListenerShared) {
            // Who connects from here on waits in the socket's queue for the next process, and is not refused.
            stopAccepting();
        }
        if (isHandedOver) {
            finishDrainWhenIdle(onDrained);
            return;
        }
        deadlines.scheduleAt(startMicros + KEEP_ALIVE_AFTER_SIGTERM_MICROS, this::closeIdleConnections);
        deadlines.scheduleAt(startMicros + ACCEPT_AFTER_SIGTERM_MICROS, () -> finishDrainWhenIdle(onDrained));
    }

    private void finishDrainWhenIdle(Runnable onDrained) {
        closeIdleConnections();
        long readUntil = inputReadUntilMicros();
        // Guards against a first request that crosses its connection's close: only those that say nothing are closed.
        List.copyOf(silentConnections).stream().filter(c -> readUntil - c.openedMicros() >= EVICTION_GRACE_MICROS).forEach(FrontendConnection::close);
        // Guards against a request that has come whole so late that it can't be answered before we are killed.
        List.copyOf(receivingConnections).stream().filter(c -> now() >= drainStartMicros + ACCEPT_AFTER_SIGTERM_MICROS
            || !c.isReceivingInPieces() && readUntil - c.lastReadMicros() >= EVICTION_GRACE_MICROS).forEach(FrontendConnection::refuseIncompleteRequest);
        boolean isQuiet = connections.isEmpty() && engine.openRequestCount() == 0;
        // Guards against who was let in by the system and not by us yet: there is another look, and all may come in before it.
        if (isQuiet && (isListenerShared || wasIdle)) {
            if (!isListenerShared) {
                listener.close();
            }
            onDrained.run();
            return;
        }
        wasIdle = isQuiet;
        if (isQuiet) {
            resumeAcceptingNow();
        }
        deadlines.scheduleAfter(IDLE_CHECK_INTERVAL_MICROS, () -> finishDrainWhenIdle(onDrained));
    }

    private void resumeAcceptingNow() {
        deadlines.cancel(resumeAccepting);
        resumeAccepting = null;
        listener.config().setAutoRead(true);
    }

    /** What had come by then has been read: the event loop may have stood still since. */
    private long inputReadUntilMicros() {
        return now() - deadlines.stallMicros();
    }

    private void closeIdleConnections() {
        List.copyOf(idleConnections).forEach(FrontendConnection::close);
        List.copyOf(unprovenConnections).forEach(FrontendConnection::close);
    }

    // ---- For its connections

    void connectionOpened(FrontendConnection connection) {
        metrics.increment(Count.CLIENT_CONNECTIONS);
        // Guards against one ended as silent whose request lies unread in the same round of input.
        if (activeConnectionCount() >= maxConnections) {
            afterInput.execute(() -> {
                if (activeConnectionCount() > maxConnections) {
                    evictConnection();
                }
            });
        }
        connections.add(connection);
        silentConnections.add(connection);
        if (connections.size() >= maxConnections + maxExtraConnections) {
            pauseAccepting();
        }
    }

    private void pauseAccepting() {
        if (resumeAccepting == null && listener.config().isAutoRead()) {
            listener.config().setAutoRead(false);
            resumeAccepting = deadlines.scheduleAfter(ACCEPT_PAUSE_MICROS, this::resumeAccepting);
        }
    }

    /**
     * Closes the connection that will be missed least, if there is one: a stranger's, then one that has said nothing
     * for a while, then one that left half a request behind, then a client's between two requests, which sends what crosses
     * the close once more. One whose request goes on coming comes last, and only after 3 s.
     */
    private boolean evictConnection() {
        long readUntil = inputReadUntilMicros();
        long silentSince = readUntil - (connections.size() < maxConnections + maxExtraConnections ? EVICTION_GRACE_MICROS : EVICTION_GRACE_WHEN_FULL_MICROS);
        FrontendConnection victim = firstOrNull(unprovenConnections);
        victim = victim == null ? firstSilentSince(silentConnections, silentSince) : victim;
        victim = victim == null ? firstSilentSince(receivingConnections, readUntil - EVICTION_GRACE_MICROS) : victim;
        victim = victim == null ? firstOrNull(idleConnections) : victim;
        // Guards against a crowd that holds all places by a byte now and then.
        victim = victim != null ? victim : receivingConnections.stream()
            .filter(c -> readUntil - c.requestStartMicros() >= EVICTION_GRACE_RECEIVING_MICROS).findFirst().orElse(null);
        if (victim == null) {
            return false;
        }
        metrics.increment(Count.CLIENT_CONNECTIONS_EVICTED);
        // Guards against a request whose last byte crosses the end of its connection: its client is told.
        if (receivingConnections.contains(victim)) {
            victim.refuseIncompleteRequest();
        } else {
            victim.close();
        }
        return true;
    }

    /** How many connections have not begun to end. */
    private int activeConnectionCount() {
        return connections.size() - closingConnections.size();
    }

    /** Guards against a crowd that is heard out while nobody more can be let in: each has its moment, and no more. */
    private void abortClosingConnections() {
        int most = maxConnections + maxExtraConnections - Math.min(ACCEPT_HEADROOM, maxExtraConnections);
        for (FrontendConnection connection : List.copyOf(closingConnections)) {
            if (connections.size() <= most || now() - connection.closingMicros() < EVICTION_GRACE_WHEN_FULL_MICROS) {
                return;
            }
            connectionClosed(connection);     // at once: its end is told later
            connection.abort();
        }
    }

    /** The first that is not moving and has said nothing since a time; null where there is none. */
    private static FrontendConnection firstSilentSince(LinkedHashSet<FrontendConnection> of, long since) {
        for (FrontendConnection connection : of) {
            if (connection.lastReadMicros() > since) {
                return null;
            }
            if (!connection.isReceivingInPieces()) {
                return connection;
            }
        }
        return null;
    }

    private static FrontendConnection firstOrNull(LinkedHashSet<FrontendConnection> of) {
        return of.isEmpty() ? null : of.iterator().next();
    }

    /** Guards against a flood that takes the descriptors of all others: while there is no room, none are accepted. */
    private void resumeAccepting() {
        resumeAccepting = null;
        boolean room = true;
        while (room && activeConnectionCount() > maxConnections) {
            room = evictConnection();
        }
        abortClosingConnections();
        if (connections.size() < maxConnections + maxExtraConnections) {
            listener.config().setAutoRead(true);
        } else {
            resumeAccepting = deadlines.scheduleAfter(ACCEPT_PAUSE_MICROS, this::resumeAccepting);
        }
    }

    /** A request has begun to come, and goes on. */
    void receivingConnections(FrontendConnection connection) {
        if (connections.contains(connection)) {
            removeFromAllSets(connection);
            receivingConnections.add(connection);
        }
    }

    void connectionIdle(FrontendConnection connection) {
        if (connections.contains(connection)) {
            removeFromAllSets(connection);
            (connection.hasSentRequest() ? idleConnections : unprovenConnections).add(connection);
        }
    }

    void connectionBusy(FrontendConnection connection) {
        removeFromAllSets(connection);
    }

    /** It has begun to end, and is heard out. */
    void connectionClosing(FrontendConnection connection) {
        removeFromAllSets(connection);
        if (connections.contains(connection)) {
            closingConnections.add(connection);
        }
    }

    void connectionClosed(FrontendConnection connection) {
        connections.remove(connection);
        removeFromAllSets(connection);
    }

    private void removeFromAllSets(FrontendConnection connection) {
        silentConnections.remove(connection);
        receivingConnections.remove(connection);
        unprovenConnections.remove(connection);
        idleConnections.remove(connection);
        closingConnections.remove(connection);
    }

    /** Whether a request of this id waits for its answer. */
    boolean isRequestOpen(String id) {
        return openRequestIds.contains(id);
    }

    void registerRequest(String id) {
        openRequestIds.add(id);
    }

    void unregisterRequest(String id) {
        openRequestIds.remove(id);
    }

    /** Whether clients are to go elsewhere with what they send next. */
    boolean isWindingDown() {
        return isDraining || isHandedOver;
    }

    /** Whether what is taken now would be open when we are killed. */
    boolean isPastFinalAnswers() {
        return isDraining && (finalAnswers.hasBegun() || now() >= drainStartMicros + finalAnswerDelayMicros);
    }

    /**
     * Whether a connection that is let in now may have waited for it, so that its client may have left meanwhile: there was
     * no room, or the event loop stood still.
     */
    boolean mayAcceptLate() {
        return activeConnectionCount() >= maxConnections || deadlines.stallMicros() > FrontendConnection.LATE_ACCEPT_WAIT_MICROS;
    }

    /** Whether as many requests as connections are served wait for their answer: one more is turned away. */
    boolean isAtRequestLimit() {
        return openRequestIds.size() >= maxConnections;
    }

    /** What a client is told to wait that is turned away for want of room; 0 where it can't be told. */
    long retryAfterMicros() {
        return retryAfterMicros;
    }

    /** Whether the requests of a class come with a key. */
    boolean requiresIdempotencyKey(int jobClass) {
        return keyedClasses.contains(jobClass);
    }

    /** Guards against bodies that fill the heap: counts so many bytes more as held, if there is room for them. */
    boolean reserveBodyBytes(int bytes) {
        if (bytes > 0 && bodyBytes + bytes > maxBodyBytes) {
            metrics.increment(Count.BODIES_OVER_CAP);
            return false;
        }
        bodyBytes += bytes;
        return true;
    }

    boolean isReady() {
        return notReadyReason() == null;
    }

    /** Why requests can't be served here; null where they can. */
    public String notReadyReason() {
        return isDraining ? "this process is ending" : !listener.isActive() ? "clients can't connect yet"
            : readiness.getAsBoolean() ? null : "there is no list of runners yet";
    }

    /** Where clients connect. */
    public SocketAddress address() {
        return listener.localAddress();
    }

    /** Null where there is none. */
    RequestValidator requestValidator() {
        return requestValidator;
    }

    Engine<ForwardedRequest> engine() {
        return engine;
    }

    long now() {
        return clock.getAsLong();
    }

    Deadlines deadlines() {
        return deadlines;
    }

    Metrics metrics() {
        return metrics;
    }

    /** The number of a class; -1 where there is none of that name. */
    int classIndex(String name) {
        return Names.indexOf(classNames, name);
    }

    /**
     * The number of a tenant; 0 where the settings name none. One that they do not name, and a request without, has no share:
     * it gets the number behind the last, is counted, and served as traffic beyond a share is.
     */
    int tenantIndex(String name) {
        int tenant = Names.indexOf(tenantNames, name);
        if (tenant < 0 && !tenantNames.isEmpty()) {
            metrics.increment(Count.TENANTS_UNKNOWN);
        }
        return tenant < 0 ? tenantNames.size() : tenant;
    }

    long classDeadlineMicros(int jobClass) {
        return classDeadlineMicros.get(jobClass);
    }
}
