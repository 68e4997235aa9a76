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

/** Rule 4 for the whole fleet: the sum of what all dispatchers send to a cold worker in any window. */
class WarmupPropertiesTest {
    private static final String SEED = "20261202";
    private static final int MAX_DISPATCHERS = 1_024;
    /** For sums of rounded figures. */
    private static final double ROUNDING_ERROR = 1e-9;

    /** Small fleets are drawn more often, as large ones take a second each. */
    @Provide Arbitrary<Integer> dispatchers() {
        return Arbitraries.frequency(Tuple.of(4, 1), Tuple.of(4, 2), Tuple.of(4, 5), Tuple.of(10, 14), Tuple.of(14, 30),
            Tuple.of(8, 100));
    }

    private static void assertWithinLimit(WarmupSimulation fleet) {
        fleet.run();
        assertTrue(fleet.worstLimitRatio <= 1 + ROUNDING_ERROR, "sent " + fleet.worstLimitRatio + " of N + 2 root N + 2");
    }

    /**
     * The shares by themselves. A dispatcher's last send in a window of any place keeps to the share of its rank then; its
     * rank is that of one of two neighbouring windows, and falls by one between them. In one of the two a job goes alone.
     */
    @Property(seed = SEED, tries = 2_000)
    void sharesOfTwoNeighbouringWindowsAddUpToTheLimit(@ForAll @DoubleRange(max = 500) double n,
            @ForAll @IntRange(min = 1, max = 1_024) int dispatchers, @ForAll boolean aloneInTheFirst) {
        double alone = DefaultDispatchPolicy.coldBudgetShare(n, -1, dispatchers);
        double sum = 0;
        for (int rank = 0; rank < dispatchers; rank++) {
            int next = Math.floorMod(rank - 1, dispatchers);
            double first = DefaultDispatchPolicy.coldBudgetShare(n, rank, dispatchers);
            double second = DefaultDispatchPolicy.coldBudgetShare(n, next, dispatchers);
            boolean goesAlone = (aloneInTheFirst ? rank : next) == 0;
            sum += Math.max(Math.max(first, second), goesAlone ? alone : 0);
        }
        assertTrue(sum <= (n + 2 * Math.sqrt(n) + 2) * (1 + ROUNDING_ERROR), n + ", " + dispatchers + ": " + sum);
        assertTrue(alone >= 1 && DefaultDispatchPolicy.coldBudgetShare(n, 0, dispatchers) > 0, "a mean job goes, alone or by rank");
    }

    /** What has been sent by a share stays within it while the worker warms up. */
    @Property(seed = SEED, tries = 1_000)
    void sharesGrowWithWhatIsAllowed(@ForAll @DoubleRange(max = 500) double n, @ForAll @DoubleRange(max = 50) double more,
            @ForAll @IntRange(min = 1, max = 1_024) int dispatchers, @ForAll @IntRange(min = -1, max = 1_023) int rank) {
        double before = DefaultDispatchPolicy.coldBudgetShare(n, Math.min(rank, dispatchers - 1), dispatchers);
        double after = DefaultDispatchPolicy.coldBudgetShare(n + more, Math.min(rank, dispatchers - 1), dispatchers);
        assertTrue(after >= before * (1 - ROUNDING_ERROR), n + " and " + more + ", " + dispatchers + ": " + before + ", " + after);
    }

    @Property(seed = SEED, tries = 60, shrinking = ShrinkingMode.OFF)
    void fleetsKeepToTheLimit(@ForAll("dispatchers") int dispatchers, @ForAll long seed) {
        assertWithinLimit(new WarmupSimulation(seed, dispatchers, Restarts.NONE, true));
    }

    @Property(seed = SEED, tries = 30, shrinking = ShrinkingMode.OFF)
    void soDoFleetsInWhichSomeHandOverToTheNextProcess(@ForAll("dispatchers") int dispatchers, @ForAll long seed) {
        assertWithinLimit(new WarmupSimulation(seed, dispatchers, Restarts.HANDED_OVER, true));
    }

    @Property(seed = SEED, tries = 30, shrinking = ShrinkingMode.OFF)
    void soDoFleetsInWhichSomeAreKilled(@ForAll("dispatchers") int dispatchers, @ForAll long seed) {
        assertWithinLimit(new WarmupSimulation(seed, dispatchers, Restarts.KILLED, true));
    }

    /** Who knows no run can't tell long jobs from short ones: here all run alike. */
    @Property(seed = SEED, tries = 30, shrinking = ShrinkingMode.OFF)
    void soDoFleetsInWhichSomeForgetAll(@ForAll("dispatchers") int dispatchers, @ForAll long seed) {
        assertWithinLimit(new WarmupSimulation(seed, dispatchers, Restarts.STATE_LOST, false));
    }

    @Property(seed = SEED, tries = 2, shrinking = ShrinkingMode.OFF)
    void soDoTheLargestFleets(@ForAll long seed) {
        for (Restarts restarts : new Restarts[] {Restarts.NONE, Restarts.KILLED}) {
            WarmupSimulation fleet = new WarmupSimulation(seed, MAX_DISPATCHERS, restarts, true);
            assertWithinLimit(fleet);
            assertTrue(fleet.worstLimitRatio > 0, "nothing was sent");
        }
    }
}
