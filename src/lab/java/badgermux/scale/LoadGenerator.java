package badgermux.scale;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The clients of one real dispatcher. They send requests at a mean rate, and measure the response time of GET /healthz, which
 * shows delays of the event loop.
 */
final class LoadGenerator {
    private static final long HEALTH_INTERVAL_MS = 250;
    private static final long RESPONSE_GRACE_MS = 5_000;
    private static final long MAX_RECORDED_MICROS = 60_000_000;
    private static final String BODY = "x".repeat(200);

    final AtomicLong asked = new AtomicLong();
    final AtomicLong served = new AtomicLong();
    final AtomicLong synthetic = new AtomicLong();
    final AtomicLong failed = new AtomicLong();
    final AtomicLong lost = new AtomicLong();
    final AtomicLong resent = new AtomicLong();
    final Histogram health = new ConcurrentHistogram(MAX_RECORDED_MICROS, 3);
    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "clients");
        thread.setDaemon(true);
        return thread;
    });
    private final Supplier<RealDispatcher> dispatcher;
    private final RequestIds ids;
    private final ZigguratSampler.Exponential gaps;
    private final double rate;
    private final long timeoutMs;
    private volatile boolean isPaused;
    private long requestDue;

    /** {@code dispatcher} supplies the process to use, which changes with a restart; {@code number} is its number. */
    LoadGenerator(Supplier<RealDispatcher> dispatcher, int number, double rate, long timeoutMs, long seed) {
        this.dispatcher = dispatcher;
        this.rate = rate;
        this.timeoutMs = timeoutMs;
        ids = new RequestIds(number, 0);
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 7_919 + number);
        gaps = ZigguratSampler.Exponential.of(random);
    }

    void start() {
        requestDue = System.nanoTime();
        scheduleRequest();
        timer.scheduleWithFixedDelay(this::probeHealth, HEALTH_INTERVAL_MS, HEALTH_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Stops sending requests, or resumes. */
    void setPaused(boolean paused) {
        isPaused = paused;
    }

    /** Returns the number of requests without an outcome. */
    long openCount() {
        return asked.get() - served.get() - synthetic.get() - failed.get() - lost.get();
    }

    void close() {
        timer.shutdownNow();
    }

    private void scheduleRequest() {
        requestDue += (long) (gaps.sample() * 1e9 / rate);
        timer.schedule(this::request, Math.max(0, requestDue - System.nanoTime()), TimeUnit.NANOSECONDS);
    }

    private void request() {
        scheduleRequest();
        if (!isPaused) {
            asked.incrementAndGet();
            send(ids.next(), true);
        }
    }

    private void send(String id, boolean maySendAgain) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + dispatcher.get().port() + "/"
            + FleetLayout.CLASS)).timeout(Duration.ofMillis(timeoutMs + RESPONSE_GRACE_MS)).header("X-Request-ID", id)
            .header("X-Timeout", timeoutMs + "m").POST(HttpRequest.BodyPublishers.ofString(BODY)).build();
        client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
            .whenComplete((response, error) -> handleResponse(id, maySendAgain, response, error));
    }

    /**
     * Counts a response, or sends the request once more after an error other than a timeout: a dispatcher may close an idle
     * connection while a request is on its way, and the platform's clients repeat the request then.
     */
    private void handleResponse(String id, boolean maySendAgain, HttpResponse<String> response, Throwable error) {
        if (response != null) {
            count(response.statusCode());
        } else if (maySendAgain && !(cause(error) instanceof HttpTimeoutException)) {
            resent.incrementAndGet();
            send(id, false);
        } else {
            lost.incrementAndGet();
        }
    }

    private static Throwable cause(Throwable error) {
        return error instanceof CompletionException ? error.getCause() : error;
    }

    private void count(int status) {
        (status == 200 ? served : status == 503 || status == 429 ? synthetic : failed).incrementAndGet();
    }

    private void probeHealth() {
        if (isPaused) {
            return;
        }
        long startNanos = System.nanoTime();
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + dispatcher.get().port() + "/healthz"))
            .timeout(Duration.ofMillis(RESPONSE_GRACE_MS)).build();
        client.sendAsync(request, HttpResponse.BodyHandlers.discarding()).thenAccept(response ->
            health.recordValue(Math.min(MAX_RECORDED_MICROS, (System.nanoTime() - startNanos) / 1_000)));
    }
}
