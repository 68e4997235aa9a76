package badgermux.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The fleet in virtual time: what must hold in every run, and that a seed gives one run. */
class FleetTest {
    private static Fleet.Result run(String scenario, long seed, String policy) {
        Scenario of = ZoneRuns.scenarios().get(scenario);
        return new Fleet(of, seed, Policies.all(of.zones).get(policy)).run();
    }

    @Test void oneSeedGivesOneRun() {
        Fleet.Result one = run("loss 1.0", 7, "zones");
        Fleet.Result two = run("loss 1.0", 7, "zones");
        assertEquals(one.inTime, two.inTime);
        assertEquals(one.worstRatio, two.worstRatio);
        assertEquals(one.jobs, two.jobs);
    }

    @Test void inALossEachJobHasOneAnswerAndNoKeyRunsTwice() {
        for (String scenario : new String[] {"calm", "loss 1.0", "loss 1.6", "flap", "restart", "three zones", "refused"}) {
            for (long seed = 1; seed <= 3; seed++) {
                Fleet.Result result = run(scenario, seed, "zones");
                assertEquals(0, result.wrongAnswers, scenario);
                assertEquals(0, result.keysTwice, scenario);
                assertTrue(result.inTime <= result.asked && result.inTime <= 1.02 * result.bound, scenario);
            }
        }
    }

    /** What zones are for: the other zone's own work keeps its times, and the returning nodes stay up. */
    @Test void zonesSpareTheReceivingZoneAndTheColdNodes() {
        double with = 0;
        double without = 0;
        int fallenWith = 0;
        int fallenWithout = 0;
        for (long seed = 1; seed <= 8; seed++) {
            Fleet.Result on = run("loss 1.0", seed, "zones");
            Fleet.Result off = run("loss 1.0", seed, "off");
            with += ZoneRuns.others(on) / 8;
            without += ZoneRuns.others(off) / 8;
            fallenWith += on.fallen;
            fallenWithout += off.fallen;
        }
        assertTrue(with > without + 0.02, with + " " + without);
        assertTrue(fallenWith * 4 < fallenWithout, fallenWith + " " + fallenWithout);
    }
}
