package badgermux.zone;

import java.util.ArrayList;
import java.util.List;

/** What operators set of zones; spans in microseconds, shares from 0 to 1. {@link #checked} names what makes no sense. */
public final class ZoneSettings {
    /** The zones' names, in the module's order. */
    public List<String> zones = new ArrayList<>();
    /** For each class and zone the tier in which the class may use it, from 0; -1 for never. Null: own first, then any. */
    public int[][] tiers;
    /** The worth of each class, by which spill is rationed. */
    public double[] worths = {};
    /** The own zone's number, and how many dispatchers there are. */
    public int own;
    public int dispatchers = 1;
    /** This dispatcher's number among them; trials are spread by it. */
    public int index;
    /** The next tier opens when this share of the zones' usual nodes, or less, is of use; it closes at {@link #closeAt}. */
    public double openAt = 1;
    public double closeAt = 1;
    /** A zone is degraded, or dark, when this share of the nodes that were tried lately gave nothing. */
    public double degradedAt = 0.3;
    public double darkAt = 0.7;
    /** How often a zone is asked for a sign of life where our own work brings few. */
    public long sampleEvery = 300_000;
    /** Fewer silent nodes than these tell nothing of a zone that has more. */
    public int leastNodes = 3;
    /** Evidence older than this counts no more. */
    public long evidenceFor = 4_000_000;
    /** The share of a zone's slots that work from other zones may hold, all dispatchers together. */
    public double spillShare = 0.6;
    /** The share of a node's slots that spilled work leaves free there; below 0, the share that may wait there for one. */
    public double spillLeaves = 0;
    /** The part of the spill bound kept from the class of least worth; classes between keep in proportion. */
    public double spillReserve = 0.2;
    /** How long a dark zone is left alone at first; doubled with each further loss, up to {@link #longestHold}. */
    public long hold = 2_000_000;
    public long longestHold = 30_000_000;
    /** A loss is forgotten after this long without another. */
    public long forgetsAfter = 60_000_000;
    /** How long each stage of a return lasts at least. */
    public long stage = 1_500_000;
    /** The part of its usual work that a returning zone gets, stage by stage. */
    public double[] stages = {0.1, 0.25, 0.5, 0.75, 1};
    /** After its own start a dispatcher sends each node that it does not know one job at a time for so long. */
    public long learnsFor = 2_000_000;
    /** A node that comes back is taken to be cold for so long, whatever the list says. */
    public long coldFor = 23_000_000;
    /** The rule on cold nodes, as the module has it: the share at the start, and the multiple that fells, over a window. */
    public double coldShare = 0.15;
    public double fallMultiple = 3;
    public long fallWindow = 2_000_000;
    /** How many slots a node has that was never heard of. */
    public double slotsPerNode = 4;
    /** Whether nodes that a whole list leaves out, more than half at once, are used on while they answer. */
    public boolean guardsList;

    /** These settings, if they make sense. */
    public ZoneSettings checked() {
        require(!zones.isEmpty() && own >= 0 && own < zones.size(), "own: no zone of this number");
        require(dispatchers >= 1 && index >= 0 && index < dispatchers, "dispatchers or index is out of range");
        share("openAt", openAt);
        share("closeAt", closeAt);
        require(openAt <= closeAt, "openAt must not be above closeAt: the next tier would open and close at once");
        share("degradedAt", degradedAt);
        share("darkAt", darkAt);
        require(degradedAt > 0 && degradedAt < darkAt, "degradedAt must be above 0 and below darkAt");
        share("spillShare", spillShare);
        require(spillLeaves >= -1 && spillLeaves <= 1, "spillLeaves must be -1 to 1");
        share("spillReserve", spillReserve);
        require(leastNodes >= 1, "leastNodes must be 1 or more");
        require(evidenceFor >= 500_000 && evidenceFor <= 60_000_000, "evidenceForMs must be 500 to 60000");
        require(hold >= 100_000 && hold <= longestHold, "holdMs must be 100 or more, and longestHoldMs no less");
        require(stage >= 100_000 && learnsFor >= 0 && coldFor >= 0 && forgetsAfter >= 1_000_000,
            "stageMs, learnsForMs, coldForMs or forgetsAfterMs is too short");
        require(stages.length >= 1 && stages[stages.length - 1] == 1, "stages must end with 1");
        for (int i = 0; i < stages.length; i++) {
            require(stages[i] > 0 && (i == 0 || stages[i] > stages[i - 1]), "stages must grow from above 0");
        }
        require(slotsPerNode > 0, "slotsPerNode must be above 0");
        for (int c = 0; tiers != null && c < tiers.length; c++) {
            require(tiers[c].length == zones.size(), "tiers of class " + c + " must name each zone");
            boolean some = false;
            for (int tier : tiers[c]) {
                some |= tier == 0;
                require(tier >= -1 && tier < zones.size(), "tiers of class " + c + " are out of range");
            }
            require(some, "tiers of class " + c + " have no first one");
        }
        return this;
    }

    private static void share(String name, double value) {
        require(value >= 0 && value <= 1, name + " must be 0 to 1");
    }

    private static void require(boolean holds, String otherwise) {
        if (!holds) {
            throw new IllegalArgumentException(otherwise);
        }
    }

    /** How many tiers there are. */
    int tierCount() {
        int most = 1;
        for (int c = 0; tiers != null && c < tiers.length; c++) {
            for (int tier : tiers[c]) {
                most = Math.max(most, tier + 1);
            }
        }
        return tiers == null ? Math.min(2, zones.size()) : most;
    }

    int tier(int jobClass, int zone) {
        return tiers == null || jobClass >= tiers.length ? zone == own ? 0 : 1 : tiers[jobClass][zone];
    }
}
