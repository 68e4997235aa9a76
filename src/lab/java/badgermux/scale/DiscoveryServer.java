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
 * A stand-in for discovery in the platform's form: the whole list, and watches that bring changes. Each dispatcher has a
 * port of its own, which tells who asks. It can fall silent for some, be late, drop answers, and begin its revisions anew.
 * All state is used on its one event loop.
 */
final class DiscoveryServer {
    private static final Pattern WATCH_QUERY = Pattern.compile("[?&]since=(\\d+)|[?&]timeout_ms=(\\d+)");
    private static final long MAX_WAIT_MS = 60_000;

    /** A watch that waits for news. */
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
    private final ChangePropagation ledger;
    private final TrafficCounter traffic;
    private final UniformRandomProvider random;
    private final BackendEntry[] entries;
    /** The worker of each change; the change's number is its place, counted from 1. */
    private final List<Integer> changedBackends = new ArrayList<>();
    private final List<Watch> openWatches = new ArrayList<>();
    private final List<List<Connection>> connections = new ArrayList<>();
    private final boolean[] isSilentFor;
    /** What a change's number is above its revision; changes up to it come with the whole list only. */
    private long revisionOffset;

    DiscoveryServer(EventLoop loop, FleetLayout layout, ScaleOptions options, ChangePropagation ledger, TrafficCounter traffic) {
        this.loop = loop;
        this.layout = layout;
        this.options = options;
        this.ledger = ledger;
        this.traffic = traffic;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(options.seed);
        entries = new BackendEntry[options.workers];
        isSilentFor = new boolean[options.allDispatchers()];
        for (int d = 0; d < options.allDispatchers(); d++) {
            connections.add(new ArrayList<>());
        }
    }

    /** Listens for one dispatcher; the port. */
    int listen(int dispatcher) throws InterruptedException {
        Channel channel = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.TCP_NODELAY, true).childHandler(new ChannelInitializer<SocketChannel>() {
                @Override protected void initChannel(SocketChannel accepted) {
                    accepted.pipeline().addLast(new Connection(dispatcher));
                }
            }).bind("127.0.0.1", 0).sync().channel();
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** A worker's entry is new or has changed, and all who watch are told; the change's number, on the event loop. */
    long publish(int worker, BackendEntry entry) {
        entries[worker] = entry;
        changedBackends.add(worker);
        long number = ledger.addChange(System.nanoTime());
        List<Watch> told = List.copyOf(openWatches);
        openWatches.clear();
        told.forEach(this::answer);
        return number;
    }

    /** Whether a dispatcher hears nothing from here on; the connections that it had are reset when it does again. */
    void setSilent(int dispatcher, boolean silent) {
        isSilentFor[dispatcher] = silent;
        if (!silent) {
            List.copyOf(connections.get(dispatcher)).forEach(HttpServerConnection::reset);
        }
    }

    /** Goes down and comes back with revisions that begin anew. */
    void restartRevisions() {
        openWatches.clear();
        revisionOffset = changedBackends.size() - 1L;
        connections.forEach(all -> List.copyOf(all).forEach(HttpServerConnection::reset));
    }

    private long revision() {
        return changedBackends.size() - revisionOffset;
    }

    private void receiveWatch(Connection connection, long since, long waitMs) {
        ledger.recordWatch(connection.dispatcher, since == 0 || since > revision() ? 0 : since + revisionOffset, System.nanoTime());
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
        ledger.told(dispatcher, changedBackends.size(), System.nanoTime());
        watch.connection.write(message);
    }

    /** The entries that changed after a revision, or all where that one is not known. */
    private String listJson(long since, int port) {
        boolean complete = since <= 0 || since > revision();
        Set<Integer> members = new LinkedHashSet<>(complete
            ? IntStream.range(0, entries.length).filter(w -> entries[w] != null && !entries[w].isDeleted()).boxed().toList()
            : changedBackends.subList((int) (since + revisionOffset), changedBackends.size()));
        StringBuilder json = new StringBuilder("{\"revision\":").append(revision()).append(",\"complete\":").append(complete)
            .append(",\"members\":[");
        String separator = "";
        for (int worker : members) {
            json.append(separator).append(entries[worker].json(port));
            separator = ",";
        }
        return json.append("]}").toString();
    }

    /** A dispatcher's connection. */
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
