package badgermux.zone;

/** What one dispatcher knows of a backend beyond its entry in the backend list. Times are microseconds on the caller's clock. */
final class ZoneBackend {
    /** A time before all others, far enough from the limit of {@code long} that a difference does not overflow. */
    static final long NEVER = Long.MIN_VALUE / 4;
    /** A backend that responded within this span is not silent, whatever failed since. */
    private static final int SILENCE_MICROS = 400_000;

    final long id;
    /** The index of its zone. */
    int zone;
    /** Whether the backend list shows it as ready. */
    boolean ready;
    /** The number of the last list update that contained it. */
    int lastListUpdate;
    /** The time of its last response. */
    long lastAliveAt = NEVER;
    /** The time of the first failure since its last response. */
    long firstFailureAt = NEVER;
    /** The number of failures since its last response. */
    int consecutiveFailures;
    /** How many of the consecutive failures were failed connects. */
    int connectFailures;
    /** How many of the consecutive failures were connection resets. */
    int resets;
    /** How many of the consecutive failures were attempts or probes without a response. */
    int timeouts;
    /** The time of its first response after its zone went dark or it fell silent there, or after this dispatcher started. */
    long recoveredAt = NEVER;
    /** The time of the last probe; probes of a lost zone set it up to 0.3 s into the future to spread the next ones. */
    long lastProbedAt = NEVER;
    /** The most slots it has reported; 0 if no report came yet. */
    double reportedSlots;
    /** The number of this dispatcher's attempts that it has not answered. */
    int attemptsInFlight;

    ZoneBackend(long id, int zone) {
        this.id = id;
        this.zone = zone;
    }

    /** Whether it has stopped responding: a failed connect, a reset or two failures of any kind since its last response. */
    boolean isSilent(long now) {
        return consecutiveFailures > 0 && now - lastAliveAt > SILENCE_MICROS
            && (consecutiveFailures > 1 || connectFailures + resets > 0);
    }
}
