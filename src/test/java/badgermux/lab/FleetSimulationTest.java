package badgermux.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Checks what must hold in every simulated run of the fleet, and that a run is reproducible by its seed. */
class FleetSimulationTest {
    private static FleetSimulation.Result run(String scenarioName, long seed, String policy) {
        Scenario scenario = ZoneRuns.scenarios().get(scenarioName);
        return new FleetSimulation(scenario, seed, ComparedPolicies.all(scenario.zones).get(policy)).run();
    }

    @Test void sameSeedGivesSameRun() {
        FleetSimulation.Result first = run("loss 1.0", 7, "zones");
        FleetSimulation.Result second = run("loss 1.0", 7, "zones");
        assertEquals(first.worthInTime, second.worthInTime);
        assertEquals(first.maxOverloadRatio, second.maxOverloadRatio);
        assertEquals(first.dispatcherRequestCount, second.dispatcherRequestCount);
    }

    /**
     * Guards against unused cold backends when nearly all are cold and no dispatcher has seen a request end. A class was sent
     * to cold backends only after one of its requests had ended on a warm one, and never if an even share of the cold budget
     * was less than one request. The shares in time were then 0.52, 0.66 and 0.75; without that fault they are 0.65, 0.80 and
     * 0.84. The overload limit of the backends tolerates chance.
     */
    @Test void manyDispatchersServeEachClassOnColdBackendsWithoutOverload() {
        double[] share = new double[FleetSimulation.CLASSES.size()];
        int overloaded = 0;
        for (long seed = 1; seed <= 6; seed++) {
            FleetSimulation.Result result = run("cold 120", seed, "off");
            overloaded += result.overloadedBackends;
            assertEquals(0, result.failuresAfterAnswer);
            assertEquals(0, result.repeatedKeyCount);
            for (int c = 0; c < share.length; c++) {
                share[c] += result.countInTimeByClass[c] / result.offeredCountByClass[c] / 6;
            }
        }
        assertEquals(0, overloaded);
        assertTrue(share[0] > 0.58 && share[1] > 0.73 && share[2] > 0.79, Arrays.toString(share));
    }

    @Test void eachRequestHasOneAnswerAndNoKeyRunsTwice() {
        for (String scenario : new String[] {"calm", "loss 1.0", "loss 1.6", "flap", "restart", "three zones", "refused"}) {
            for (long seed = 1; seed <= 3; seed++) {
                FleetSimulation.Result result = run(scenario, seed, "zones");
                assertEquals(0, result.failuresAfterAnswer, scenario);
                assertEquals(0, result.repeatedKeyCount, scenario);
                assertTrue(result.worthInTime <= result.offeredWorth && result.worthInTime <= 1.02 * result.worthBound, scenario);
            }
        }
    }

    /** Zone limits keep the requests of the other zone in time, and protect the cold backends of the returning zone. */
    @Test void zoneLimitsProtectReceivingZoneAndColdBackends() {
        double worthWithLimits = 0;
        double worthWithoutLimits = 0;
        int overloadedWithLimits = 0;
        int overloadedWithoutLimits = 0;
        for (long seed = 1; seed <= 8; seed++) {
            FleetSimulation.Result on = run("loss 1.0", seed, "zones");
            FleetSimulation.Result off = run("loss 1.0", seed, "off");
            worthWithLimits += ZoneRuns.otherZonesWorthShare(on) / 8;
            worthWithoutLimits += ZoneRuns.otherZonesWorthShare(off) / 8;
            overloadedWithLimits += on.overloadedBackends;
            overloadedWithoutLimits += off.overloadedBackends;
        }
        assertTrue(worthWithLimits > worthWithoutLimits + 0.02, worthWithLimits + " " + worthWithoutLimits);
        assertTrue(overloadedWithLimits * 4 < overloadedWithoutLimits, overloadedWithLimits + " " + overloadedWithoutLimits);
    }
}
