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
 * Requests a second and latencies through the real jar, with and without a description, in turns in one run; then the
 * latencies of small requests while a description of 13 MB is set and first used. Closed loop for the rate, an open loop
 * of intended times for the latencies. All on loopback: stand-in backends and a discovery service that knows no news.
 * Arguments: JAR SECONDS ROUNDS, or {@code pair} OLD NEW SECONDS ROUNDS for the rates of two jars without anything set.
 */
public final class Saturate {
    private static final String SETTINGS = "{\"Zone\":0,\"FailureDomains\":[\"east\"],\"Kinds\":[\"k\"],\"Discovery\":"
        + "\"on_request\",\"Report\":{\"How\":\"silent\",\"Columns\":[]},\"Customers\":[],\"Ceilings\":{\"MaxAttempts\":3,"
        + "\"Cancel\":true,\"RetryAfter\":true,\"MaxRetryAfterMs\":2000,\"ConnIdleMs\":15000,\"ConnectTimeoutMs\":250},"
        + "\"RequestClasses\":[{\"Name\":\"preview\",\"Effect\":\"repeatable\",\"TargetMs\":4000,\"GiveUpMs\":5000}]}";
    private static final String SMALL_DESCRIPTION = "{\"openapi\":\"3.1.0\",\"paths\":{\"/preview/{paper}\":{\"post\":{\"parameters\":["
        + "{\"name\":\"paper\",\"in\":\"path\",\"required\":true,\"schema\":{\"type\":\"string\"}}],\"requestBody\":{\"content\":"
        + "{\"application/json\":{\"schema\":{\"type\":\"object\",\"required\":[\"a\"],\"properties\":{\"a\":{\"type\":\"integer\"},"
        + "\"name\":{\"type\":\"string\",\"maxLength\":64},\"tags\":{\"type\":\"array\",\"items\":{\"type\":\"string\"}}}}}}}}}}}";
    private static final byte[] REQUEST_BODY = "{\"a\":1,\"name\":\"a story's name\",\"tags\":[\"x\",\"y\",\"z\"]}"
        .getBytes(StandardCharsets.UTF_8);

    private final MultiThreadIoEventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final AtomicLong lastRequestId = new AtomicLong(1);
    private final AtomicLong responseCount = new AtomicLong();
    private final AtomicLong non200Count = new AtomicLong();

    private Saturate() { }

    /** One dispatcher under test. */
    private record Dispatcher(Process process, int port, int adminPort) { }

    public static void main(String[] args) throws Exception {
        if (args[0].equals("pair")) {
            new Saturate().compareJars(args[1], args[2], Integer.parseInt(args[3]), Integer.parseInt(args[4]));
        } else {
            new Saturate().measureContracts(args[0], Integer.parseInt(args[1]), Integer.parseInt(args[2]));
        }
        System.exit(0);
    }

    /** What the second jar serves of the first one's rate, in turns. */
    private void compareJars(String old, String fresh, int seconds, int rounds) throws Exception {
        String members = startBackends();
        int discovery = startStub(false);
        Dispatcher before = start(old, members, discovery, false);
        Dispatcher after = start(fresh, members, discovery, false);
        measureRate(before, seconds);
        measureRate(after, seconds);
        List<Double> one = new ArrayList<>();
        List<Double> two = new ArrayList<>();
        List<Double> ratios = new ArrayList<>();
        for (int i = 0; i < rounds; i++) {
            one.add(measureRate(before, seconds));
            two.add(measureRate(after, seconds));
            ratios.add(two.get(i) / one.get(i));
        }
        System.out.printf(Locale.ROOT, "requests a second: old %.0f, new %.0f, ratio %.3f (median of %d rounds, %.3f to %.3f), "
            + "answers other than 200: %d%n", median(one), median(two), median(ratios), rounds,
            ratios.stream().min(Double::compare).orElseThrow(), ratios.stream().max(Double::compare).orElseThrow(), non200Count.get());
        before.process.destroy();
        after.process.destroy();
    }

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

    private void measureContracts(String jar, int seconds, int rounds) throws Exception {
        String members = startBackends();
        int discovery = startStub(false);
        Dispatcher without = start(jar, members, discovery, false);
        Dispatcher with = start(jar, members, discovery, true);
        putDescription(with, "small", SMALL_DESCRIPTION);
        List<Double> plain = new ArrayList<>();
        List<Double> judged = new ArrayList<>();
        List<Double> ratios = new ArrayList<>();
        measureRate(without, seconds);
        measureRate(with, seconds);
        for (int i = 0; i < rounds; i++) {
            plain.add(measureRate(without, seconds));
            judged.add(measureRate(with, seconds));
            ratios.add(judged.get(i) / plain.get(i));
        }
        System.out.printf(Locale.ROOT, "requests a second: without %.0f, with a description %.0f, ratio %.3f (median of %d "
            + "rounds), answers other than 200: %d%n", median(plain), median(judged), median(ratios), rounds, non200Count.get());
        measureLatencies(with, 4_000, () -> { });
        System.out.println("calm: " + measureLatencies(with, 10_000, () -> { }));
        String big = BigDescription.generate(1000, 13 << 20).replace("/preview/r", "/preview/big/r");
        long[] took = new long[1];
        Path file = Files.writeString(Files.createTempFile("big", ".json"), big);
        System.gc();
        System.out.println("while 13 MB are set and first used: " + measureLatencies(with, 15_000, () -> {
            long from = System.nanoTime();
            putFromOtherProcess(with, file);
            took[0] = System.nanoTime() - from;
            for (int i = 0; i < 20; i++) {
                sendOne(with, "/preview/big/r" + i * 37 + "/x", "{\"a\":1,\"next\":{\"a\":2,\"list\":[{\"a\":3}]}}");
            }
        }));
        System.out.printf(Locale.ROOT, "setting it took %.2f s%n", took[0] / 1e9);
        without.process.destroy();
        with.process.destroy();
    }

    private static double median(List<Double> of) {
        return of.stream().sorted().skip(of.size() / 2).findFirst().orElseThrow();
    }

    private static Dispatcher start(String jar, String members, int discovery, boolean admin) throws IOException {
        Path config = Files.createTempFile("saturate", ".json");
        Files.writeString(config, "{\"name\":\"n\",\"seed\":\"1f\",\"limits\":{\"sockets\":1024,\"memory_mb\":192},\"known\":{"
            + "\"revision\":1,\"complete\":true,\"members\":[" + members + "]},\"settings\":" + SETTINGS + "}");
        List<String> command = new ArrayList<>(List.of("java", "-Xmx1g", "-XX:MaxGCPauseMillis=5", "-jar", jar, "serve"));
        if (admin) {
            command.addAll(List.of("--admin", "127.0.0.1:0"));
        }
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().putAll(java.util.Map.of("GW_LISTEN", "127.0.0.1:0", "GW_DISCOVERY", "127.0.0.1:" + discovery,
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
                Thread drain = new Thread(() -> log.lines().forEach(rest -> { }));
                drain.setDaemon(true);
                drain.start();
                return new Dispatcher(process, port, adminPort);
            }
        }
        throw new IOException("the program did not start");
    }

    private static void putDescription(Dispatcher to, String name, String text) {
        try {
            HttpURLConnection call = (HttpURLConnection) URI.create("http://127.0.0.1:" + to.adminPort + "/v1/contracts/" + name)
                .toURL().openConnection();
            call.setRequestMethod("PUT");
            call.setDoOutput(true);
            call.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            if (call.getResponseCode() != 201) {
                throw new IOException("PUT " + name + ": " + call.getResponseCode());
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** By a process of its own: this one's collections must not count. */
    private static void putFromOtherProcess(Dispatcher to, Path file) {
        try {
            int status = new ProcessBuilder("curl", "-sf", "-o", "/dev/null", "-T", file.toString(), "http://127.0.0.1:"
                + to.adminPort + "/v1/contracts/big").start().waitFor();
            if (status != 0) {
                throw new IOException("curl ended with " + status);
            }
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private void sendOne(Dispatcher to, String path, String body) {
        try {
            HttpURLConnection call = (HttpURLConnection) URI.create("http://127.0.0.1:" + to.port + path).toURL()
                .openConnection();
            call.setRequestMethod("POST");
            call.setDoOutput(true);
            call.setRequestProperty("X-Request-ID", String.format("%016x", lastRequestId.incrementAndGet()));
            call.setRequestProperty("Content-Type", "application/json");
            call.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
            if (call.getResponseCode() != 200) {
                throw new IOException(path + ": " + call.getResponseCode());
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    // ---- Load

    private double measureRate(Dispatcher on, int seconds) throws InterruptedException {
        List<Channel> channels = connect(on, 32, null);
        TimeUnit.MILLISECONDS.sleep(500);
        long before = responseCount.get();
        long from = System.nanoTime();
        TimeUnit.SECONDS.sleep(seconds);
        double rate = (responseCount.get() - before) * 1e9 / (System.nanoTime() - from);
        for (Channel channel : channels) {
            channel.close().sync();
        }
        return rate;
    }

    private List<Channel> connect(Dispatcher to, int count, Histogram histogram) throws InterruptedException {
        List<Channel> channels = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Channel channel = new Bootstrap().group(eventLoops).channel(NioSocketChannel.class)
                .handler(new LoadConnection(histogram == null, histogram)).connect("127.0.0.1", to.port).sync().channel();
            channels.add(channel);
        }
        return channels;
    }

    /** So many requests, one a millisecond on 16 connections in turn, each timed from when it was meant to go. */
    private String measureLatencies(Dispatcher on, int count, Runnable meanwhile) throws InterruptedException {
        Histogram histogram = new ConcurrentHistogram(60_000_000L, 3);
        List<Channel> channels = connect(on, 16, histogram);
        Thread other = new Thread(meanwhile);
        other.start();
        long from = System.nanoTime() + 1_000_000;
        for (int i = 0; i < count; i++) {
            long at = from + i * 1_000_000L;
            while (System.nanoTime() < at) {
                Thread.onSpinWait();
            }
            Channel channel = channels.get(i % channels.size());
            channel.eventLoop().execute(() -> channel.pipeline().get(LoadConnection.class).request(at));
        }
        other.join();
        TimeUnit.MILLISECONDS.sleep(500);
        for (Channel channel : channels) {
            channel.close().sync();
        }
        return String.format(Locale.ROOT, "%d requests, p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms, worst %.2f ms",
            histogram.getTotalCount(), histogram.getValueAtPercentile(50) / 1e3, histogram.getValueAtPercentile(99) / 1e3,
            histogram.getValueAtPercentile(99.9) / 1e3, histogram.getMaxValue() / 1e3);
    }

    /** A client's connection: closed loop, or one request when it is told to, timed. */
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

        void request(long meantFor) {
            intendedSendTimes.add(meantFor);
            if (intendedSendTimes.size() == 1) {
                writeRequest();
            }
        }

        private void writeRequest() {
            context.writeAndFlush(Unpooled.wrappedBuffer(("POST /preview/nhan-dan HTTP/1.1\r\nHost: h\r\nX-Request-ID: "
                + String.format("%016x", lastRequestId.incrementAndGet()) + "\r\nX-Timeout: 5000m\r\nContent-Type: application/json\r\n"
                + "Content-Length: " + REQUEST_BODY.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1), REQUEST_BODY));
        }

        @Override public void channelRead(ChannelHandlerContext ctx, Object message) throws InvalidMessageException {
            ByteBuf in = (ByteBuf) message;
            while (in.isReadable() && reader.read(in)) {
                responseCount.incrementAndGet();
                long meantFor = intendedSendTimes.remove();
                if (histogram != null) {
                    histogram.recordValue((System.nanoTime() - meantFor) / 1000);
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

    // ---- Stand-ins

    private int startStub(boolean backend) throws InterruptedException {
        Channel channel = new ServerBootstrap().group(eventLoops).channel(NioServerSocketChannel.class)
            .childHandler(new ChannelInitializer<SocketChannel>() {
                @Override protected void initChannel(SocketChannel ch) {
                    ch.pipeline().addLast(new StubHandler(backend));
                }
            }).bind("127.0.0.1", 0).sync().channel();
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** A backend that is done at once, or a discovery service that never has news. */
    private static final class StubHandler extends ChannelInboundHandlerAdapter implements MessageReader.Listener {
        private final MessageReader reader = new MessageReader(false, 65_536, this);
        private final boolean backend;
        private String id;

        StubHandler(boolean backend) {
            this.backend = backend;
        }

        @Override public void channelRead(ChannelHandlerContext ctx, Object message) throws InvalidMessageException {
            ByteBuf in = (ByteBuf) message;
            while (in.isReadable() && reader.read(in)) {
                if (backend) {
                    byte[] line = ("{\"id\":\"" + id + "\",\"from\":\"s\",\"state\":\"done\",\"result\":\"r\"}\n")
                        .getBytes(StandardCharsets.UTF_8);
                    ctx.writeAndFlush(Unpooled.wrappedBuffer(("HTTP/1.1 200 OK\r\nContent-Length: " + line.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1), line));
                }
            }
            in.release();
        }

        @Override public void onHead(MessageHead head) {
            id = head.get("X-Request-ID");
        }

        @Override public void onBody(byte[] bytes) { }
    }
}
