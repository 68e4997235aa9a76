package badgermux.console;

import badgermux.core.Deadlines;
import badgermux.metrics.Metrics;
import badgermux.metrics.Metrics.Count;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.LinkedHashSet;

/** The operators' console: a listener on its own address, with its own limit on connections. */
public final class Console {
    /** A connection on which no complete line arrives in this time is closed. */
    static final long COMMAND_TIMEOUT_MICROS = 5_000_000;
    /** How long the console waits after its reply for the other side to close the connection. */
    static final long LINGER_MICROS = 1_000_000;

    private final EventLoopGroup loop;
    private final Deadlines deadlines;
    private final Metrics metrics;
    private final CommandHandler handler;
    private int maxConnections;
    /** Connections without a reply yet, the oldest first. */
    private final LinkedHashSet<ConsoleConnection> awaitingReply = new LinkedHashSet<>();
    /** Connections that have their reply and are not closed yet, the oldest first. */
    private final LinkedHashSet<ConsoleConnection> lingering = new LinkedHashSet<>();
    private Channel listener;

    /** Creates a console that does not listen yet. */
    public Console(EventLoopGroup loop, Deadlines deadlines, Metrics metrics, CommandHandler handler, int maxConnections) {
        this.loop = loop;
        this.deadlines = deadlines;
        this.metrics = metrics;
        this.handler = handler;
        this.maxConnections = maxConnections;
    }

    /** Starts to listen on an address. */
    public ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
            // Accepts one connection per read, so that each is counted before the next is accepted.
            .option(ChannelOption.RECVBUF_ALLOCATOR, new ServerChannelRecvByteBufAllocator())
            .option(ChannelOption.SO_BACKLOG, 256).option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true).childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .childHandler(new ChannelInitializer<SocketChannel>() {
                @Override protected void initChannel(SocketChannel channel) {
                    channel.pipeline().addLast(new ConsoleConnection(Console.this, channel));
                }
            }).bind(address);
        listener = bound.channel();
        return bound;
    }

    /** Returns the address that the console listens on; null where it does not listen. */
    public SocketAddress address() {
        return listener == null ? null : listener.localAddress();
    }

    /** Sets the limit for connections opened from here on. */
    public void setMaxConnections(int newMaxConnections) {
        maxConnections = newMaxConnections;
    }

    /** Stops accepting connections; open ones still get their reply. */
    public void close() {
        listener.close();
    }

    // ---- Called by connections

    /**
     * Registers a connection. At the limit, the oldest connection that has its reply is closed, or the oldest of all if none
     * has one. If none was closed, connections that never complete a line could keep operators from connecting.
     */
    void onOpened(ConsoleConnection connection) {
        if (awaitingReply.size() + lingering.size() >= maxConnections) {
            ConsoleConnection oldest = (lingering.isEmpty() ? awaitingReply : lingering).iterator().next();
            metrics.increment(Count.CONSOLE_CALLERS_EVICTED);
            onClosed(oldest);
            oldest.close();
        }
        awaitingReply.add(connection);
    }

    void onAnswered(ConsoleConnection connection) {
        if (awaitingReply.remove(connection)) {
            lingering.add(connection);
        }
    }

    void onClosed(ConsoleConnection connection) {
        awaitingReply.remove(connection);
        lingering.remove(connection);
    }

    CommandHandler handler() {
        return handler;
    }

    Deadlines deadlines() {
        return deadlines;
    }

    Metrics metrics() {
        return metrics;
    }
}
