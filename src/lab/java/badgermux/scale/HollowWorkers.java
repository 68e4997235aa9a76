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
final class HollowWorkers {
    private static final long DETECT_MS = 1_000, SPREAD_MS = 2_000, FAILED_FOR_MS = 10_000, RESTART_MS = 5_000;
    /** One that drains stays up for longer than sends may go on, so that late ones are seen. */
    private static final long SHORTEST_DRAIN_MS = 3 * Layout.STOP_SENDING_MS, DRAIN_LOOK_MS = 200;

    private final Layout layout;
    private final EventLoop discoveryLoop;
    private final DiscoveryServer discovery;
    private final Steps steps;
    private final long longestDrainMs;
    private final List<HollowWorker> workers = new ArrayList<>();
    private final WorkerEntry[] entries;
    private final boolean[] away;

    HollowWorkers(ScaleOptions options, Layout layout, EventLoopGroup loops, EventLoop discoveryLoop,
            DiscoveryServer discovery, Steps steps, Traffic traffic, RuleCheck rules) {
        this.layout = layout;
        this.discoveryLoop = discoveryLoop;
        this.discovery = discovery;
        this.steps = steps;
        longestDrainMs = options.giveUpMs();
        entries = new WorkerEntry[options.workers];
        away = new boolean[options.workers];
        for (int w = 0; w < options.workers; w++) {
            workers.add(new HollowWorker(w, loops.next(), layout.portsOfWorker(), options.meanRunMs(), traffic, rules));
        }
    }

    void startAll() throws InterruptedException {
        for (int w = 0; w < workers.size(); w++) {
            start(w, false);
        }
    }

    private void start(int w, boolean cold) throws InterruptedException {
        HollowWorker worker = workers.get(w);
        int[] ports = worker.listen();
        worker.loop().execute(() -> worker.start(cold));
        publish(w, new WorkerEntry(String.format("s-%08x", w * 0x9e3779b1), ports, Layout.zoneName(layout.zoneOfWorker(w)),
            "SERVING", cold ? System.currentTimeMillis() : 0));
    }

    private long publish(int w, WorkerEntry entry) throws InterruptedException {
        entries[w] = entry;
        try {
            return discoveryLoop.submit(() -> discovery.publish(w, entry)).get();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    /** One that is up and to which nothing is happening; -1 where none is found in a few draws. */
    int any(IntUnaryOperator draw) {
        return IntStream.range(0, 20).map(i -> draw.applyAsInt(workers.size())).filter(w -> !away[w]).findFirst().orElse(-1);
    }

    /** Its machine fails, and another takes its place cold. */
    void fail(int w) {
        away[w] = true;
        workers.get(w).loop().execute(workers.get(w)::die);
        steps.afterMs(DETECT_MS, () -> publish(w, entries[w].in("DELETED")));
        steps.afterMs(FAILED_FOR_MS, () -> back(w));
    }

    /** It drains, ends, and comes back cold. */
    void restart(int w) throws InterruptedException {
        away[w] = true;
        HollowWorker worker = workers.get(w);
        long change = publish(w, entries[w].in("DRAINING"));
        worker.loop().execute(() -> worker.drain(change));
        long limit = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(longestDrainMs);
        steps.afterMs(SHORTEST_DRAIN_MS, () -> awaitDrained(w, limit));
    }

    private void awaitDrained(int w, long limit) {
        HollowWorker worker = workers.get(w);
        steps.afterMs(DRAIN_LOOK_MS, () -> {
            boolean[] idle = new boolean[1];
            worker.loop().submit(() -> idle[0] = worker.isIdle()).await();
            if (!idle[0] && System.nanoTime() < limit) {
                awaitDrained(w, limit);
                return;
            }
            publish(w, entries[w].in("DELETED"));
            steps.afterMs(DETECT_MS, () -> worker.loop().execute(worker::die));
            steps.afterMs(RESTART_MS, () -> back(w));
        });
    }

    private void back(int w) throws InterruptedException {
        start(w, true);
        away[w] = false;
    }

    /** Cuts off workers, each for the users of some of its ports; discovery's detectors miss those listed, one by one. */
    void cut(int[] which, int[] ports, boolean off) {
        for (int w : which) {
            HollowWorker worker = workers.get(w);
            worker.loop().execute(() -> Arrays.stream(ports).forEach(port -> worker.cut(port, off)));
        }
    }

    void missed(int[] which, boolean off) {
        for (int i = 0; i < which.length; i++) {
            int w = which[i];
            if (off && away[w]) {
                continue;
            }
            away[w] = off;
            steps.afterMs(DETECT_MS + SPREAD_MS * i / which.length, () -> publish(w, entries[w].in(off ? "DELETED" : "SERVING")));
        }
    }
}
