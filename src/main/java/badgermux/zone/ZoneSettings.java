package badgermux.zone;

import java.util.ArrayList;
import java.util.List;

/** What operators set of zones; spans in microseconds, shares from 0 to 1. {@link #validated} names what makes no sense. */
public final class ZoneSettings {
    /** The zones' names, in the module's order. */
    public List<String> zoneNames = new ArrayList<>();
    /** For each class and zone the tier in which the class may use it, from 0; -1 for never. Null: own first, then any. */
    public int[][] tiersByClass;
    /** The worth of each class, by which spill is rationed. */
    public double[] classWorths = {};
    /** The own zone's number, and how many dispatchers there are. */
    public int ownZone;
    public int dispatcherCount = 1;
    /** This dispatcher's number among them; trials are spread by it. */
    public int dispatcherIndex;
    /** The next tier opens when this share of the zones' usual nodes, or less, is of use; it closes at {@link #nextTierCloseShare}. */
    public double nextTierOpenShare = 1;
    public double nextTierCloseShare = 1;
    /** A zone is degraded, or dark, when this share of the nodes that were tried lately gave nothing. */
    public double degradedShare = 0.3;
    public double darkShare = 0.7;
    /** How often a zone is asked for a sign of life where our own work brings few. */
    public long sampleIntervalMicros = 300_000;
    /** Fewer silent nodes than these tell nothing of a zone that has more. */
    public int minSilentBackends = 3;
    /** Evidence older than this counts no more. */
    public long evidenceWindowMicros = 4_000_000;
    /** The share of a zone's slots that work from other zones may hold, all dispatchers together. */
    public double maxSpillShare = 0.6;
    /** The share of a node's slots that spilled work leaves free there; below 0, the share that may wait there for one. */
    public double spillHeadroomShare = 0;
    /** The part of the spill bound kept from the class of least worth; classes between keep in proportion. */
    public double spillReserveShare = 0.2;
    /** How long a dark zone is left alone at first; doubled with each further loss, up to {@link #maxHoldMicros}. */
    public long initialHoldMicros = 2_000_000;
    public long maxHoldMicros = 30_000_000;
    /** A loss is forgotten after this long without another. */
    public long lossMemoryMicros = 60_000_000;
    /** How long each stage of a return lasts at least. */
    public long minStageMicros = 1_500_000;
    /** The part of its usual work that a returning zone gets, stage by stage. */
    public double[] returnStageShares = {0.1, 0.25, 0.5, 0.75, 1};
    /** After its own start a dispatcher sends each node that it does not know one job at a time for so long. */
    public long learningMicros = 2_000_000;
    /** A node that comes back is taken to be cold for so long, whatever the list says. */
    public long warmUpMicros = 23_000_000;
    /** The rule on cold nodes, as the module has it: the share at the start, and the multiple that fells, over a window. */
    public double coldCapacityShare = 0.15;
    public double overloadMultiple = 3;
    public long overloadWindowMicros = 2_000_000;
    /** How many slots a node has that was never heard of. */
    public double defaultSlotsPerBackend = 4;
    /** Whether nodes that a whole list leaves out, more than half at once, are used on while they answer. */
    public boolean keepsUnlistedBackends;

    /** These settings, if they make sense. */
    public ZoneSettings validated() {
        require(!zoneNames.isEmpty() && ownZone >= 0 && ownZone < zoneNames.size(), "own: no zone of this number");
        require(dispatcherCount >= 1 && dispatcherIndex >= 0 && dispatcherIndex < dispatcherCount, "dispatchers or index is out of range");
        requireShare("openAt", nextTierOpenShare);
        requireShare("closeAt", nextTierCloseShare);
        require(nextTierOpenShare <= nextTierCloseShare, "openAt must not be above closeAt: the next tier would open and close at once");
        requireShare("degradedAt", degradedShare);
        requireShare("darkAt", darkShare);
        require(degradedShare > 0 && degradedShare < darkShare, "degradedAt must be above 0 and below darkAt");
        requireShare("spillShare", maxSpillShare);
        require(spillHeadroomShare >= -1 && spillHeadroomShare <= 1, "spillLeaves must be -1 to 1");
        requireShare("spillReserve", spillReserveShare);
        require(minSilentBackends >= 1, "leastNodes must be 1 or more");
        require(evidenceWindowMicros >= 500_000 && evidenceWindowMicros <= 60_000_000, "evidenceForMs must be 500 to 60000");
        require(initialHoldMicros >= 100_000 && initialHoldMicros <= maxHoldMicros, "holdMs must be 100 or more, and longestHoldMs no less");
        require(minStageMicros >= 100_000 && learningMicros >= 0 && warmUpMicros >= 0 && lossMemoryMicros >= 1_000_000,
            "stageMs, learnsForMs, coldForMs or forgetsAfterMs is too short");
        require(returnStageShares.length >= 1 && returnStageShares[returnStageShares.length - 1] == 1, "stages must end with 1");
        for (int i = 0; i < returnStageShares.length; i++) {
            require(returnStageShares[i] > 0 && (i == 0 || returnStageShares[i] > returnStageShares[i - 1]), "stages must grow from above 0");
        }
        require(defaultSlotsPerBackend > 0, "slotsPerNode must be above 0");
        for (int c = 0; tiersByClass != null && c < tiersByClass.length; c++) {
            require(tiersByClass[c].length == zoneNames.size(), "tiers of class " + c + " must name each zone");
            boolean some = false;
            for (int tier : tiersByClass[c]) {
                some |= tier == 0;
                require(tier >= -1 && tier < zoneNames.size(), "tiers of class " + c + " are out of range");
            }
            require(some, "tiers of class " + c + " have no first one");
        }
        return this;
    }

    private static void requireShare(String name, double value) {
        require(value >= 0 && value <= 1, name + " must be 0 to 1");
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }

    /** How many tiers there are. */
    int tierCount() {
        int most = 1;
        for (int c = 0; tiersByClass != null && c < tiersByClass.length; c++) {
            for (int tier : tiersByClass[c]) {
                most = Math.max(most, tier + 1);
            }
        }
        return tiersByClass == null ? Math.min(2, zoneNames.size()) : most;
    }

    int tier(int jobClass, int zone) {
        return tiersByClass == null || jobClass >= tiersByClass.length ? zone == ownZone ? 0 : 1 : tiersByClass[jobClass][zone];
    }
}
