package badgermux.capacity;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** A stub discovery service and a stub backend on loopback, for one dispatcher of the built jar. */
final class StubServers implements AutoCloseable {
    private static final String LOAD_REPORT = "TEXT x0=4, x1=2048, latency_ms=20, qps=2.5";

    private final HttpServer discovery;
    private final HttpServer backend;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final BlockingQueue<String> pendingLists = new LinkedBlockingQueue<>();
    private final AtomicLong sentListCount = new AtomicLong();
    private final AtomicLong probeCount = new AtomicLong();
    private final AtomicLong watchCount = new AtomicLong();

    StubServers() throws IOException {
        discovery = createServer();
        discovery.createContext("/v1/servers", this::answerWatch);
        backend = createServer();
        backend.createContext("/load", exchange -> {
            probeCount.incrementAndGet();
            reply(exchange, LOAD_REPORT);
        });
        backend.createContext("/", this::answerRequest);
        discovery.start();
        backend.start();
    }

    private HttpServer createServer() throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 1024);
        server.setExecutor(threads);
        return server;
    }

    /** Address of the discovery service, as HOST:PORT. */
    String discoveryAddress() {
        return "127.0.0.1:" + discovery.getAddress().getPort();
    }

    /** Address of the backend, as HOST:PORT. */
    String backendAddress() {
        return "127.0.0.1:" + backend.getAddress().getPort();
    }

    /** Queues a list with which the discovery service answers one watch, at once or when the watch comes. */
    void pushList(String list) {
        pendingLists.add(list);
    }

    /** Number of lists sent completely. */
    long sentListCount() {
        return sentListCount.get();
    }

    /** Number of probes received. */
    long probeCount() {
        return probeCount.get();
    }

    /** Number of watches received. */
    long watchCount() {
        return watchCount.get();
    }

    /** Answers a watch with the next queued list, or without entries when the watch times out. */
    private void answerWatch(HttpExchange exchange) throws IOException {
        watchCount.incrementAndGet();
        String query = exchange.getRequestURI().getQuery();
        long timeoutMs = Long.parseLong(query.replaceAll(".*timeout_ms=", ""));
        String since = query.replaceAll(".*since=(\\d+).*", "$1");
        try {
            String list = pendingLists.poll(timeoutMs, TimeUnit.MILLISECONDS);
            reply(exchange, list != null ? list : "{\"revision\":" + since + ",\"complete\":false,\"members\":[]}");
            sentListCount.addAndGet(list == null ? 0 : 1);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Answers a request that starts and is done at once. */
    private void answerRequest(HttpExchange exchange) throws IOException {
        exchange.getRequestBody().readAllBytes();
        String id = exchange.getRequestHeaders().getFirst("X-Request-ID");
        reply(exchange, "{\"id\":\"" + id + "\",\"from\":\"s\",\"state\":\"started\"}\n{\"id\":\"" + id
            + "\",\"from\":\"s\",\"state\":\"done\",\"result\":\"" + "r".repeat(64) + "\"}\n");
    }

    private static void reply(HttpExchange exchange, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(200, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    @Override public void close() {
        discovery.stop(0);
        backend.stop(0);
        threads.shutdownNow();
    }
}
