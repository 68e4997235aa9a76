package badgermux.scale;

import badgermux.core.Names;
import badgermux.http.MessageEncoder;
import badgermux.http.MessageHead;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * A worker without work: it takes attempts, lets each run for its time, tells reports, drains, dies and comes back cold.
 * All state is used on its one event loop.
 */
final class HollowBackend {
    private static final int MAX_QUEUED = 16, ACCEPT_BACKLOG = 16;
    private static final String NOT_PROCESSED = "X-Not-Processed: 1\r\n";

    enum Phase { SERVING, DRAINING, DOWN }

    /** A request that was taken, until its last line. */
    private static final class Task {
        private final String id;
        private final Connection connection;
        private boolean isAbandoned;

        Task(String id, Connection connection) {
            this.id = id;
            this.connection = connection;
        }
    }

    private final int number;
    private final EventLoop loop;
    private final int portCount;
    private final double meanRunMs;
    private final TrafficCounter traffic;
    private final SendRules rules;
    private final List<Channel> listeners = new ArrayList<>();
    private final List<Set<Connection>> connections = new ArrayList<>();
    private final ArrayDeque<Task> queued = new ArrayDeque<>();
    private final boolean[] cut;
    private Phase phase = Phase.DOWN;
    /** Counts its starts: what ran before the last one is gone. */
    private int processNumber;
    private int running;
    /** When it started cold, {@link System#nanoTime}; 0 for long ago. */
    private long coldSinceNanos;
    private SendRules.ColdBudget coldBudget;
    private long drainChange;

    HollowBackend(int number, EventLoop loop, int portCount, double meanRunMs, TrafficCounter traffic, SendRules rules) {
        this.number = number;
        this.loop = loop;
        this.portCount = portCount;
        this.meanRunMs = meanRunMs;
        this.traffic = traffic;
        this.rules = rules;
        cut = new boolean[portCount];
        for (int p = 0; p < portCount; p++) {
            connections.add(new HashSet<>());
        }
    }

    EventLoop loop() {
        return loop;
    }

    /** Starts to listen; the ports, from the system. */
    int[] listen() throws InterruptedException {
        int[] ports = new int[portCount];
        listeners.clear();
        for (int p = 0; p < portCount; p++) {
            int port = p;
            Channel channel = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG).childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override protected void initChannel(SocketChannel accepted) {
                        accepted.pipeline().addLast(new Connection(port));
                    }
                }).bind("127.0.0.1", 0).sync().channel();
            listeners.add(channel);
            ports[p] = ((InetSocketAddress) channel.localAddress()).getPort();
        }
        return ports;
    }

    void start(boolean isCold) {
        phase = Phase.SERVING;
        coldSinceNanos = isCold ? System.nanoTime() : 0;
        coldBudget = isCold ? new SendRules.ColdBudget(meanRunMs) : null;
        drainChange = 0;
    }

    /** It drains: {@code change} is the number under which discovery tells of it. */
    void drain(long change) {
        phase = Phase.DRAINING;
        rules.recordDrain();
        drainChange = change;
        for (Task task = queued.poll(); task != null; task = queued.poll()) {
            sendLine(task, "returned", "");
            endResponse(task);
        }
    }

    boolean isIdle() {
        return running == 0 && queued.isEmpty();
    }

    /** Its machine dies: connections are reset, new ones refused. */
    void crash() {
        phase = Phase.DOWN;
        processNumber++;
        running = 0;
        queued.clear();
        listeners.forEach(Channel::close);
        connections.forEach(all -> List.copyOf(all).forEach(HttpServerConnection::reset));
    }

    /**
     * Cuts off those who use one of its ports: connections stay open and silent, and new ones do not come up beyond the few
     * that the system holds. When it is healed, the connections of before are reset.
     */
    void cut(int port, boolean off) {
        cut[port] = off;
        if (phase == Phase.DOWN) {
            return;
        }
        listeners.get(port).config().setAutoRead(!off);
        for (Connection connection : List.copyOf(connections.get(port))) {
            if (off) {
                connection.stopReading();
            } else {
                connection.reset();
            }
        }
    }

    private void answerProbe(Connection connection) {
        String load = "TEXT x0=" + (FleetLayout.SLOTS - running) + ", inflight=" + running + ", queue=" + queued.size()
            + ", recent_ms=" + meanRunMs;
        ByteBuf answer = MessageEncoder.response(200, "OK", "", load.getBytes(StandardCharsets.US_ASCII), true);
        traffic.recordOut(TrafficCounter.Purpose.PROBES, answer.readableBytes());
        connection.write(answer);
    }

    private void receiveAttempt(Connection connection, String id) {
        rules.recordAttempt(Integer.parseInt(id.substring(0, RequestIds.DISPATCHER_DIGITS), 16), number, drainChange);
        if (coldBudget != null) {
            coldBudget = rules.recordColdWork(coldBudget, number, coldSinceNanos, warmRunMs(id));
        }
        if (phase == Phase.DRAINING || queued.size() >= MAX_QUEUED) {
            send(connection, MessageEncoder.response(503, "Service Unavailable", NOT_PROCESSED, new byte[0], true));
            return;
        }
        send(connection, Unpooled.copiedBuffer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            StandardCharsets.ISO_8859_1));
        connection.task = new Task(id, connection);
        queued.add(connection.task);
        startQueued();
    }

    private void startQueued() {
        while (running < FleetLayout.SLOTS && !queued.isEmpty()) {
            Task task = queued.poll();
            if (!task.isAbandoned) {
                run(task);
            }
        }
    }

    private void run(Task task) {
        running++;
        sendLine(task, "started", "");
        int startedIn = processNumber;
        long micros = (long) (1_000 * warmRunMs(task.id) / SendRules.capacityShare(coldSinceNanos, System.nanoTime()));
        loop.schedule(() -> {
            if (processNumber == startedIn) {
                running--;
                sendLine(task, "done", ",\"result\":\"ok\"");
                endResponse(task);
                startQueued();
            }
        }, micros, TimeUnit.MICROSECONDS);
    }

    /** How long a request runs when warm: drawn from its id, so that each attempt at it takes as long. */
    private double warmRunMs(String id) {
        double drawn = (Names.hash(id) >>> 11) * 0x1p-53;
        return meanRunMs * (FleetLayout.MIN_RUN_FACTOR + drawn * (FleetLayout.MAX_RUN_FACTOR - FleetLayout.MIN_RUN_FACTOR));
    }

    private void sendLine(Task task, String state, String more) {
        String line = "{\"id\":\"" + task.id + "\",\"from\":\"s-" + number + "\",\"state\":\"" + state + '"' + more + "}\n";
        send(task.connection, Unpooled.copiedBuffer(Integer.toHexString(line.length()) + "\r\n" + line + "\r\n",
            StandardCharsets.ISO_8859_1));
    }

    private void endResponse(Task task) {
        task.connection.task = null;
        send(task.connection, Unpooled.copiedBuffer("0\r\n\r\n", StandardCharsets.ISO_8859_1));
    }

    private void send(Connection connection, ByteBuf message) {
        traffic.recordOut(TrafficCounter.Purpose.ATTEMPTS, message.readableBytes());
        connection.write(message);
    }

    /** A dispatcher's connection. */
    private final class Connection extends HttpServerConnection {
        private final int port;
        private Task task;

        Connection(int port) {
            this.port = port;
            connections.get(port).add(this);
        }

        @Override void onRequest(MessageHead head, long bytes) {
            String id = head.get("X-Request-ID");
            traffic.recordIn(id == null ? TrafficCounter.Purpose.PROBES : TrafficCounter.Purpose.ATTEMPTS, bytes);
            if (id == null) {
                answerProbe(this);
            } else {
                receiveAttempt(this, id);
            }
        }

        /** What waits is dropped; what runs goes on, for nobody. */
        @Override void onClosed() {
            connections.get(port).remove(this);
            if (task != null) {
                task.isAbandoned = true;
                queued.remove(task);
            }
        }
    }
}
