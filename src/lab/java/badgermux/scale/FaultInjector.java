package badgermux.scale;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/** Injects the faults of the measured part: churn of backends, and a cut that is healed. Runs on the thread of the steps. */
final class FaultInjector {
    private static final double DAY_MS = 86_400_000;
    /** A cut begins when this part of the time outside the cut has passed: 4 means a quarter. */
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
    /** The {@link System#nanoTime} at the end of the cut; 0 before it, or if nothing is cut off. */
    private volatile long healedAtNanos;

    FaultInjector(ScaleOptions options, FleetLayout layout, HollowBackends backends, DiscoveryServer discovery,
            EventLoop discoveryLoop, StepScheduler steps) {
        this.options = options;
        this.layout = layout;
        this.backends = backends;
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
        long startMs = 1_000L * (options.seconds - options.cutSeconds) / CUT_START_DIVISOR;
        if (options.cuts()) {
            steps.scheduleMs(startMs, () -> setCutOff(true));
            steps.scheduleMs(startMs + 1_000L * options.cutSeconds, () -> setCutOff(false));
        } else if (options.scenario == ScaleOptions.Scenario.ANEW) {
            discoveryLoop.schedule(discovery::restartRevisions, options.seconds / CUT_START_DIVISOR, TimeUnit.SECONDS);
        }
    }

    /** Starts no further churn; restarts and replacements that have begun are completed. */
    void stopChurn() {
        isStopped = true;
    }

    long healedAtNanos() {
        return healedAtNanos;
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
        int backend = backends.pickAvailable(random::nextInt);
        boolean fails = random.nextDouble() * (options.failsADay + options.restartsADay) < options.failsADay;
        if (backend < 0) {
            return;
        }
        if (fails) {
            backends.fail(backend);
        } else {
            backends.restart(backend);
        }
    }

    /** Cuts off or heals the part of the fleet that the scenario names. */
    private void setCutOff(boolean cutOff) {
        int[] cutBackends = IntStream.range(0, options.workers).filter(this::isCut).toArray();
        if (options.scenario == ScaleOptions.Scenario.REGION) {
            setRegionCutOff(cutBackends, cutOff);
        } else {
            backends.setCutOff(cutBackends, new int[] {0}, cutOff);
        }
        if (options.scenario != ScaleOptions.Scenario.RACK) {
            discoveryLoop.execute(() -> IntStream.range(0, options.allDispatchers()).filter(this::isCutDispatcher)
                .forEach(d -> discovery.setSilent(d, cutOff)));
        }
        if (cutOff) {
            backends.publishCut(cutBackends);
        } else {
            backends.publishHealed(cutBackends);
            healedAtNanos = System.nanoTime();
        }
    }

    /**
     * Separates a region from the others. Each side keeps its own backends, and the ports that serve the dispatchers of the
     * other side are cut off.
     */
    private void setRegionCutOff(int[] cutBackends, boolean cutOff) {
        int region = FleetLayout.regionOfZone(CUT_ZONE);
        int[] otherRegions = IntStream.range(0, FleetLayout.REGIONS).filter(r -> r != region).toArray();
        backends.setCutOff(cutBackends, otherRegions, cutOff);
        backends.setCutOff(IntStream.range(0, options.workers).filter(b -> !isCut(b)).toArray(), new int[] {region}, cutOff);
    }

    private boolean isCut(int backend) {
        int zone = layout.zoneOfBackend(backend);
        return switch (options.scenario) {
            case RACK -> backend < options.rack;
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
