package badgermux.zone;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** One zone as one dispatcher sees it: its health, the evidence for it, and the load sent there. */
final class Zone {
    /** The number of buckets that the evidence window is divided into. */
    private static final int BUCKET_COUNT = 8;

    final int index;
    final String name;
    ZoneHealth health = ZoneHealth.WHOLE;
    /** The evidence for the last change of health, as operators read it. */
    String evidence = "";
    /** The time of the last change of health or of the return stage. */
    long healthSince;
    /** The time of the last response from any of its backends. */
    long lastAliveAt = ZoneBackend.NEVER;
    /** The number of times the zone was lost, less those forgotten since. */
    int lossCount;
    /** The time when the zone last went dark. */
    long lastLostAt = ZoneBackend.NEVER;
    /** The index of the current stage of a return. */
    int returnStage;
    /** The responses in the current stage. */
    int successesInStage;
    /** The failures in the current stage. */
    int failuresInStage;
    /** Whether requests may also use the tier after this zone's. */
    boolean nextTierOpen;
    /** The number of its backends that the list shows as ready. */
    int readyCount;
    /** A peak of {@link #readyCount} that decays with a time constant of 60 s while the zone is whole. */
    double usualReadyCount;
    /** The sum of the slots that its backends reported. */
    double reportedSlotSum;
    /** The number of backends that reported slots. */
    int reportingBackendCount;
    /** All its backends. */
    final List<ZoneBackend> backends = new ArrayList<>();
    /** The index in {@link #backends} of the backend that was sampled last. */
    int lastSampleIndex;
    /** The time of the last sample. */
    long lastSampledAt = ZoneBackend.NEVER;
    /** The backends with a failure since their last response. */
    final Set<ZoneBackend> failingBackends = new LinkedHashSet<>();
    /** The slots that this dispatcher's requests hold in the zone. */
    double slotsInFlight;
    /** A moving average of {@link #slotsInFlight} while the zone is whole. */
    double usualSlotsInFlight;
    /** The slots among {@link #slotsInFlight} that spilled requests hold. */
    double spilledSlots;
    /** The slot-seconds that may still be spilled to the zone. */
    double spillCredit;
    /** The number of attempts spilled to the zone. */
    long spillCount;
    /** The number of requests refused because the zone is dark or returning. */
    long refusalCount;
    /** The time of the last trial request while the zone was dark. */
    long lastTrialAt = ZoneBackend.NEVER;
    /** The number of backends by the bucket of their last response: a ring over the evidence window. */
    private final int[] aliveBuckets = new int[BUCKET_COUNT];
    /** The number of the newest bucket in the ring. */
    private long latestBucket;

    Zone(int index, String name) {
        this.index = index;
        this.name = name;
    }

    /**
     * Records a response from a backend, which counts once in each evidence window of {@code span} microseconds. Called
     * before {@link ZoneBackend#lastAliveAt} is updated.
     */
    void recordAlive(long now, ZoneBackend backend, long span) {
        long current = advanceBuckets(now, span);
        long previous = backend.lastAliveAt == ZoneBackend.NEVER ? -BUCKET_COUNT : backend.lastAliveAt / (span / BUCKET_COUNT);
        if (current - previous < BUCKET_COUNT && previous >= 0) {
            aliveBuckets[(int) Math.floorMod(previous, (long) BUCKET_COUNT)]--;
        }
        aliveBuckets[(int) Math.floorMod(current, (long) BUCKET_COUNT)]++;
    }

    /** Clears the buckets that have left the window and returns the number of the current one. */
    private long advanceBuckets(long now, long span) {
        long current = now / (span / BUCKET_COUNT);
        for (long bucket = Math.max(latestBucket + 1, current - BUCKET_COUNT + 1); bucket <= current; bucket++) {
            aliveBuckets[(int) Math.floorMod(bucket, (long) BUCKET_COUNT)] = 0;
        }
        latestBucket = Math.max(latestBucket, current);
        return current;
    }

    /** Returns how many backends responded within the last {@code span} microseconds. */
    int countAlive(long now, long span) {
        advanceBuckets(now, span);
        int sum = 0;
        for (int count : aliveBuckets) {
            sum += count;
        }
        return sum;
    }

    /** Returns a backend's reported slots, else the zone's average, else {@code defaultSlots}. */
    double estimatedSlots(ZoneBackend backend, double defaultSlots) {
        return backend.reportedSlots > 0 ? backend.reportedSlots
            : reportingBackendCount > 0 ? reportedSlotSum / reportingBackendCount : defaultSlots;
    }

    /** Returns the estimated slots of all ready backends but the {@code silentCount} that do not respond. */
    double usableSlots(int silentCount, double defaultSlots) {
        return Math.max(0, readyCount - silentCount)
            * (reportingBackendCount > 0 ? reportedSlotSum / reportingBackendCount : defaultSlots);
    }
}
