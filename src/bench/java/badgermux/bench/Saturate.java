package badgermux.bench;

import badgermux.http.InvalidMessageException;
import badgermux.http.MessageHead;
import badgermux.http.MessageReader;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Measures the throughput of the built jar with and without an API description, alternating within one run, and then the
 * latencies of small requests, also while a description of 13 MB is installed and first used. Throughput is measured with a
 * closed loop; latencies are measured with an open loop, from the intended send times. Everything runs on loopback, with
 * stub backends and a stub discovery service that never answers.
 * Arguments: JAR SECONDS ROUNDS, or {@code pair} OLD NEW SECONDS ROUNDS to compare the throughput of two jars without
 * descriptions.
 */
public final class Saturate {
    private static final String SETTINGS = "{\"Zone\":0,\"FailureDomains\":[\"east\"],\"Kinds\":[\"k\"],\"Discovery\":"
        + "\"on_request\",\"Report\":{\"How\":\"silent\",\"Columns\":[]},\"Customers\":[],\"Ceilings\":{\"MaxAttempts\":3,"
        + "\"Cancel\":true,\"RetryAfter\":true,\"MaxRetryAfterMs\":2000,\"ConnIdleMs\":15000,\"ConnectTimeoutMs\":250},"
        + "\"RequestClasses\":[{\"Name\":\"preview\",\"Effect\":\"repeatable\",\"TargetMs\":4000,\"GiveUpMs\":5000}]}";
    private static final String SMALL_DESCRIPTION = "{\"openapi\":\"3.1.0\",\"paths\":{\"/preview/{paper}\":{\"post\":{"
        + "\"parameters\":[{\"name\":\"paper\",\"in\":\"path\",\"required\":true,\"schema\":{\"type\":\"string\"}}],"
        + "\"requestBody\":{\"content\":"
        + "{\"application/json\":{\"schema\":{\"type\":\"object\",\"required\":[\"a\"],"
        + "\"properties\":{\"a\":{\"type\":\"integer\"},\"name\":{\"type\":\"string\",\"maxLength\":64},"
        + "\"tags\":{\"type\":\"array\",\"items\":{\"type\":\"string\"}}}}}}}}}}}";
    private static final byte[] REQUEST_BODY = "{\"a\":1,\"name\":\"a story's name\",\"tags\":[\"x\",\"y\",\"z\"]}"
        .getBytes(StandardCharsets.UTF_8);

    private final MultiThreadIoEventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final AtomicLong lastRequestId = new AtomicLong(1);
    private final AtomicLong responseCount = new AtomicLong();
    private final AtomicLong non200Count = new AtomicLong();

    private Saturate() { }

    /** A running dispatcher; {@code adminPort} is 0 without an admin API. */
    private record Dispatcher(Process process, int port, int adminPort) { }

    public static void main(String[] args) throws Exception {
        if (args[0].equals("pair")) {
            new Saturate().compareJars(args[1], args[2], Integer.parseInt(args[3]), Integer.parseInt(args[4]));
        } else {
            new Saturate().measureContracts(args[0], Integer.parseInt(args[1]), Integer.parseInt(args[2]));
        }
        System.exit(0);
    }

    /** Measures two jars alternately and prints the ratio of the new jar's throughput to the old one's. */
    private void compareJars(String oldJar, String newJar, int seconds, int rounds) throws Exception {
        String members = startBackends();
        int discovery = startStub(false);
        Dispatcher oldDispatcher = start(oldJar, members, discovery, false);
        Dispatcher newDispatcher = start(newJar, members, discovery, false);
        measureRate(oldDispatcher, seconds);
        measureRate(newDispatcher, seconds);
        List<Double> oldRates = new ArrayList<>();
        List<Double> newRates = new ArrayList<>();
        List<Double> ratios = new ArrayList<>();
        for (int i = 0; i < rounds; i++) {
            oldRates.add(measureRate(oldDispatcher, seconds));
            newRates.add(measureRate(newDispatcher, seconds));
            ratios.add(newRates.get(i) / oldRates.get(i));
        }
        System.out.printf(Locale.ROOT, "requests a second: old %.0f, new %.0f, ratio %.3f (median of %d rounds, %.3f to %.3f), "
            + "responses other than 200: %d%n", median(oldRates), median(newRates), median(ratios),
            rounds, ratios.stream().min(Double::compare).orElseThrow(),
            ratios.stream().max(Double::compare).orElseThrow(), non200Count.get());
        oldDispatcher.process.destroy();
        newDispatcher.process.destroy();
    }

    /** Starts eight stub backends and returns their entries for the backend list. */
    private String startBackends() throws InterruptedException {
        StringBuilder members = new StringBuilder();
        for (int i = 0; i < 8; i++) {
            int port = startStub(true);
            members.append(i == 0 ? "" : ",").append("{\"id\":\"s-").append(i).append("\",\"host_port\":\"127.0.0.1:")
                .append(port).append("\",\"locality\":\"east\",\"flavor\":\"k\",\"cell\":0,\"phase\":\"SERVING\",\"size\":1.0,"
                + "\"up_since_ms\":0}");
        }
        return members.toString();
    }

    /** Measures throughput without and with a small description, then latencies while a large one is installed. */
    private void measureContracts(String jar, int seconds, int rounds) throws Exception {
        String members = startBackends();
        int discovery = startStub(false);
        Dispatcher without = start(jar, members, discovery, false);
        Dispatcher with = start(jar, members, discovery, true);
        putDescription(with, "small", SMALL_DESCRIPTION);
        List<Double> ratesWithout = new ArrayList<>();
        List<Double> ratesWith = new ArrayList<>();
        List<Double> ratios = new ArrayList<>();
        measureRate(without, seconds);
        measureRate(with, seconds);
        for (int i = 0; i < rounds; i++) {
            ratesWithout.add(measureRate(without, seconds));
            ratesWith.add(measureRate(with, seconds));
            ratios.add(ratesWith.get(i) / ratesWithout.get(i));
        }
        System.out.printf(Locale.ROOT, "requests a second: without a description %.0f, with one %.0f, ratio %.3f (median of %d "
            + "rounds), responses other than 200: %d%n", median(ratesWithout), median(ratesWith),
            median(ratios), rounds, non200Count.get());
        measureLatencies(with, 4_000, () -> { });
        System.out.println("latency before the large description: " + measureLatencies(with, 10_000, () -> { }));
        String big = BigDescription.generate(1000, 13 << 20).replace("/preview/r", "/preview/big/r");
        long[] installNanos = new long[1];
        Path file = Files.writeString(Files.createTempFile("big", ".json"), big);
        System.gc();
        System.out.println("latency while a description of 13 MB is installed and first used: "
            + measureLatencies(with, 15_000, () -> {
            long startNanos = System.nanoTime();
            putFromOtherProcess(with, file);
            installNanos[0] = System.nanoTime() - startNanos;
            for (int i = 0; i < 20; i++) {
                sendOne(with, "/preview/big/r" + i * 37 + "/x", "{\"a\":1,\"next\":{\"a\":2,\"list\":[{\"a\":3}]}}");
            }
        }));
        System.out.printf(Locale.ROOT, "installing it took %.2f s%n", installNanos[0] / 1e9);
        without.process.destroy();
        with.process.destroy();
    }

    private static double median(List<Double> values) {
        return values.stream().sorted().skip(values.size() / 2).findFirst().orElseThrow();
    }

    /** Starts a dispatcher process and waits until it listens. */
    private static Dispatcher start(String jar, String members, int discoveryPort, boolean admin) throws IOException {
        Path config = Files.createTempFile("saturate", ".json");
        Files.writeString(config, "{\"name\":\"n\",\"seed\":\"1f\",\"limits\":{\"sockets\":1024,\"memory_mb\":192},\"known\":{"
            + "\"revision\":1,\"complete\":true,\"members\":[" + members + "]},\"settings\":" + SETTINGS + "}");
        List<String> command = new ArrayList<>(List.of("java", "-Xmx1g", "-XX:MaxGCPauseMillis=5", "-jar", jar, "serve"));
        if (admin) {
            command.addAll(List.of("--admin", "127.0.0.1:0"));
        }
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().putAll(java.util.Map.of("GW_LISTEN", "127.0.0.1:0", "GW_DISCOVERY", "127.0.0.1:" + discoveryPort,
            "GW_CONFIG", config.toString()));
        builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
        Process process = builder.start();
        BufferedReader log = process.errorReader(StandardCharsets.UTF_8);
        int adminPort = 0;
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            int port = line.contains("listens on") ? Integer.parseInt(line.substring(line.lastIndexOf(':') + 1)) : 0;
            if (port > 0 && line.contains("admin")) {
                adminPort = port;
            } else if (port > 0) {
                // Keeps reading the log: the process would block on a full pipe.
                Thread logReader = new Thread(() -> log.lines().forEach(discarded -> { }));
                logReader.setDaemon(true);
                logReader.start();
                return new Dispatcher(process, port, adminPort);
            }
        }
        throw new IOException("the dispatcher ended before it listened");
    }

    private static void putDescription(Dispatcher dispatcher, String name, String text) {
        try {
            HttpURLConnection connection = (HttpURLConnection) URI.create("http://127.0.0.1:" + dispatcher.adminPort
                + "/v1/contracts/" + name).toURL().openConnection();
            connection.setRequestMethod("PUT");
            connection.setDoOutput(true);
            connection.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            if (connection.getResponseCode() != 201) {
                throw new IOException("PUT " + name + ": " + connection.getResponseCode());
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Installs a description by curl: garbage collections of this process would distort the measured latencies. */
    private static void putFromOtherProcess(Dispatcher dispatcher, Path file) {
        try {
            int status = new ProcessBuilder("curl", "-sf", "-o", "/dev/null", "-T", file.toString(), "http://127.0.0.1:"
                + dispatcher.adminPort + "/v1/contracts/big").start().waitFor();
            if (status != 0) {
                throw new IOException("curl exited with status " + status);
            }
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private void sendOne(Dispatcher dispatcher, String path, String body) {
        try {
            HttpURLConnection connection = (HttpURLConnection) URI.create("http://127.0.0.1:" + dispatcher.port + path)
                .toURL().openConnection();
            connection.setRequestMethod("POST");
            connection.setDoOutput(true);
            connection.setRequestProperty("X-Request-ID", String.format("%016x", lastRequestId.incrementAndGet()));
            connection.setRequestProperty("Content-Type", "application/json");
            connection.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
            if (connection.getResponseCode() != 200) {
                throw new IOException(path + ": " + connection.getResponseCode());
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    // ---- Load

    /** Returns the requests a second that 32 connections in a closed loop achieve. */
    private double measureRate(Dispatcher dispatcher, int seconds) throws InterruptedException {
        List<Channel> channels = connect(dispatcher, 32, null);
        TimeUnit.MILLISECONDS.sleep(500);
        long responsesBefore = responseCount.get();
        long startNanos = System.nanoTime();
        TimeUnit.SECONDS.sleep(seconds);
        double rate = (responseCount.get() - responsesBefore) * 1e9 / (System.nanoTime() - startNanos);
        for (Channel channel : channels) {
            channel.close().sync();
        }
        return rate;
    }

    /** Opens connections; without a histogram they run a closed loop. */
    private List<Channel> connect(Dispatcher dispatcher, int count, Histogram histogram) throws InterruptedException {
        List<Channel> channels = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Channel channel = new Bootstrap().group(eventLoops).channel(NioSocketChannel.class)
                .handler(new LoadConnection(histogram == null, histogram))
                .connect("127.0.0.1", dispatcher.port).sync().channel();
            channels.add(channel);
        }
        return channels;
    }

    /**
     * Sends one request a millisecond on 16 connections in turn while another thread runs a task. Latencies count from the
     * intended send times, so that a stall is not hidden by requests that are sent late.
     */
    private String measureLatencies(Dispatcher dispatcher, int count, Runnable concurrentTask) throws InterruptedException {
        Histogram histogram = new ConcurrentHistogram(60_000_000L, 3);
        List<Channel> channels = connect(dispatcher, 16, histogram);
        Thread taskThread = new Thread(concurrentTask);
        taskThread.start();
        long startNanos = System.nanoTime() + 1_000_000;
        for (int i = 0; i < count; i++) {
            long intendedNanos = startNanos + i * 1_000_000L;
            while (System.nanoTime() < intendedNanos) {
                Thread.onSpinWait();
            }
            Channel channel = channels.get(i % channels.size());
            channel.eventLoop().execute(() -> channel.pipeline().get(LoadConnection.class).request(intendedNanos));
        }
        taskThread.join();
        TimeUnit.MILLISECONDS.sleep(500);
        for (Channel channel : channels) {
            channel.close().sync();
        }
        return String.format(Locale.ROOT, "%d requests, p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms, max %.2f ms",
            histogram.getTotalCount(), histogram.getValueAtPercentile(50) / 1e3, histogram.getValueAtPercentile(99) / 1e3,
            histogram.getValueAtPercentile(99.9) / 1e3, histogram.getMaxValue() / 1e3);
    }

    /** A client connection that sends requests in a closed loop, or sends requested ones and records their latencies. */
    private final class LoadConnection extends ChannelInboundHandlerAdapter implements MessageReader.Listener {
        private final MessageReader reader = new MessageReader(true, 65_536, this);
        private final java.util.ArrayDeque<Long> intendedSendTimes = new java.util.ArrayDeque<>();
        private final boolean closedLoop;
        private final Histogram histogram;
        private ChannelHandlerContext context;

        LoadConnection(boolean closedLoop, Histogram histogram) {
            this.closedLoop = closedLoop;
            this.histogram = histogram;
        }

        @Override public void channelActive(ChannelHandlerContext ctx) {
            context = ctx;
            if (closedLoop) {
                request(0);
            }
        }

        /** Sends a request, or queues it while another is in flight. */
        void request(long intendedNanos) {
            intendedSendTimes.add(intendedNanos);
            if (intendedSendTimes.size() == 1) {
                writeRequest();
            }
        }

        private void writeRequest() {
            context.writeAndFlush(Unpooled.wrappedBuffer(("POST /preview/nhan-dan HTTP/1.1\r\nHost: h\r\nX-Request-ID: "
                + String.format("%016x", lastRequestId.incrementAndGet()) + "\r\nX-Timeout: 5000m\r\n"
                + "Content-Type: application/json\r\nContent-Length: " + REQUEST_BODY.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1), REQUEST_BODY));
        }

        @Override public void channelRead(ChannelHandlerContext ctx, Object message) throws InvalidMessageException {
            ByteBuf in = (ByteBuf) message;
            while (in.isReadable() && reader.read(in)) {
                responseCount.incrementAndGet();
                long intendedNanos = intendedSendTimes.remove();
                if (histogram != null) {
                    histogram.recordValue((System.nanoTime() - intendedNanos) / 1000);
                }
                if (closedLoop) {
                    request(0);
                } else if (!intendedSendTimes.isEmpty()) {
                    writeRequest();
                }
            }
            in.release();
        }

        @Override public void onHead(MessageHead head) throws InvalidMessageException {
            if (head.status() != 200) {
                non200Count.incrementAndGet();
            }
        }

        @Override public void onBody(byte[] bytes) { }
    }

    // ---- Stubs

    /** Starts a stub backend or a stub discovery service and returns its port. */
    private int startStub(boolean isBackend) throws InterruptedException {
        Channel channel = new ServerBootstrap().group(eventLoops).channel(NioServerSocketChannel.class)
            .childHandler(new ChannelInitializer<SocketChannel>() {
                @Override protected void initChannel(SocketChannel ch) {
                    ch.pipeline().addLast(new StubHandler(isBackend));
                }
            }).bind("127.0.0.1", 0).sync().channel();
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** A connection to a backend that completes requests at once, or to a discovery service that never answers. */
    private static final class StubHandler extends ChannelInboundHandlerAdapter implements MessageReader.Listener {
        private final MessageReader reader = new MessageReader(false, 65_536, this);
        private final boolean isBackend;
        private String requestId;

        StubHandler(boolean isBackend) {
            this.isBackend = isBackend;
        }

        @Override public void channelRead(ChannelHandlerContext ctx, Object message) throws InvalidMessageException {
            ByteBuf in = (ByteBuf) message;
            while (in.isReadable() && reader.read(in)) {
                if (isBackend) {
                    byte[] line = ("{\"id\":\"" + requestId + "\",\"from\":\"s\",\"state\":\"done\",\"result\":\"r\"}\n")
                        .getBytes(StandardCharsets.UTF_8);
                    ctx.writeAndFlush(Unpooled.wrappedBuffer(("HTTP/1.1 200 OK\r\nContent-Length: " + line.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1), line));
                }
            }
            in.release();
        }

        @Override public void onHead(MessageHead head) {
            requestId = head.get("X-Request-ID");
        }

        @Override public void onBody(byte[] bytes) { }
    }
}
