package badgermux.zone;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** One zone as one dispatcher sees it: its evidence, its standing, and the work that went there. */
final class Zone {
    private static final int BUCKET_COUNT = 8;

    final int index;
    final String name;
    ZoneHealth health = ZoneHealth.WHOLE;
    String evidence = "";
    long healthSince;
    /** The last sign of life of any of its nodes. */
    long lastAliveAt = ZoneBackend.NEVER;
    int lossCount;
    long lastLostAt = ZoneBackend.NEVER;
    int returnStage;
    int successesInStage;
    int failuresInStage;
    boolean nextTierOpen;
    /** Nodes that the list holds to be ready, and the most of them in the last while. */
    int readyCount;
    double usualReadyCount;
    double reportedSlotSum;
    int reportingBackendCount;
    /** All its nodes, and where sampling has come to. */
    final List<ZoneBackend> backends = new ArrayList<>();
    int lastSampleIndex;
    long lastSampledAt = ZoneBackend.NEVER;
    /** Nodes with a failure since their last sign of life. */
    final Set<ZoneBackend> failingBackends = new LinkedHashSet<>();
    /** Slots of ours at work there, its usual level, and those among them that came from outside. */
    double slotsInFlight;
    double usualSlotsInFlight;
    double spilledSlots;
    /** Slot-seconds that may still be spilled there. */
    double spillCredit;
    long spillCount;
    long refusalCount;
    long lastTrialAt = ZoneBackend.NEVER;
    private final int[] recordAlive = new int[BUCKET_COUNT];
    private long latestBucket;

    Zone(int number, String name) {
        this.index = number;
        this.name = name;
    }

    /** A node gave a sign of life; each counts once for each span of evidence. */
    void recordAlive(long now, ZoneBackend node, long span) {
        long at = advanceBuckets(now, span);
        long before = node.lastAliveAt == ZoneBackend.NEVER ? -BUCKET_COUNT : node.lastAliveAt / (span / BUCKET_COUNT);
        if (at - before < BUCKET_COUNT && before >= 0) {
            recordAlive[(int) Math.floorMod(before, (long) BUCKET_COUNT)]--;
        }
        recordAlive[(int) Math.floorMod(at, (long) BUCKET_COUNT)]++;
    }

    private long advanceBuckets(long now, long span) {
        long at = now / (span / BUCKET_COUNT);
        for (long b = Math.max(latestBucket + 1, at - BUCKET_COUNT + 1); b <= at; b++) {
            recordAlive[(int) Math.floorMod(b, (long) BUCKET_COUNT)] = 0;
        }
        latestBucket = Math.max(latestBucket, at);
        return at;
    }

    /** How many nodes gave a sign of life within the span. */
    int countAlive(long now, long span) {
        advanceBuckets(now, span);
        int sum = 0;
        for (int count : recordAlive) {
            sum += count;
        }
        return sum;
    }

    double estimatedSlots(ZoneBackend node, double otherwise) {
        return node.reportedSlots > 0 ? node.reportedSlots : reportingBackendCount > 0 ? reportedSlotSum / reportingBackendCount : otherwise;
    }

    /** The slots of all nodes that are of use now. */
    double usableSlots(int silent, double otherwise) {
        return Math.max(0, readyCount - silent) * (reportingBackendCount > 0 ? reportedSlotSum / reportingBackendCount : otherwise);
    }
}
