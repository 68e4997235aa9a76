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

/** Where operators call: a listener of its own, with room of its own. */
public final class Console {
    /** A caller that has brought no whole line by then is closed. */
    static final long COMMAND_TIMEOUT_MICROS = 5_000_000;
    /** How long a caller that has its answer is heard out before it is closed. */
    static final long LINGER_MICROS = 1_000_000;

    private final EventLoopGroup loop;
    private final Deadlines deadlines;
    private final Metrics metrics;
    private final CommandHandler handler;
    private int maxConnections;
    /** Those that have no answer yet, the one that has waited longest first; then those that are heard out. */
    private final LinkedHashSet<ConsoleConnection> waiting = new LinkedHashSet<>();
    private final LinkedHashSet<ConsoleConnection> lingering = new LinkedHashSet<>();
    private Channel listener;

    /** Makes a console that does not listen yet; {@code cap} bounds how many callers there are at once. */
    public Console(EventLoopGroup loop, Deadlines deadlines, Metrics metrics, CommandHandler handler, int cap) {
        this.loop = loop;
        this.deadlines = deadlines;
        this.metrics = metrics;
        this.handler = handler;
        this.maxConnections = cap;
    }

    /** Listens on this address only. */
    public ChannelFuture listen(InetSocketAddress at) {
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
            // Guards against a batch that is accepted whole before the first of it is counted: one after another.
            .option(ChannelOption.RECVBUF_ALLOCATOR, new ServerChannelRecvByteBufAllocator())
            .option(ChannelOption.SO_BACKLOG, 256).option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true).childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .childHandler(new ChannelInitializer<SocketChannel>() {
                @Override protected void initChannel(SocketChannel channel) {
                    channel.pipeline().addLast(new ConsoleConnection(Console.this, channel));
                }
            }).bind(at);
        listener = bound.channel();
        return bound;
    }

    /** Where it listens; null where it does not. */
    public SocketAddress address() {
        return listener == null ? null : listener.localAddress();
    }

    /** Bounds how many callers there are at once from here on. */
    public void setMaxConnections(int most) {
        maxConnections = most;
    }

    /** Takes no more callers; those who wait still get their answer. */
    public void close() {
        listener.close();
    }

    // ---- For its callers

    /** Guards against callers that hold all places with half a call: who comes gets the place of who waited longest. */
    void onOpened(ConsoleConnection caller) {
        if (waiting.size() + lingering.size() >= maxConnections) {
            ConsoleConnection victim = (lingering.isEmpty() ? waiting : lingering).iterator().next();
            metrics.increment(Count.CONSOLE_CALLERS_EVICTED);
            onClosed(victim);
            victim.close();
        }
        waiting.add(caller);
    }

    void onAnswered(ConsoleConnection caller) {
        if (waiting.remove(caller)) {
            lingering.add(caller);
        }
    }

    void onClosed(ConsoleConnection caller) {
        waiting.remove(caller);
        lingering.remove(caller);
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
