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
 * A backend that only simulates work: it accepts attempts, ends each after its run time, answers probes with load reports, and
 * can drain, crash and start again cold. All state is confined to its event loop.
 */
final class HollowBackend {
    /** Number of attempts in the queue at which a further one is rejected. */
    private static final int MAX_QUEUED = 16;
    private static final int ACCEPT_BACKLOG = 16;
    private static final String NOT_PROCESSED = "X-Not-Processed: 1\r\n";

    enum Phase { SERVING, DRAINING, DOWN }

    /** An accepted attempt, until the end of its response. */
    private static final class AcceptedAttempt {
        private final String id;
        private final Connection connection;
        /** Whether the dispatcher has closed the connection. */
        private boolean isAbandoned;

        AcceptedAttempt(String id, Connection connection) {
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
    private final ArrayDeque<AcceptedAttempt> queued = new ArrayDeque<>();
    /** Whether the port with each index is cut off. */
    private final boolean[] isCutOff;
    private Phase phase = Phase.DOWN;
    /** Number of the simulated process, which grows with each crash; attempts that started in an earlier process are lost. */
    private int processNumber;
    private int running;
    /** The {@link System#nanoTime} of the last cold start; 0 if the backend started warm. */
    private long coldSinceNanos;
    /** Null while the backend is warm. */
    private SendRules.ColdBudget coldBudget;
    /** The number of the change of the backend list that announced the drain; 0 for none. */
    private long drainChange;

    HollowBackend(int number, EventLoop loop, int portCount, double meanRunMs, TrafficCounter traffic, SendRules rules) {
        this.number = number;
        this.loop = loop;
        this.portCount = portCount;
        this.meanRunMs = meanRunMs;
        this.traffic = traffic;
        this.rules = rules;
        isCutOff = new boolean[portCount];
        for (int p = 0; p < portCount; p++) {
            connections.add(new HashSet<>());
        }
    }

    EventLoop loop() {
        return loop;
    }

    /** Starts listening. Returns the ports, which the system chooses. */
    int[] listen() throws InterruptedException {
        int[] ports = new int[portCount];
        listeners.clear();
        for (int p = 0; p < portCount; p++) {
            int portIndex = p;
            Channel channel = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG).childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override protected void initChannel(SocketChannel accepted) {
                        accepted.pipeline().addLast(new Connection(portIndex));
                    }
                }).bind("127.0.0.1", 0).sync().channel();
            listeners.add(channel);
            ports[p] = ((InetSocketAddress) channel.localAddress()).getPort();
        }
        return ports;
    }

    /** Starts serving, cold or warm. */
    void start(boolean cold) {
        phase = Phase.SERVING;
        coldSinceNanos = cold ? System.nanoTime() : 0;
        coldBudget = cold ? new SendRules.ColdBudget(meanRunMs) : null;
        drainChange = 0;
    }

    /**
     * Starts draining, and sends the queued attempts back to their dispatchers. {@code change} is the number of the change of the
     * backend list that announces the drain.
     */
    void drain(long change) {
        phase = Phase.DRAINING;
        rules.recordDrain();
        drainChange = change;
        for (AcceptedAttempt attempt = queued.poll(); attempt != null; attempt = queued.poll()) {
            sendLine(attempt, "returned", "");
            endResponse(attempt);
        }
    }

    boolean isIdle() {
        return running == 0 && queued.isEmpty();
    }

    /** Simulates a crash of the machine: connections are reset, and new ones are refused. */
    void crash() {
        phase = Phase.DOWN;
        processNumber++;
        running = 0;
        queued.clear();
        listeners.forEach(Channel::close);
        connections.forEach(ofPort -> List.copyOf(ofPort).forEach(HttpServerConnection::reset));
    }

    /**
     * Cuts off the dispatchers that use one of the ports, or ends the cut. Connections stay open without any response, and
     * new ones succeed only up to the system's accept backlog. When the cut ends, the old connections are reset.
     */
    void setCutOff(int portIndex, boolean cutOff) {
        isCutOff[portIndex] = cutOff;
        if (phase == Phase.DOWN) {
            return;
        }
        listeners.get(portIndex).config().setAutoRead(!cutOff);
        for (Connection connection : List.copyOf(connections.get(portIndex))) {
            if (cutOff) {
                connection.stopReading();
            } else {
                connection.reset();
            }
        }
    }

    private void answerProbe(Connection connection) {
        String report = "TEXT x0=" + (FleetLayout.SLOTS - running) + ", inflight=" + running + ", queue=" + queued.size()
            + ", recent_ms=" + meanRunMs;
        ByteBuf response = MessageEncoder.response(200, "OK", "", report.getBytes(StandardCharsets.US_ASCII), true);
        traffic.recordOut(TrafficCounter.Purpose.PROBES, response.readableBytes());
        connection.write(response);
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
        connection.attempt = new AcceptedAttempt(id, connection);
        queued.add(connection.attempt);
        startQueued();
    }

    private void startQueued() {
        while (running < FleetLayout.SLOTS && !queued.isEmpty()) {
            AcceptedAttempt attempt = queued.poll();
            if (!attempt.isAbandoned) {
                run(attempt);
            }
        }
    }

    private void run(AcceptedAttempt attempt) {
        running++;
        sendLine(attempt, "started", "");
        int startedInProcess = processNumber;
        long runMicros = (long) (1_000 * warmRunMs(attempt.id) / SendRules.capacityShare(coldSinceNanos, System.nanoTime()));
        loop.schedule(() -> {
            if (processNumber == startedInProcess) {
                running--;
                sendLine(attempt, "done", ",\"result\":\"ok\"");
                endResponse(attempt);
                startQueued();
            }
        }, runMicros, TimeUnit.MICROSECONDS);
    }

    /** Returns the run time of a request on a warm backend. It follows from the id, so all its attempts take the same time. */
    private double warmRunMs(String id) {
        double draw = (Names.hash(id) >>> 11) * 0x1p-53;
        return meanRunMs * (FleetLayout.MIN_RUN_FACTOR + draw * (FleetLayout.MAX_RUN_FACTOR - FleetLayout.MIN_RUN_FACTOR));
    }

    private void sendLine(AcceptedAttempt attempt, String state, String moreFields) {
        String line = "{\"id\":\"" + attempt.id + "\",\"from\":\"s-" + number + "\",\"state\":\"" + state + '"' + moreFields
            + "}\n";
        send(attempt.connection, Unpooled.copiedBuffer(Integer.toHexString(line.length()) + "\r\n" + line + "\r\n",
            StandardCharsets.ISO_8859_1));
    }

    private void endResponse(AcceptedAttempt attempt) {
        attempt.connection.attempt = null;
        send(attempt.connection, Unpooled.copiedBuffer("0\r\n\r\n", StandardCharsets.ISO_8859_1));
    }

    private void send(Connection connection, ByteBuf message) {
        traffic.recordOut(TrafficCounter.Purpose.ATTEMPTS, message.readableBytes());
        connection.write(message);
    }

    /** A connection of a dispatcher. */
    private final class Connection extends HttpServerConnection {
        private final int portIndex;
        private AcceptedAttempt attempt;

        Connection(int portIndex) {
            this.portIndex = portIndex;
            connections.get(portIndex).add(this);
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

        /** Drops a queued attempt; a running one keeps its slot until its end. */
        @Override void onClosed() {
            connections.get(portIndex).remove(this);
            if (attempt != null) {
                attempt.isAbandoned = true;
                queued.remove(attempt);
            }
        }
    }
}
