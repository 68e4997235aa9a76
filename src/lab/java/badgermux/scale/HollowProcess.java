package badgermux.scale;

import badgermux.config.Config;
import badgermux.config.ConfigException;
import badgermux.metrics.Metrics;
import badgermux.metrics.Metrics.Count;
import com.google.gson.Gson;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A process that runs many hollow dispatchers on one event loop. The first line of standard input is its {@link Plan}; each
 * further line is an {@link Order}, and is answered by one line. The process exits at the end of its input, and therefore
 * also when its parent dies.
 */
final class HollowProcess {
    /** A command: start the requests, clear the recorded times, stop the requests, or report. */
    enum Order { GO, MARK, QUIET, REPORT }

    /**
     * The configuration of one process.
     *
     * @param first       the number of the first dispatcher
     * @param configs     the file for GW_CONFIG of each dispatcher
     * @param discovery   the port of discovery for each dispatcher
     * @param starts      how often the dispatchers were started before
     * @param rate        requests per second, over all dispatchers
     * @param connections the limit of connections to backends for each dispatcher
     */
    record Plan(int first, List<String> configs, List<Integer> discovery, int starts, double rate, int tenants,
        int connections, long seed) { }

    /**
     * The figures of one process.
     *
     * @param lost      requests without an answer so far
     * @param second    answers after the final one
     * @param loopLate  delays of a timer on the event loop
     * @param news      times of the policy for list updates
     * @param decisions times of the policy for other events
     */
    record Report(long asked, long served, long synthetic, long failed, long lost, long second, Times loopLate, Times news,
        Times decisions, long heapBytes, Map<Count, Long> counts) { }

    private static final long TICK_MS = 10;
    private static final long MAX_RECORDED_MICROS = 60_000_000;
    private static final Gson GSON = new Gson();

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Plan plan;
    private final List<HollowDispatcher> dispatchers = new ArrayList<>();
    private final HollowDispatcher.AnswerCounts answers = new HollowDispatcher.AnswerCounts();
    private final PolicyTimer policyTimer = new PolicyTimer();
    private final Histogram loopDelay = new Histogram(MAX_RECORDED_MICROS, 3);
    private final UniformRandomProvider random;
    private final ZigguratSampler.Exponential gaps;
    private Future<?> nextRequest;
    private long tickDue;
    private long requestDue;

    private HollowProcess(Plan plan) throws ConfigException {
        this.plan = plan;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(plan.seed + plan.first);
        gaps = ZigguratSampler.Exponential.of(random);
        for (int i = 0; i < plan.configs.size(); i++) {
            Config config = Config.read(Map.of("GW_CONFIG", plan.configs.get(i), "GW_LISTEN", "127.0.0.1:0",
                "GW_DISCOVERY", "127.0.0.1:" + plan.discovery.get(i)));
            dispatchers.add(new HollowDispatcher(loop, config, plan.connections, new RequestIds(plan.first + i, plan.starts),
                answers, policyTimer));
        }
    }

    public static void main(String[] args) throws Exception {
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        HollowProcess process = new HollowProcess(GSON.fromJson(in.readLine(), Plan.class));
        process.loop.submit(process::start).get();
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            System.out.println(process.execute(Order.valueOf(line)));
        }
        System.exit(0);
    }

    private void start() {
        dispatchers.forEach(HollowDispatcher::start);
        tickDue = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TICK_MS);
        loop.schedule(this::tick, TICK_MS, TimeUnit.MILLISECONDS);
    }

    /** Executes an order and returns the line that answers it. */
    private String execute(Order order) throws Exception {
        switch (order) {
            case GO -> loop.submit(this::startRequests).get();
            case MARK -> loop.submit(this::resetTimes).get();
            case QUIET -> loop.submit(() -> nextRequest.cancel(false)).get();
            default -> {
                long heap = heapBytes();
                return GSON.toJson(loop.submit(() -> report(heap)).get());
            }
        }
        return "{}";
    }

    private void resetTimes() {
        loopDelay.reset();
        policyTimer.listUpdates.reset();
        policyTimer.otherEvents.reset();
    }

    /** Measures the delay of a periodic timer, which shows how long the event loop is stalled. */
    private void tick() {
        long now = System.nanoTime();
        loopDelay.recordValue(Math.min(MAX_RECORDED_MICROS, Math.max(0, (now - tickDue) / 1_000)));
        tickDue = now + TimeUnit.MILLISECONDS.toNanos(TICK_MS);
        loop.schedule(this::tick, TICK_MS, TimeUnit.MILLISECONDS);
    }

    private void startRequests() {
        requestDue = System.nanoTime();
        scheduleRequest();
    }

    /** Schedules the next request relative to the due time of the last one, so a stall does not reduce the rate. */
    private void scheduleRequest() {
        requestDue += (long) (gaps.sample() * 1e9 / plan.rate);
        nextRequest = loop.schedule(this::request, Math.max(0, requestDue - System.nanoTime()), TimeUnit.NANOSECONDS);
    }

    private void request() {
        scheduleRequest();
        dispatchers.get(random.nextInt(dispatchers.size())).submitRequest(random.nextInt(Math.max(1, plan.tenants)));
    }

    private Report report(long heap) {
        Map<Count, Long> counts = new EnumMap<>(Count.class);
        for (HollowDispatcher dispatcher : dispatchers) {
            Metrics metrics = dispatcher.metrics();
            for (Count count : Count.values()) {
                counts.merge(count, metrics.get(count), Long::sum);
            }
        }
        counts.values().removeIf(count -> count == 0);
        return new Report(answers.asked, answers.served, answers.synthetic, answers.failed, answers.lost(), answers.repeated,
            Times.ofMicros(loopDelay), Times.ofMicros(policyTimer.listUpdates), Times.ofMicros(policyTimer.otherEvents), heap,
            counts);
    }

    /** Returns the size of the heap after a garbage collection. */
    private static long heapBytes() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
