package badgermux.zone;

/** What is known of a node beyond the list. */
final class ZoneBackend {
    static final long NEVER = Long.MIN_VALUE / 4;

    final long id;
    int zone;
    boolean ready;
    int lastListUpdate;
    /** The last sign of life, and the first of a row of failures since. */
    long lastAliveAt = NEVER;
    long firstFailureAt = NEVER;
    int consecutiveFailures;
    /** What the failures since the last sign of life were: connects, breaks, silence. */
    int connectFailures;
    int resets;
    int timeouts;
    /** When it gave its first sign of life after its zone had gone dark, or after we began. */
    long recoveredAt = NEVER;
    long lastProbedAt = NEVER;
    double reportedSlots;
    int attemptsInFlight;

    ZoneBackend(long id, int zone) {
        this.id = id;
        this.zone = zone;
    }

    /** Whether it has failed since its last sign of life, hard enough or often enough to count. */
    boolean isSilent(long now) {
        return consecutiveFailures > 0 && now - lastAliveAt > 400_000 && (consecutiveFailures > 1 || connectFailures + resets > 0);
    }
}
