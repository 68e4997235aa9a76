package badgermux.scale;

import badgermux.http.MessageEncoder;
import badgermux.http.MessageHead;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A stand-in for the discovery service. It serves the complete backend list, and watches that return changes. Each dispatcher
 * has its own port, which identifies it. The server can stop answering some dispatchers, delay or drop answers, and restart
 * its revisions. All state is confined to its event loop.
 */
final class DiscoveryServer {
    private static final Pattern WATCH_QUERY = Pattern.compile("[?&]since=(\\d+)|[?&]timeout_ms=(\\d+)");
    private static final long MAX_WAIT_MS = 60_000;

    /** A watch request. */
    private static final class Watch {
        private final Connection connection;
        private final long since;
        private boolean isAnswered;

        Watch(Connection connection, long since) {
            this.connection = connection;
            this.since = since;
        }
    }

    private final EventLoop loop;
    private final FleetLayout layout;
    private final ScaleOptions options;
    private final ChangePropagation propagation;
    private final TrafficCounter traffic;
    private final UniformRandomProvider random;
    private final BackendEntry[] entries;
    /** The backend of each change. The number of a change is its position in this list, counted from 1. */
    private final List<Integer> changedBackends = new ArrayList<>();
    private final List<Watch> openWatches = new ArrayList<>();
    private final List<List<Connection>> connections = new ArrayList<>();
    private final boolean[] isSilentFor;
    /** The number of a change minus its revision. Changes up to this number are sent only with the complete list. */
    private long revisionOffset;

    DiscoveryServer(EventLoop loop, FleetLayout layout, ScaleOptions options, ChangePropagation propagation,
            TrafficCounter traffic) {
        this.loop = loop;
        this.layout = layout;
        this.options = options;
        this.propagation = propagation;
        this.traffic = traffic;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(options.seed);
        entries = new BackendEntry[options.workers];
        isSilentFor = new boolean[options.allDispatchers()];
        for (int d = 0; d < options.allDispatchers(); d++) {
            connections.add(new ArrayList<>());
        }
    }

    /** Starts listening for one dispatcher, and returns the port. */
    int listen(int dispatcher) throws InterruptedException {
        Channel channel = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.TCP_NODELAY, true).childHandler(new ChannelInitializer<SocketChannel>() {
                @Override protected void initChannel(SocketChannel accepted) {
                    accepted.pipeline().addLast(new Connection(dispatcher));
                }
            }).bind("127.0.0.1", 0).sync().channel();
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /**
     * Adds or replaces the entry of a backend, and answers all open watches. Returns the number of the change. Called on the
     * event loop.
     */
    long publish(int backend, BackendEntry entry) {
        entries[backend] = entry;
        changedBackends.add(backend);
        long number = propagation.addChange(System.nanoTime());
        List<Watch> watches = List.copyOf(openWatches);
        openWatches.clear();
        watches.forEach(this::answer);
        return number;
    }

    /** Stops answering a dispatcher, or answers it again; its old connections are reset then. */
    void setSilent(int dispatcher, boolean silent) {
        isSilentFor[dispatcher] = silent;
        if (!silent) {
            List.copyOf(connections.get(dispatcher)).forEach(HttpServerConnection::reset);
        }
    }

    /** Simulates a restart of discovery: connections are reset, and revisions start again. */
    void restartRevisions() {
        openWatches.clear();
        revisionOffset = changedBackends.size() - 1L;
        connections.forEach(ofDispatcher -> List.copyOf(ofDispatcher).forEach(HttpServerConnection::reset));
    }

    private long revision() {
        return changedBackends.size() - revisionOffset;
    }

    private void receiveWatch(Connection connection, long since, long waitMs) {
        propagation.recordWatch(connection.dispatcher, since == 0 || since > revision() ? 0 : since + revisionOffset,
            System.nanoTime());
        Watch watch = new Watch(connection, since);
        if (since != revision() || waitMs == 0) {
            answer(watch);
            return;
        }
        openWatches.add(watch);
        loop.schedule(() -> {
            if (openWatches.remove(watch)) {
                answer(watch);
            }
        }, Math.min(MAX_WAIT_MS, waitMs), TimeUnit.MILLISECONDS);
    }

    private void answer(Watch watch) {
        if (options.listDelayMs == 0) {
            answerNow(watch);
        } else {
            loop.schedule(() -> answerNow(watch), options.listDelayMs, TimeUnit.MILLISECONDS);
        }
    }

    private void answerNow(Watch watch) {
        int dispatcher = watch.connection.dispatcher;
        if (watch.isAnswered || isSilentFor[dispatcher]) {
            return;
        }
        watch.isAnswered = true;
        if (options.listDrop > 0 && random.nextDouble() < options.listDrop) {
            watch.connection.reset();
            return;
        }
        byte[] body = listJson(watch.since, layout.portForDispatcher(dispatcher)).getBytes(StandardCharsets.UTF_8);
        ByteBuf message = MessageEncoder.response(200, "OK", "Content-Type: application/json\r\n", body, true);
        traffic.recordOut(TrafficCounter.Purpose.LISTS, message.readableBytes());
        propagation.recordAnswer(dispatcher, changedBackends.size(), System.nanoTime());
        watch.connection.write(message);
    }

    /** Returns the entries that changed after a revision, or the complete list if the revision is unknown. */
    private String listJson(long since, int port) {
        boolean complete = since <= 0 || since > revision();
        Set<Integer> members = new LinkedHashSet<>(complete
            ? IntStream.range(0, entries.length).filter(index -> entries[index] != null && !entries[index].isDeleted()).boxed()
                .toList()
            : changedBackends.subList((int) (since + revisionOffset), changedBackends.size()));
        StringBuilder json = new StringBuilder("{\"revision\":").append(revision()).append(",\"complete\":").append(complete)
            .append(",\"members\":[");
        String separator = "";
        for (int backend : members) {
            json.append(separator).append(entries[backend].json(port));
            separator = ",";
        }
        return json.append("]}").toString();
    }

    /** A connection of a dispatcher. */
    private final class Connection extends HttpServerConnection {
        private final int dispatcher;

        Connection(int dispatcher) {
            this.dispatcher = dispatcher;
            connections.get(dispatcher).add(this);
        }

        @Override void onRequest(MessageHead head, long bytes) {
            if (isSilentFor[dispatcher]) {
                return;
            }
            traffic.recordIn(TrafficCounter.Purpose.LISTS, bytes);
            long since = 0;
            long waitMs = 0;
            Matcher matcher = WATCH_QUERY.matcher(head.startLine());
            while (matcher.find()) {
                since = matcher.group(1) != null ? Long.parseLong(matcher.group(1)) : since;
                waitMs = matcher.group(2) != null ? Long.parseLong(matcher.group(2)) : waitMs;
            }
            receiveWatch(this, since, waitMs);
        }

        @Override void onClosed() {
            connections.get(dispatcher).remove(this);
            openWatches.removeIf(watch -> watch.connection == this);
        }
    }
}
