package badgermux.zone;

import java.util.ArrayList;
import java.util.List;

/**
 * The operators' settings of zones. Spans are microseconds, shares are from 0 to 1; {@link #validated} rejects values that
 * are out of range. Its messages name the settings by their keys in the admin API.
 */
public final class ZoneSettings {
    /** The names of the zones, by zone index. */
    public List<String> zoneNames = new ArrayList<>();
    /**
     * By request class and zone, the tier in which the class may use the zone, from 0; -1 for never. If null, the own zone is
     * tier 0 and all others are tier 1.
     */
    public int[][] tiersByClass;
    /** The worth of each request class; a class of higher worth may use more of the spill bound. */
    public double[] classWorths = {};
    /** The index of this dispatcher's zone. */
    public int ownZone;
    /** The number of dispatchers that send to the same backends, this one included. */
    public int dispatcherCount = 1;
    /** This dispatcher's number among them, from 0, by which trial requests are spread over time. */
    public int dispatcherIndex;
    /** The next tier opens when the usable share of a zone's usual number of backends is at most this. */
    public double nextTierOpenShare = 1;
    /** The next tier closes when the usable share reaches this. */
    public double nextTierCloseShare = 1;
    /** A zone is degraded when this share of the backends tried within the evidence window does not respond. */
    public double degradedShare = 0.3;
    /** A zone is dark when this share of the backends tried within the evidence window does not respond. */
    public double darkShare = 0.7;
    /** The interval between probes of a zone to which this dispatcher sends too little to see its health. */
    public long sampleIntervalMicros = 300_000;
    /** The number of silent backends that is enough evidence against a zone; all ready ones if it has fewer. */
    public int minSilentBackends = 3;
    /** Responses older than this are no evidence of a zone's health. */
    public long evidenceWindowMicros = 4_000_000;
    /** The share of a zone's slots that requests of all dispatchers from other zones may hold together. */
    public double maxSpillShare = 0.6;
    /** The share of a backend's slots that a spilled request must leave free; below 0, the share that may queue there. */
    public double spillHeadroomShare = 0;
    /** The share of the spill bound that the class of lowest worth may not use; classes in between in proportion. */
    public double spillReserveShare = 0.2;
    /** How long a dark zone gets no requests after its first loss; doubled with each further loss. */
    public long initialHoldMicros = 2_000_000;
    /** The longest time that a dark zone gets no requests. */
    public long maxHoldMicros = 30_000_000;
    /** One loss of a zone is forgotten for each such span without another; unlisted backends are forgotten after it too. */
    public long lossMemoryMicros = 60_000_000;
    /** The shortest duration of a stage of a return, and of the degraded state before a zone is whole again. */
    public long minStageMicros = 1_500_000;
    /** The share of its usual load that a returning zone gets in each stage. */
    public double[] returnStageShares = {0.1, 0.25, 0.5, 0.75, 1};
    /** How long after its own start a dispatcher sends one request at a time to a backend that has not responded yet. */
    public long learningMicros = 2_000_000;
    /** How long a backend that returns counts as cold, whatever start time the list gives. */
    public long warmUpMicros = 23_000_000;
    /** The share of its capacity with which a cold backend starts. */
    public double coldCapacityShare = 0.15;
    /** A cold backend fails when sent this multiple of its present capacity within {@link #overloadWindowMicros}. */
    public double overloadMultiple = 3;
    /** The window over which {@link #overloadMultiple} applies. */
    public long overloadWindowMicros = 2_000_000;
    /** The number of slots assumed for a backend in a zone from which no load report came. */
    public double defaultSlotsPerBackend = 4;
    /** Whether a full list that omits more than half of the ready backends keeps those that still respond. */
    public boolean keepsUnlistedBackends;

    /**
     * Returns these settings if they are valid.
     *
     * @throws IllegalArgumentException if a value is out of range; its message goes to the caller of the admin API
     */
    public ZoneSettings validated() {
        require(!zoneNames.isEmpty() && ownZone >= 0 && ownZone < zoneNames.size(), "own: no zone of this number");
        require(dispatcherCount >= 1 && dispatcherIndex >= 0 && dispatcherIndex < dispatcherCount,
            "dispatchers or index is out of range");
        requireShare("openAt", nextTierOpenShare);
        requireShare("closeAt", nextTierCloseShare);
        require(nextTierOpenShare <= nextTierCloseShare,
            "openAt must not be above closeAt: the next tier would open and close at once");
        requireShare("degradedAt", degradedShare);
        requireShare("darkAt", darkShare);
        require(degradedShare > 0 && degradedShare < darkShare, "degradedAt must be above 0 and below darkAt");
        requireShare("spillShare", maxSpillShare);
        require(spillHeadroomShare >= -1 && spillHeadroomShare <= 1, "spillLeaves must be -1 to 1");
        requireShare("spillReserve", spillReserveShare);
        require(minSilentBackends >= 1, "leastNodes must be 1 or more");
        require(evidenceWindowMicros >= 500_000 && evidenceWindowMicros <= 60_000_000,
            "evidenceForMs must be 500 to 60000");
        require(initialHoldMicros >= 100_000 && initialHoldMicros <= maxHoldMicros,
            "holdMs must be 100 or more, and longestHoldMs no less");
        require(minStageMicros >= 100_000 && learningMicros >= 0 && warmUpMicros >= 0 && lossMemoryMicros >= 1_000_000,
            "stageMs, learnsForMs, coldForMs or forgetsAfterMs is too short");
        require(returnStageShares.length >= 1 && returnStageShares[returnStageShares.length - 1] == 1,
            "stages must end with 1");
        for (int i = 0; i < returnStageShares.length; i++) {
            require(returnStageShares[i] > 0 && (i == 0 || returnStageShares[i] > returnStageShares[i - 1]),
                "stages must grow from above 0");
        }
        require(defaultSlotsPerBackend > 0, "slotsPerNode must be above 0");
        for (int classIndex = 0; tiersByClass != null && classIndex < tiersByClass.length; classIndex++) {
            require(tiersByClass[classIndex].length == zoneNames.size(),
                "tiers of class " + classIndex + " must name each zone");
            boolean hasFirstTier = false;
            for (int tier : tiersByClass[classIndex]) {
                hasFirstTier |= tier == 0;
                require(tier >= -1 && tier < zoneNames.size(), "tiers of class " + classIndex + " are out of range");
            }
            require(hasFirstTier, "tiers of class " + classIndex + " have no first one");
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

    /** Returns the number of tiers over all request classes. */
    int tierCount() {
        int count = 1;
        for (int classIndex = 0; tiersByClass != null && classIndex < tiersByClass.length; classIndex++) {
            for (int tier : tiersByClass[classIndex]) {
                count = Math.max(count, tier + 1);
            }
        }
        return tiersByClass == null ? Math.min(2, zoneNames.size()) : count;
    }

    /** Returns the tier in which a request class may use a zone, or -1 if it may not. */
    int tier(int requestClass, int zone) {
        return tiersByClass == null || requestClass >= tiersByClass.length ? zone == ownZone ? 0 : 1
            : tiersByClass[requestClass][zone];
    }
}
