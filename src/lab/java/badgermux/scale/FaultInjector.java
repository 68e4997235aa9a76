package badgermux.scale;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/** What happens during the measured part: churn, and a cut that is healed. Runs on the thread of the steps. */
final class FaultInjector {
    private static final double DAY_MS = 86_400_000;
    /** A cut begins after this part of what is left of the run beside it. */
    private static final int CUT_START_DIVISOR = 4;
    private static final int CUT_ZONE = 0;

    private final ScaleOptions options;
    private final FleetLayout layout;
    private final HollowBackends backends;
    private final DiscoveryServer discovery;
    private final EventLoop discoveryLoop;
    private final StepScheduler steps;
    private final UniformRandomProvider random;
    private final ZigguratSampler.Exponential gaps;
    private volatile boolean isStopped;
    /** {@link System#nanoTime}; 0 where nothing was cut off. */
    private volatile long healedAt;

    FaultInjector(ScaleOptions options, FleetLayout layout, HollowBackends workers, DiscoveryServer discovery,
            EventLoop discoveryLoop, StepScheduler steps) {
        this.options = options;
        this.layout = layout;
        this.backends = workers;
        this.discovery = discovery;
        this.discoveryLoop = discoveryLoop;
        this.steps = steps;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(options.seed + 17);
        gaps = ZigguratSampler.Exponential.of(random);
    }

    void start() {
        if (options.churn > 0) {
            scheduleChurn();
        }
        long spare = 1_000L * (options.seconds - options.cutSeconds) / CUT_START_DIVISOR;
        if (options.cuts()) {
            steps.scheduleMs(spare, () -> cut(true));
            steps.scheduleMs(spare + 1_000L * options.cutSeconds, () -> cut(false));
        } else if (options.scenario == ScaleOptions.Scenario.ANEW) {
            discoveryLoop.schedule(discovery::restartRevisions, options.seconds / CUT_START_DIVISOR, TimeUnit.SECONDS);
        }
    }

    /** No further churn; what has begun goes on to its end. */
    void stopChurn() {
        isStopped = true;
    }

    long healedAt() {
        return healedAt;
    }

    private void scheduleChurn() {
        double gapMs = DAY_MS / (options.churn * (options.failsADay + options.restartsADay));
        steps.scheduleUnawaited((long) (gaps.sample() * gapMs * 1e3), this::churn);
    }

    private void churn() throws InterruptedException {
        if (isStopped) {
            return;
        }
        scheduleChurn();
        int worker = backends.pickAvailable(random::nextInt);
        boolean fails = random.nextDouble() * (options.failsADay + options.restartsADay) < options.failsADay;
        if (worker < 0) {
            return;
        }
        if (fails) {
            backends.fail(worker);
        } else {
            backends.restart(worker);
        }
    }

    private void cut(boolean off) {
        int[] lost = IntStream.range(0, options.workers).filter(this::isCut).toArray();
        if (options.scenario == ScaleOptions.Scenario.REGION) {
            cutRegion(lost, off);
        } else {
            backends.cut(lost, new int[] {0}, off);
        }
        if (options.scenario != ScaleOptions.Scenario.RACK) {
            discoveryLoop.execute(() -> IntStream.range(0, options.allDispatchers()).filter(this::isCutDispatcher)
                .forEach(d -> discovery.setSilent(d, off)));
        }
        backends.publishCut(lost, off);
        if (!off) {
            healedAt = System.nanoTime();
        }
    }

    /** Each side goes on with its own workers: who is seen at a region's port is cut off from that region. */
    private void cutRegion(int[] lost, boolean off) {
        int region = FleetLayout.regionOfZone(CUT_ZONE);
        int[] others = IntStream.range(0, FleetLayout.REGIONS).filter(r -> r != region).toArray();
        backends.cut(lost, others, off);
        backends.cut(IntStream.range(0, options.workers).filter(w -> !isCut(w)).toArray(), new int[] {region}, off);
    }

    private boolean isCut(int worker) {
        int zone = layout.zoneOfBackend(worker);
        return switch (options.scenario) {
            case RACK -> worker < options.rack;
            case ZONE -> zone == CUT_ZONE;
            default -> FleetLayout.regionOfZone(zone) == FleetLayout.regionOfZone(CUT_ZONE);
        };
    }

    private boolean isCutDispatcher(int dispatcher) {
        int zone = layout.zoneOfDispatcher(dispatcher);
        return options.scenario == ScaleOptions.Scenario.ZONE ? zone == CUT_ZONE
            : FleetLayout.regionOfZone(zone) == FleetLayout.regionOfZone(CUT_ZONE);
    }
}
