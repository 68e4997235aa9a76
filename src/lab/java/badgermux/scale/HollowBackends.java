package badgermux.scale;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.IntUnaryOperator;
import java.util.stream.IntStream;

/**
 * All workers, and what befalls them. Discovery is told as late as a failure detector would; all is called on the
 * thread of the steps.
 */
final class HollowBackends {
    private static final long DETECTION_DELAY_MS = 1_000, DETECTION_SPREAD_MS = 2_000, REPLACEMENT_DELAY_MS = 10_000, RESTART_DELAY_MS = 5_000;
    /** One that drains stays up for longer than sends may go on, so that late ones are seen. */
    private static final long MIN_DRAIN_MS = 3 * FleetLayout.STOP_SENDING_MS, DRAIN_POLL_MS = 200;

    private final FleetLayout layout;
    private final EventLoop discoveryLoop;
    private final DiscoveryServer discovery;
    private final StepScheduler steps;
    private final long maxDrainMs;
    private final List<HollowBackend> backends = new ArrayList<>();
    private final BackendEntry[] entries;
    private final boolean[] isBusy;

    HollowBackends(ScaleOptions options, FleetLayout layout, EventLoopGroup loops, EventLoop discoveryLoop,
            DiscoveryServer discovery, StepScheduler steps, TrafficCounter traffic, SendRules rules) {
        this.layout = layout;
        this.discoveryLoop = discoveryLoop;
        this.discovery = discovery;
        this.steps = steps;
        maxDrainMs = options.giveUpMs();
        entries = new BackendEntry[options.workers];
        isBusy = new boolean[options.workers];
        for (int w = 0; w < options.workers; w++) {
            backends.add(new HollowBackend(w, loops.next(), layout.portsPerBackend(), options.meanRunMs(), traffic, rules));
        }
    }

    void startAll() throws InterruptedException {
        for (int w = 0; w < backends.size(); w++) {
            start(w, false);
        }
    }

    private void start(int w, boolean cold) throws InterruptedException {
        HollowBackend worker = backends.get(w);
        int[] ports = worker.listen();
        worker.loop().execute(() -> worker.start(cold));
        publish(w, new BackendEntry(String.format("s-%08x", w * 0x9e3779b1), ports, FleetLayout.zoneName(layout.zoneOfBackend(w)),
            "SERVING", cold ? System.currentTimeMillis() : 0));
    }

    private long publish(int w, BackendEntry entry) throws InterruptedException {
        entries[w] = entry;
        try {
            return discoveryLoop.submit(() -> discovery.publish(w, entry)).get();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    /** One that is up and to which nothing is happening; -1 where none is found in a few draws. */
    int pickAvailable(IntUnaryOperator draw) {
        return IntStream.range(0, 20).map(i -> draw.applyAsInt(backends.size())).filter(w -> !isBusy[w]).findFirst().orElse(-1);
    }

    /** Its machine fails, and another takes its place cold. */
    void fail(int w) {
        isBusy[w] = true;
        backends.get(w).loop().execute(backends.get(w)::crash);
        steps.scheduleMs(DETECTION_DELAY_MS, () -> publish(w, entries[w].withPhase("DELETED")));
        steps.scheduleMs(REPLACEMENT_DELAY_MS, () -> returnCold(w));
    }

    /** It drains, ends, and comes back cold. */
    void restart(int w) throws InterruptedException {
        isBusy[w] = true;
        HollowBackend worker = backends.get(w);
        long change = publish(w, entries[w].withPhase("DRAINING"));
        worker.loop().execute(() -> worker.drain(change));
        long limit = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(maxDrainMs);
        steps.scheduleMs(MIN_DRAIN_MS, () -> awaitDrained(w, limit));
    }

    private void awaitDrained(int w, long limit) {
        HollowBackend worker = backends.get(w);
        steps.scheduleMs(DRAIN_POLL_MS, () -> {
            boolean[] idle = new boolean[1];
            worker.loop().submit(() -> idle[0] = worker.isIdle()).await();
            if (!idle[0] && System.nanoTime() < limit) {
                awaitDrained(w, limit);
                return;
            }
            publish(w, entries[w].withPhase("DELETED"));
            steps.scheduleMs(DETECTION_DELAY_MS, () -> worker.loop().execute(worker::crash));
            steps.scheduleMs(RESTART_DELAY_MS, () -> returnCold(w));
        });
    }

    private void returnCold(int w) throws InterruptedException {
        start(w, true);
        isBusy[w] = false;
    }

    /** Cuts off workers, each for the users of some of its ports; discovery's detectors miss those listed, one by one. */
    void cut(int[] which, int[] ports, boolean off) {
        for (int w : which) {
            HollowBackend worker = backends.get(w);
            worker.loop().execute(() -> Arrays.stream(ports).forEach(port -> worker.cut(port, off)));
        }
    }

    void publishCut(int[] which, boolean off) {
        for (int i = 0; i < which.length; i++) {
            int w = which[i];
            if (off && isBusy[w]) {
                continue;
            }
            isBusy[w] = off;
            steps.scheduleMs(DETECTION_DELAY_MS + DETECTION_SPREAD_MS * i / which.length, () -> publish(w, entries[w].withPhase(off ? "DELETED" : "SERVING")));
        }
    }
}
