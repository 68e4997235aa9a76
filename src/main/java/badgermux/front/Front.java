package badgermux.front;

import badgermux.core.AfterInput;
import badgermux.core.Deadlines;
import badgermux.core.Engine;
import badgermux.core.Names;
import badgermux.decide.Dispatch;
import badgermux.http.Relay;
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
public final class Front {
    /** After SIGTERM the front layer goes on sending new connections for a while; they are served until then. */
    static final long CHANGEOVER = 700_000;
    /** So long clients may use the connections that they have, once more each: the next dispatcher may not be up yet. */
    static final long KEPT_ON = 500_000;
    /** SIGKILL follows SIGTERM by the longest deadline, counted as so much where it is longer, and the changeover. */
    static final long LONGEST_COUNTED = 3_000_000;
    /** So long before that kill whoever still waits is told what is known: time to write, and to end. */
    private static final long BEFORE_KILL = 400_000;
    private static final long QUIET_CHECK = 50_000;
    /** A client sends as soon as it is connected. One that has not by then may have to make room for others. */
    static final long SPARED = 300_000;
    /** The same while nobody more can be let in: what had come by then has been read. */
    static final long SPARED_IN_NEED = 60_000;
    /** A request that goes on coming is let be so long, where nobody else can make room. */
    static final long SPARED_MOVING = 3_000_000;
    /** How soon those who wait to be accepted are looked after again, while there is no room. */
    private static final long ACCEPT_AGAIN = 20_000;
    /** For so many there has to be room then, if those that are heard out can make it. */
    private static final int ACCEPTED_AT_ONCE = 16;
    /** When a request that is refused here, for want of room, should come again. */
    private static final long COME_BACK = 500_000;
    /** How often a connection is read in one round: Netty's own number. A request of ours takes fewer, its body included. */
    private static final int READS_AT_ONCE = 16;

    private final LongSupplier clock;
    private final Deadlines deadlines;
    private final Metrics metrics;
    private final Engine<Relay> engine;
    private final List<String> classes;
    private final List<String> tenants;
    private final List<Long> patience;
    private final Set<Integer> keyed;
    private final BooleanSupplier ready;
    private int cap;
    private int overCap;
    private final long maxHeld;
    private final long comeBack;
    private final long lastAnswer;
    private final Gate gate;
    private final LinkedHashSet<FrontConnection> connections = new LinkedHashSet<>();
    /** Those of which nothing has come yet, the oldest first. */
    private final LinkedHashSet<FrontConnection> fresh = new LinkedHashSet<>();
    /** Those that have begun a request, the one that has said nothing for longest first. */
    private final LinkedHashSet<FrontConnection> halfway = new LinkedHashSet<>();
    /** Those between two requests that never brought a request. */
    private final LinkedHashSet<FrontConnection> strangers = new LinkedHashSet<>();
    /** Those between two requests, the one that has been so longest first. */
    private final LinkedHashSet<FrontConnection> resting = new LinkedHashSet<>();
    /** Those that we have begun to end and that are heard out, the one that has been so longest first. */
    private final LinkedHashSet<FrontConnection> ending = new LinkedHashSet<>();
    /** The ids of all requests that wait for their answer. */
    private final Set<String> openIds = new HashSet<>();
    private Channel listener;
    private Deadlines.Deadline acceptAgain;
    private long held;
    private boolean inherited;
    private boolean handedOver;
    private boolean draining;
    private long drainedFrom;
    private ShutdownAnswers lastAnswers;
    /** Whether nothing was open at the last look. */
    private boolean wasQuiet;
    private AfterInput afterInput;

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
    public Front(LongSupplier clock, Deadlines deadlines, Metrics metrics, Engine<Relay> engine,
            Dispatch.Settings settings, BooleanSupplier ready, int cap, int overCap,
            long maxHeld, Gate gate) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.metrics = metrics;
        this.engine = engine;
        classes = settings.classes.stream().map(Dispatch.JobClass::name).toList();
        tenants = settings.tenants.stream().map(Dispatch.Tenant::name).toList();
        patience = settings.classes.stream().map(Dispatch.JobClass::deadline).toList();
        keyed = IntStream.range(0, classes.size())
            .filter(c -> settings.classes.get(c).effect() == Dispatch.Effect.BY_KEY).boxed().collect(Collectors.toSet());
        comeBack = Math.min(COME_BACK, settings.longestComeBack);
        lastAnswer = lastAnswer(patience.stream().mapToLong(Long::longValue).max().orElse(LONGEST_COUNTED));
        this.ready = ready;
        this.cap = cap;
        this.overCap = overCap;
        this.maxHeld = maxHeld;
        this.gate = gate;
        metrics.level("client_connections_open", connections::size);
    }

    /**
     * How long after SIGTERM all that is open is answered, in microseconds: a little before the kill, which comes the
     * sooner the shorter all deadlines are.
     *
     * @param longestDeadline of all classes
     */
    static long lastAnswer(long longestDeadline) {
        long kill = Math.min(longestDeadline, LONGEST_COUNTED) + CHANGEOVER;
        return Math.max(kill / 2, kill - BEFORE_KILL);
    }

    /** Listens on this address only. */
    public ChannelFuture listen(EventLoopGroup loop, InetSocketAddress at) {
        ChannelFuture bound = bootstrap(loop).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, 1024).option(ChannelOption.SO_REUSEADDR, true).bind(at);
        listener = bound.channel();
        return bound;
    }

    /**
     * Serves clients of a socket that listens already and that other processes hold, too. It is never closed here: Java
     * would close the standard output with it.
     *
     * @param accepts whether to accept at once, and not only after {@link #takeBack}
     */
    public ChannelFuture listen(EventLoopGroup loop, ServerSocketChannel held, boolean accepts) {
        inherited = true;
        handedOver = !accepts;
        ChannelFuture registered = bootstrap(loop).channelFactory(() -> new NioServerSocketChannel(held))
            .option(ChannelOption.AUTO_READ, accepts).register();
        listener = registered.channel();
        return registered;
    }

    private ServerBootstrap bootstrap(EventLoopGroup loop) {
        afterInput = new AfterInput(loop.next());
        // Guards against a client's end that is read a round later than the request before it: all that has come is read.
        RecvByteBufAllocator untilNothingIsLeft = new AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false)
            .maxMessagesPerRead(READS_AT_ONCE);
        return new ServerBootstrap().group(loop).childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, untilNothingIsLeft)
            // Guards against a batch that is accepted whole before the first of it is counted: one after another.
            .option(ChannelOption.RECVBUF_ALLOCATOR, new ServerChannelRecvByteBufAllocator())
            .handler(new FailedAccepts(this::pauseAccepting))
            .childHandler(new ChannelInitializer<SocketChannel>() {
                @Override protected void initChannel(SocketChannel channel) {
                    channel.pipeline().addLast(new FrontConnection(Front.this, channel));
                }
            });
    }

    /** Bounds connections anew, as the constructor says it. */
    public void limit(int most, int beyond) {
        cap = most;
        overCap = beyond;
    }

    /**
     * Another process serves the same socket from here on: none are accepted, clients between two requests are closed, and
     * the others once they have their answer, so that what they send next goes to that process.
     */
    public void handOver() {
        if (!handedOver && !draining) {
            handedOver = true;
            stopAccepting();
            closeResting();
        }
    }

    /** Accepts again. */
    public void takeBack() {
        if (handedOver && !draining) {
            handedOver = false;
            listener.config().setAutoRead(true);
        }
    }

    private void stopAccepting() {
        deadlines.cancel(acceptAgain);
        acceptAgain = null;
        listener.config().setAutoRead(false);
    }

    /**
     * Winds up: serves what comes during the changeover, answers all that was taken, then runs {@code quiet}.
     *
     * @param toldAt when the process was told to end; the kill counts from there, however late this is called
     */
    public void drain(long toldAt, Runnable quiet) {
        if (draining) {
            return;
        }
        draining = true;
        drainedFrom = toldAt;
        lastAnswers = new ShutdownAnswers(deadlines, clock, engine::open, engine::answerFinally,
            toldAt + lastAnswer / 2, toldAt + lastAnswer);
        lastAnswers.start();
        if (inherited) {
            // Who connects from here on waits in the socket's queue for the next process, and is not refused.
            stopAccepting();
        }
        if (handedOver) {
            whenQuiet(quiet);
            return;
        }
        deadlines.at(toldAt + KEPT_ON, this::closeResting);
        deadlines.at(toldAt + CHANGEOVER, () -> whenQuiet(quiet));
    }

    private void whenQuiet(Runnable quiet) {
        closeResting();
        long readUntil = readUntil();
        // Guards against a first request that crosses its connection's close: only those that say nothing are closed.
        List.copyOf(fresh).stream().filter(c -> readUntil - c.openedAt() >= SPARED).forEach(FrontConnection::close);
        // Guards against a request that has come whole so late that it can't be answered before we are killed.
        List.copyOf(halfway).stream().filter(c -> now() >= drainedFrom + CHANGEOVER
            || !c.isMoving() && readUntil - c.heardAt() >= SPARED).forEach(FrontConnection::turnBack);
        boolean isQuiet = connections.isEmpty() && engine.open() == 0;
        // Guards against who was let in by the system and not by us yet: there is another look, and all may come in before it.
        if (isQuiet && (inherited || wasQuiet)) {
            if (!inherited) {
                listener.close();
            }
            quiet.run();
            return;
        }
        wasQuiet = isQuiet;
        if (isQuiet) {
            acceptNow();
        }
        deadlines.after(QUIET_CHECK, () -> whenQuiet(quiet));
    }

    private void acceptNow() {
        deadlines.cancel(acceptAgain);
        acceptAgain = null;
        listener.config().setAutoRead(true);
    }

    /** What had come by then has been read: the event loop may have stood still since. */
    private long readUntil() {
        return now() - deadlines.lateness();
    }

    private void closeResting() {
        List.copyOf(resting).forEach(FrontConnection::close);
        List.copyOf(strangers).forEach(FrontConnection::close);
    }

    // ---- For its connections

    void opened(FrontConnection connection) {
        metrics.add(Count.CLIENT_CONNECTIONS);
        // Guards against one ended as silent whose request lies unread in the same round of input.
        if (served() >= cap) {
            afterInput.execute(() -> {
                if (served() > cap) {
                    makeRoom();
                }
            });
        }
        connections.add(connection);
        fresh.add(connection);
        if (connections.size() >= cap + overCap) {
            pauseAccepting();
        }
    }

    private void pauseAccepting() {
        if (acceptAgain == null && listener.config().isAutoRead()) {
            listener.config().setAutoRead(false);
            acceptAgain = deadlines.after(ACCEPT_AGAIN, this::acceptAgain);
        }
    }

    /**
     * Closes the connection that will be missed least, if there is one: a stranger's, then one that has said nothing
     * for a while, then one that left half a request behind, then a client's between two requests, which sends what crosses
     * the close once more. One whose request goes on coming comes last, and only after 3 s.
     */
    private boolean makeRoom() {
        long readUntil = readUntil();
        long silentSince = readUntil - (connections.size() < cap + overCap ? SPARED : SPARED_IN_NEED);
        FrontConnection victim = first(strangers);
        victim = victim == null ? longSilent(fresh, silentSince) : victim;
        victim = victim == null ? longSilent(halfway, readUntil - SPARED) : victim;
        victim = victim == null ? first(resting) : victim;
        // Guards against a crowd that holds all places by a byte now and then.
        victim = victim != null ? victim : halfway.stream()
            .filter(c -> readUntil - c.beganAt() >= SPARED_MOVING).findFirst().orElse(null);
        if (victim == null) {
            return false;
        }
        metrics.add(Count.CLIENT_CONNECTIONS_EVICTED);
        // Guards against a request whose last byte crosses the end of its connection: its client is told.
        if (halfway.contains(victim)) {
            victim.turnBack();
        } else {
            victim.close();
        }
        return true;
    }

    /** How many connections have not begun to end. */
    private int served() {
        return connections.size() - ending.size();
    }

    /** Guards against a crowd that is heard out while nobody more can be let in: each has its moment, and no more. */
    private void cutOffEnding() {
        int most = cap + overCap - Math.min(ACCEPTED_AT_ONCE, overCap);
        for (FrontConnection connection : List.copyOf(ending)) {
            if (connections.size() <= most || now() - connection.endedAt() < SPARED_IN_NEED) {
                return;
            }
            closed(connection);     // at once: its end is told later
            connection.cutOff();
        }
    }

    /** The first that is not moving and has said nothing since a time; null where there is none. */
    private static FrontConnection longSilent(LinkedHashSet<FrontConnection> of, long since) {
        for (FrontConnection connection : of) {
            if (connection.heardAt() > since) {
                return null;
            }
            if (!connection.isMoving()) {
                return connection;
            }
        }
        return null;
    }

    private static FrontConnection first(LinkedHashSet<FrontConnection> of) {
        return of.isEmpty() ? null : of.iterator().next();
    }

    /** Guards against a flood that takes the descriptors of all others: while there is no room, none are accepted. */
    private void acceptAgain() {
        acceptAgain = null;
        boolean room = true;
        while (room && served() > cap) {
            room = makeRoom();
        }
        cutOffEnding();
        if (connections.size() < cap + overCap) {
            listener.config().setAutoRead(true);
        } else {
            acceptAgain = deadlines.after(ACCEPT_AGAIN, this::acceptAgain);
        }
    }

    /** A request has begun to come, and goes on. */
    void halfway(FrontConnection connection) {
        if (connections.contains(connection)) {
            leavesSets(connection);
            halfway.add(connection);
        }
    }

    void rests(FrontConnection connection) {
        if (connections.contains(connection)) {
            leavesSets(connection);
            (connection.isKnown() ? resting : strangers).add(connection);
        }
    }

    void works(FrontConnection connection) {
        leavesSets(connection);
    }

    /** It has begun to end, and is heard out. */
    void leaves(FrontConnection connection) {
        leavesSets(connection);
        if (connections.contains(connection)) {
            ending.add(connection);
        }
    }

    void closed(FrontConnection connection) {
        connections.remove(connection);
        leavesSets(connection);
    }

    private void leavesSets(FrontConnection connection) {
        fresh.remove(connection);
        halfway.remove(connection);
        strangers.remove(connection);
        resting.remove(connection);
        ending.remove(connection);
    }

    /** Whether a request of this id waits for its answer. */
    boolean isOpen(String id) {
        return openIds.contains(id);
    }

    void take(String id) {
        openIds.add(id);
    }

    void answered(String id) {
        openIds.remove(id);
    }

    /** Whether clients are to go elsewhere with what they send next. */
    boolean isLeaving() {
        return draining || handedOver;
    }

    /** Whether what is taken now would be open when we are killed. */
    boolean isPastLastAnswer() {
        return draining && (lastAnswers.hasBegun() || now() >= drainedFrom + lastAnswer);
    }

    /**
     * Whether a connection that is let in now may have waited for it, so that its client may have left meanwhile: there was
     * no room, or the event loop stood still.
     */
    boolean letsInLate() {
        return served() >= cap || deadlines.lateness() > FrontConnection.SETTLE;
    }

    /** Whether as many requests as connections are served wait for their answer: one more is turned away. */
    boolean isOverCap() {
        return openIds.size() >= cap;
    }

    /** What a client is told to wait that is turned away for want of room; 0 where it can't be told. */
    long comeBack() {
        return comeBack;
    }

    /** Whether the requests of a class come with a key. */
    boolean needsKey(int jobClass) {
        return keyed.contains(jobClass);
    }

    /** Guards against bodies that fill the heap: counts so many bytes more as held, if there is room for them. */
    boolean hold(int bytes) {
        if (bytes > 0 && held + bytes > maxHeld) {
            metrics.add(Count.BODIES_OVER_CAP);
            return false;
        }
        held += bytes;
        return true;
    }

    boolean isReady() {
        return notReady() == null;
    }

    /** Why requests can't be served here; null where they can. */
    public String notReady() {
        return draining ? "this process is ending" : !listener.isActive() ? "clients can't connect yet"
            : ready.getAsBoolean() ? null : "there is no list of runners yet";
    }

    /** Where clients connect. */
    public SocketAddress address() {
        return listener.localAddress();
    }

    /** Null where there is none. */
    Gate gate() {
        return gate;
    }

    Engine<Relay> engine() {
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
    int classOf(String name) {
        return Names.indexOf(classes, name);
    }

    /**
     * The number of a tenant; 0 where the settings name none. One that they do not name, and a request without, has no share:
     * it gets the number behind the last, is counted, and served as traffic beyond a share is.
     */
    int tenantOf(String name) {
        int tenant = Names.indexOf(tenants, name);
        if (tenant < 0 && !tenants.isEmpty()) {
            metrics.add(Count.TENANTS_UNKNOWN);
        }
        return tenant < 0 ? tenants.size() : tenant;
    }

    long patience(int jobClass) {
        return patience.get(jobClass);
    }
}
