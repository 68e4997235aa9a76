package badgermux.decide;

import static org.junit.jupiter.api.Assertions.assertTrue;

import badgermux.decide.WarmupSimulation.Restarts;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.Tuple;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

/** Rule 4 for the whole fleet: a limit on the work that all dispatchers together send to a cold backend in any window. */
class WarmupPropertiesTest {
    private static final String SEED = "20261202";
    private static final int MAX_DISPATCHERS = 1_024;
    /** Relative error of sums of rounded numbers. */
    private static final double ROUNDING_ERROR = 1e-9;

    /** Draws small fleets more often, as large ones take a second each. */
    @Provide Arbitrary<Integer> dispatchers() {
        return Arbitraries.frequency(Tuple.of(4, 1), Tuple.of(4, 2), Tuple.of(4, 5), Tuple.of(10, 14), Tuple.of(14, 30),
            Tuple.of(8, 100));
    }

    private static void assertWithinLimit(WarmupSimulation fleet) {
        fleet.run();
        assertTrue(fleet.worstLimitRatio <= 1 + ROUNDING_ERROR,
            "sent " + fleet.worstLimitRatio + " of N + 2 * sqrt(N) + 2");
    }

    /**
     * A sliding window overlaps two successive windows, between which each rank falls by one. A dispatcher's last send in it
     * stays within the share of its rank at that time. In one of the two windows a large request may be sent alone.
     */
    @Property(seed = SEED, tries = 2_000)
    void sharesOfTwoSuccessiveWindowsStayWithinTheLimit(@ForAll @DoubleRange(max = 500) double n,
            @ForAll @IntRange(min = 1, max = 1_024) int dispatchers, @ForAll boolean largeInTheFirst) {
        double large = DefaultDispatchPolicy.coldBudgetShare(n, -1, dispatchers);
        double sum = 0;
        for (int rank = 0; rank < dispatchers; rank++) {
            int next = Math.floorMod(rank - 1, dispatchers);
            double first = DefaultDispatchPolicy.coldBudgetShare(n, rank, dispatchers);
            double second = DefaultDispatchPolicy.coldBudgetShare(n, next, dispatchers);
            boolean sendsLarge = (largeInTheFirst ? rank : next) == 0;
            sum += Math.max(Math.max(first, second), sendsLarge ? large : 0);
        }
        assertTrue(sum <= (n + 2 * Math.sqrt(n) + 2) * (1 + ROUNDING_ERROR), n + ", " + dispatchers + ": " + sum);
        assertTrue(large >= 1 && DefaultDispatchPolicy.coldBudgetShare(n, 0, dispatchers) > 0,
            "a request of mean work may be sent, alone or within a share");
    }

    /** As the backend warms up, what was sent within a share must stay within it. */
    @Property(seed = SEED, tries = 1_000)
    void sharesGrowWithTheAllowedWork(@ForAll @DoubleRange(max = 500) double n, @ForAll @DoubleRange(max = 50) double more,
            @ForAll @IntRange(min = 1, max = 1_024) int dispatchers, @ForAll @IntRange(min = -1, max = 1_023) int rank) {
        double before = DefaultDispatchPolicy.coldBudgetShare(n, Math.min(rank, dispatchers - 1), dispatchers);
        double after = DefaultDispatchPolicy.coldBudgetShare(n + more, Math.min(rank, dispatchers - 1), dispatchers);
        assertTrue(after >= before * (1 - ROUNDING_ERROR),
            n + " and " + more + ", " + dispatchers + ": " + before + ", " + after);
    }

    @Property(seed = SEED, tries = 60, shrinking = ShrinkingMode.OFF)
    void fleetsStayWithinTheLimit(@ForAll("dispatchers") int dispatchers, @ForAll long seed) {
        assertWithinLimit(new WarmupSimulation(seed, dispatchers, Restarts.NONE, true));
    }

    @Property(seed = SEED, tries = 30, shrinking = ShrinkingMode.OFF)
    void fleetsWithHandoversStayWithinTheLimit(@ForAll("dispatchers") int dispatchers, @ForAll long seed) {
        assertWithinLimit(new WarmupSimulation(seed, dispatchers, Restarts.HANDED_OVER, true));
    }

    @Property(seed = SEED, tries = 30, shrinking = ShrinkingMode.OFF)
    void fleetsWithKilledDispatchersStayWithinTheLimit(@ForAll("dispatchers") int dispatchers, @ForAll long seed) {
        assertWithinLimit(new WarmupSimulation(seed, dispatchers, Restarts.KILLED, true));
    }

    /** A dispatcher without run times cannot tell long requests from short ones, so all have the same run time here. */
    @Property(seed = SEED, tries = 30, shrinking = ShrinkingMode.OFF)
    void fleetsWithLostStateStayWithinTheLimit(@ForAll("dispatchers") int dispatchers, @ForAll long seed) {
        assertWithinLimit(new WarmupSimulation(seed, dispatchers, Restarts.STATE_LOST, false));
    }

    @Property(seed = SEED, tries = 2, shrinking = ShrinkingMode.OFF)
    void largestFleetsStayWithinTheLimit(@ForAll long seed) {
        for (Restarts restarts : new Restarts[] {Restarts.NONE, Restarts.KILLED}) {
            WarmupSimulation fleet = new WarmupSimulation(seed, MAX_DISPATCHERS, restarts, true);
            assertWithinLimit(fleet);
            assertTrue(fleet.worstLimitRatio > 0, "nothing was sent");
        }
    }
}
