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
 * All hollow backends, and the faults that happen to them. Discovery learns of a fault with the delay of a failure detector.
 * All methods are called on the thread of the {@link StepScheduler}.
 */
final class HollowBackends {
    private static final long DETECTION_DELAY_MS = 1_000;
    /** The time over which the detection of a cut is spread, from the first backend to the last. */
    private static final long DETECTION_SPREAD_MS = 2_000;
    private static final long REPLACEMENT_DELAY_MS = 10_000;
    private static final long RESTART_DELAY_MS = 5_000;
    /** A draining backend stays up for longer than dispatchers may send to it, so that sends that come too late are counted. */
    private static final long MIN_DRAIN_MS = 3 * FleetLayout.STOP_SENDING_MS;
    private static final long DRAIN_POLL_MS = 200;

    private final FleetLayout layout;
    private final EventLoop discoveryLoop;
    private final DiscoveryServer discovery;
    private final StepScheduler steps;
    private final long maxDrainMs;
    private final List<HollowBackend> backends = new ArrayList<>();
    private final BackendEntry[] entries;
    /** Whether a backend is failing, restarting or cut off. */
    private final boolean[] isBusy;
    /** Whether a backend is listed as gone, or about to be, because it is cut off. */
    private final boolean[] isListedAsCut;

    HollowBackends(ScaleOptions options, FleetLayout layout, EventLoopGroup loops, EventLoop discoveryLoop,
            DiscoveryServer discovery, StepScheduler steps, TrafficCounter traffic, SendRules rules) {
        this.layout = layout;
        this.discoveryLoop = discoveryLoop;
        this.discovery = discovery;
        this.steps = steps;
        maxDrainMs = options.giveUpMs();
        entries = new BackendEntry[options.workers];
        isBusy = new boolean[options.workers];
        isListedAsCut = new boolean[options.workers];
        for (int index = 0; index < options.workers; index++) {
            backends.add(new HollowBackend(index, loops.next(), layout.portsPerBackend(), options.meanRunMs(), traffic, rules));
        }
    }

    void startAll() throws InterruptedException {
        for (int index = 0; index < backends.size(); index++) {
            start(index, false);
        }
    }

    private void start(int index, boolean cold) throws InterruptedException {
        HollowBackend backend = backends.get(index);
        int[] ports = backend.listen();
        backend.loop().execute(() -> backend.start(cold));
        publish(index, new BackendEntry(String.format("s-%08x", index * 0x9e3779b1), ports,
            FleetLayout.zoneName(layout.zoneOfBackend(index)), "SERVING", cold ? System.currentTimeMillis() : 0));
    }

    /**
     * Publishes an entry, and returns the number of the change.
     *
     * @throws IllegalStateException if a draining backend were to be listed as serving again: dispatchers would rightly send to
     *                               it, and each of these sends would count as one after its drain
     */
    private long publish(int index, BackendEntry entry) throws InterruptedException {
        if (entries[index] != null && entries[index].isDraining() && entry.isServing()) {
            throw new IllegalStateException("backend " + index + " drains and can't be listed as serving");
        }
        entries[index] = entry;
        try {
            return discoveryLoop.submit(() -> discovery.publish(index, entry)).get();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    /** Returns a random backend that is not failing, restarting or cut off; -1 if 20 draws find none. */
    int pickAvailable(IntUnaryOperator draw) {
        return IntStream.range(0, 20).map(i -> draw.applyAsInt(backends.size())).filter(index -> !isBusy[index]).findFirst()
            .orElse(-1);
    }

    /** Crashes a backend; a cold one replaces it. */
    void fail(int index) {
        isBusy[index] = true;
        backends.get(index).loop().execute(backends.get(index)::crash);
        steps.scheduleMs(DETECTION_DELAY_MS, () -> publish(index, entries[index].withPhase("DELETED")));
        steps.scheduleMs(REPLACEMENT_DELAY_MS, () -> returnCold(index));
    }

    /** Drains a backend, stops it and starts it again cold. */
    void restart(int index) throws InterruptedException {
        isBusy[index] = true;
        HollowBackend backend = backends.get(index);
        long change = publish(index, entries[index].withPhase("DRAINING"));
        backend.loop().execute(() -> backend.drain(change));
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(maxDrainMs);
        steps.scheduleMs(MIN_DRAIN_MS, () -> awaitDrained(index, deadlineNanos));
    }

    private void awaitDrained(int index, long deadlineNanos) {
        HollowBackend backend = backends.get(index);
        steps.scheduleMs(DRAIN_POLL_MS, () -> {
            boolean[] idle = new boolean[1];
            backend.loop().submit(() -> idle[0] = backend.isIdle()).await();
            if (!idle[0] && System.nanoTime() < deadlineNanos) {
                awaitDrained(index, deadlineNanos);
                return;
            }
            publish(index, entries[index].withPhase("DELETED"));
            steps.scheduleMs(DETECTION_DELAY_MS, () -> backend.loop().execute(backend::crash));
            steps.scheduleMs(RESTART_DELAY_MS, () -> returnCold(index));
        });
    }

    private void returnCold(int index) throws InterruptedException {
        start(index, true);
        isBusy[index] = false;
    }

    /** Cuts off backends for the dispatchers that use some of their ports, or heals the cut. */
    void setCutOff(int[] indexes, int[] ports, boolean cutOff) {
        for (int index : indexes) {
            HollowBackend backend = backends.get(index);
            backend.loop().execute(() -> Arrays.stream(ports).forEach(port -> backend.setCutOff(port, cutOff)));
        }
    }

    /** Publishes that backends are cut off, one after the other. Those that are failing or restarting have their own steps. */
    void publishCut(int[] indexes) {
        for (int i = 0; i < indexes.length; i++) {
            int index = indexes[i];
            if (!isBusy[index]) {
                isBusy[index] = true;
                isListedAsCut[index] = true;
                steps.scheduleMs(detectionDelayMs(i, indexes.length), () -> publish(index, entries[index].withPhase("DELETED")));
            }
        }
    }

    /** Publishes that the backends of {@link #publishCut} are back. Each is available for other faults only from then on. */
    void publishHealed(int[] indexes) {
        for (int i = 0; i < indexes.length; i++) {
            int index = indexes[i];
            if (isListedAsCut[index]) {
                isListedAsCut[index] = false;
                steps.scheduleMs(detectionDelayMs(i, indexes.length), () -> {
                    publish(index, entries[index].withPhase("SERVING"));
                    isBusy[index] = false;
                });
            }
        }
    }

    private static long detectionDelayMs(int position, int count) {
        return DETECTION_DELAY_MS + DETECTION_SPREAD_MS * position / count;
    }
}
