package badgermux.front;

import badgermux.core.Deadlines;
import badgermux.metrics.Metrics;
import badgermux.metrics.Metrics.Count;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Accepts client connections while there is room for them, pauses while there is none, and tells how long each may have waited
 * in the socket's queue.
 */
final class Acceptor implements ListenerChannel.Observer {
    /** Decides about the room for connections. */
    interface Admission {
        /** Returns how many more connections there is room for. */
        int room();

        /**
         * Closes connections to make room; called after a pause.
         *
         * @param isUrgent  whether connections may have waited in the queue for so long that their requests are at risk
         * @param hasFailed whether an accept has failed although there was room
         */
        void makeRoom(boolean isUrgent, boolean hasFailed);

        /** Returns the time up to which input that had arrived has been read, in microseconds. */
        long inputReadUntilMicros();
    }

    /** Connections that the queue of a listening socket of this process holds; the system may allow fewer. */
    private static final int QUEUE_CAPACITY = 1024;
    /** How long accepting pauses when there is no room. */
    private static final long PAUSE_MICROS = 5_000;
    /**
     * Connections that may have waited for longer make the next room urgent. An attempt may begin 0.1 s after its client has
     * left; requests are lost half a second after their time.
     */
    private static final long URGENT_WAIT_MICROS = 100_000;
    /** Connections accepted in one round of the event loop, which has other work, too. */
    private static final int MAX_ACCEPTS_PER_LOOP = 64;
    /** Reads of one connection per round of the event loop: Netty's default. A request with its body takes fewer. */
    private static final int MAX_READS_PER_LOOP = 16;
    /** Least and initial size of a read, in bytes: Netty's defaults. */
    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2048;
    /** Largest size of a read, in bytes; with {@link #MAX_READS_PER_LOOP} it bounds a connection's share of a round. */
    private static final int MAX_READ_BYTES = 16 * 1024;

    private final LongSupplier clock;
    private final Deadlines deadlines;
    private final Metrics metrics;
    private final Admission admission;
    private ListenerChannel listener;
    private AcceptQueue queue;
    /** Ends a pause; null if there is none. */
    private Deadlines.Deadline pauseTimer;
    /** Whether an accept has failed since the last pause. */
    private boolean hasFailed;
    /** How often the event loop has found the listening socket ready to accept. */
    private long lookCount;

    /** Creates an acceptor that does not listen yet. */
    Acceptor(LongSupplier clock, Deadlines deadlines, Metrics metrics, Admission admission) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.metrics = metrics;
        this.admission = admission;
        metrics.registerGauge("accept_wait_max_ms",
            () -> queue == null ? 0 : TimeUnit.MICROSECONDS.toMillis(queue.maxWaitMicros()));
    }

    /** Listens on an address; the future completes when it is bound. */
    ChannelFuture listen(EventLoopGroup loop, InetSocketAddress address, ChannelInitializer<SocketChannel> connections) {
        queue = new AcceptQueue(QUEUE_CAPACITY);
        queue.unattendedSince(clock.getAsLong());
        listener = new ListenerChannel(this);
        return bootstrap(loop, connections).channelFactory(() -> listener).option(ChannelOption.SO_BACKLOG, QUEUE_CAPACITY)
            .option(ChannelOption.SO_REUSEADDR, true).bind(address).addListener(bound -> checkWhetherEmpty());
    }

    /**
     * Accepts from a listening socket that other processes hold, too.
     *
     * @param startAccepting    whether to accept at once; otherwise accepting starts with {@link #resume}
     * @param queuedSinceMicros since when connections may have waited in the socket's queue; 0 if that is unknown
     */
    ChannelFuture listen(EventLoopGroup loop, ServerSocketChannel socket, boolean startAccepting, long queuedSinceMicros,
            ChannelInitializer<SocketChannel> connections) {
        queue = new AcceptQueue(Long.MAX_VALUE);
        queue.unattendedSince(queuedSinceMicros);
        listener = new ListenerChannel(socket, this);
        return bootstrap(loop, connections).channelFactory(() -> listener)
            .option(ChannelOption.AUTO_READ, startAccepting).register().addListener(registered -> checkWhetherEmpty());
    }

    private ServerBootstrap bootstrap(EventLoopGroup loop, ChannelInitializer<SocketChannel> connections) {
        // Reads all input that has arrived, so that a client's disconnect is read in the same round as the request before it.
        RecvByteBufAllocator readAllInput = new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES,
            MAX_READ_BYTES).respectMaybeMoreData(false).maxMessagesPerRead(MAX_READS_PER_LOOP);
        return new ServerBootstrap().group(loop).childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, readAllInput)
            .option(ChannelOption.RECVBUF_ALLOCATOR,
                new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(MAX_ACCEPTS_PER_LOOP))
            .handler(new AcceptFailureHandler(this::onAcceptFailed)).childHandler(connections);
    }

    @Override public int room(int pendingCount) {
        lookCount++;
        return admission.room() - pendingCount;
    }

    @Override public void onNoRoom() {
        pause();
    }

    @Override public void onQueueEmpty() {
        queue.seenEmpty();
    }

    @Override public long onAccepted() {
        return queue.accepted(clock.getAsLong(), admission.inputReadUntilMicros());
    }

    private void onAcceptFailed() {
        metrics.increment(Count.ACCEPT_FAILURES);
        hasFailed = true;
        pause();
    }

    /** Stops accepting for a short time. */
    private void pause() {
        if (pauseTimer == null && listener.config().isAutoRead()) {
            metrics.increment(Count.ACCEPT_PAUSES);
            queue.unattendedSince(admission.inputReadUntilMicros());
            listener.config().setAutoRead(false);
            pauseTimer = deadlines.scheduleAfter(PAUSE_MICROS, this::endPause);
        }
    }

    /** Accepts again, or pauses once more if no room can be made. */
    private void endPause() {
        admission.makeRoom(queue.waitMicros(clock.getAsLong()) > URGENT_WAIT_MICROS, hasFailed);
        hasFailed = false;
        if (admission.room() > 0) {
            resume();
        } else {
            pauseTimer = deadlines.scheduleAfter(PAUSE_MICROS, this::endPause);
        }
    }

    /** Pauses if there is no room. */
    void pauseIfFull() {
        if (admission.room() <= 0) {
            pause();
        }
    }

    /** Stops accepting: connections wait in the queue from here on. */
    void stop() {
        deadlines.cancel(pauseTimer);
        pauseTimer = null;
        queue.unattendedSince(admission.inputReadUntilMicros());
        listener.config().setAutoRead(false);
    }

    /** Accepts, also if accepting has been stopped or pauses. */
    void resume() {
        deadlines.cancel(pauseTimer);
        pauseTimer = null;
        listener.config().setAutoRead(true);
        checkWhetherEmpty();
    }

    /**
     * Notes that the queue is empty if the next round of input finds nothing to accept. Nothing is accepted here: connections
     * that were closed in this round hold their descriptors until the event loop selects again.
     */
    private void checkWhetherEmpty() {
        listener.eventLoop().execute(() -> {
            long lookCountBefore = lookCount;
            deadlines.scheduleAfterNextRound(() -> {
                if (lookCount == lookCountBefore && listener.config().isAutoRead()) {
                    queue.seenEmpty();
                }
            });
        });
    }

    /** Returns since when connections may wait in the queue; 0 if that is unknown. */
    long queuedSinceMicros() {
        return queue.arrivedSinceMicros(admission.inputReadUntilMicros());
    }

    /**
     * Another process that holds the socket, too, has told since when connections may wait in the queue. Only used while this
     * process does not accept; 0 tells nothing.
     */
    void otherProcessReportsQueue(long queuedSinceMicros) {
        if (!listener.config().isAutoRead() && pauseTimer == null) {
            queue.emptiedByOtherProcess(queuedSinceMicros);
        }
    }

    /** Closes the listening socket. */
    void close() {
        listener.close();
    }

    /** Whether clients can connect. */
    boolean isListening() {
        return listener.isActive();
    }

    /** Returns the address that clients connect to. */
    SocketAddress address() {
        return listener.localAddress();
    }
}
